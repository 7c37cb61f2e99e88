package pool

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"bronzestair/core/job"
)

// restore applies the progress that a previous owner has stored.
func (j *jobState) restore(progress *job.Progress) {
	for _, o := range j.occurrences {
		for s, step := range o.steps {
			step.restore(job.Bitmap(progress.Done[stepKey(o.number, s)]))
		}
	}
	for key, failed := range progress.Failed {
		id, err := job.ParseTaskID(string(j.id()) + "." + key)
		if err != nil || len(failed) == 0 {
			continue
		}
		if t := j.task(id); t != nil {
			t.failed = failed
			t.run = max(t.run, slices.Max(failed))
		}
	}
}

// begunOccurrences returns the number of occurrences of which the progress has tasks.
func begunOccurrences(progress *job.Progress) int {
	begun := progress.FinishedOccurrences
	count := func(key string) {
		number, _, _ := strings.Cut(key, ".")
		if n, err := strconv.Atoi(number); err == nil {
			begun = max(begun, n+1)
		}
	}
	for key := range progress.Done {
		count(key)
	}
	for key := range progress.Failed {
		count(key)
	}
	return begun
}

func stepKey(occurrence, step int) string { return fmt.Sprintf("%d.%d", occurrence, step) }

func taskKey(id job.TaskID) string {
	return fmt.Sprintf("%d.%d.%d", id.Occurrence, id.Step, id.Index)
}

// progress returns the job's progress in its stored form.
func (j *jobState) progress() *job.Progress {
	out := &job.Progress{Done: map[string][]byte{}, Failed: map[string]job.FailedRuns{}, FinishedOccurrences: j.finishedOccurrences}
	for _, o := range j.occurrences {
		for s, step := range o.steps {
			for t := range step.allocated() {
				if len(t.failed) > 0 && t.state != done {
					out.Failed[taskKey(t.id)] = slices.Clone(t.failed)
				}
			}
			if bitmap := step.finished(); len(bitmap) > 0 {
				out.Done[stepKey(o.number, s)] = bitmap
			}
		}
	}
	return out
}
