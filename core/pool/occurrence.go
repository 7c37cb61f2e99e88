package pool

import (
	"fmt"
	"slices"
	"time"

	"bronzestair/core/job"
)

// maxStepsAhead limits the steps of a job's occurrences that are due and of which no task has been
// placed. The occurrences of a job start in order, so that more of them would only take memory.
const maxStepsAhead = job.MaxSteps

// occurrence is one pass through a job's steps. A repeated job has several.
type occurrence struct {
	number int
	steps  []*stepState
	due    time.Time
}

// newOccurrence returns an occurrence none of whose tasks has run.
func newOccurrence(j *jobState, number int, due time.Time) *occurrence {
	o := &occurrence{number: number, due: due, steps: make([]*stepState, 0, len(j.record.Spec.Steps))}
	for s := range j.record.Spec.Steps {
		o.steps = append(o.steps, newStep(j, number, s))
	}
	return o
}

func (o *occurrence) dependenciesDone(step *stepState) bool {
	for _, before := range step.spec.After {
		if o.steps[before].remaining > 0 {
			return false
		}
	}
	return true
}

func (o *occurrence) complete() bool {
	for _, step := range o.steps {
		if step.remaining > 0 {
			return false
		}
	}
	return true
}

// touched reports whether a task has been placed, has failed or is done.
func (o *occurrence) touched() bool {
	return slices.ContainsFunc(o.steps, func(s *stepState) bool { return s.chunks != nil || len(s.restored) > 0 })
}

// running reports whether a task still occupies a runner.
func (o *occurrence) running() bool {
	for _, step := range o.steps {
		for t := range step.allocated() {
			if t.runner != nil {
				return true
			}
		}
	}
	return false
}

// maxOccurrences returns how many occurrences of a job are in memory at most. A new owner concludes
// from it which ones the previous owner has completed, see addBegunOccurrences, so all versions of
// the program that may own a pool in turn have to agree on it.
func maxOccurrences(spec *job.Spec) int { return max(1, job.MaxTasks/max(1, spec.Tasks())) }

// addDueOccurrences adds the occurrences that are due and reports whether there are any.
// Occurrences that would exceed job.MaxTasks tasks in memory wait until others are done, those
// that would exceed maxStepsAhead until others have started.
func (p *Pool) addDueOccurrences(now time.Time, j *jobState) bool {
	added := false
	spec := &j.record.Spec
	limit := maxOccurrences(spec)
	ahead := 0
	for n := j.finishedOccurrences + len(j.occurrences); n < spec.Occurrences() && len(j.occurrences) < limit; n++ {
		due := spec.Due(n)
		if n >= j.begunOccurrences {
			if due.After(now) {
				break
			}
			if !added {
				ahead = j.stepsAhead()
			}
			if ahead >= maxStepsAhead {
				break
			}
		}
		j.occurrences = append(j.occurrences, newOccurrence(j, n, due))
		ahead += len(spec.Steps)
		added = true
	}
	return added
}

// stepsAhead counts the steps of the last occurrences of which no task has been placed. It stops
// at maxStepsAhead.
func (j *jobState) stepsAhead() int {
	n := 0
	for i := len(j.occurrences) - 1; i >= 0 && n < maxStepsAhead && !j.occurrences[i].touched(); i-- {
		n += len(j.occurrences[i].steps)
	}
	return n
}

// addBegunOccurrences adds the occurrences up to the one of which a runner lists a run or an end,
// although they are not due by this owner's clock. The owner that began it had at most
// maxOccurrences in memory, so it had completed those before. That may not be stored, and the
// runners that could list their ends may be gone.
func (p *Pool) addBegunOccurrences(now time.Time, j *jobState, number int) {
	if number < j.begunOccurrences || number >= j.record.Spec.Occurrences() || j.outcome != "" {
		return
	}
	j.begunOccurrences = number + 1
	p.completeOccurrences(now, j, j.begunOccurrences-maxOccurrences(&j.record.Spec))
	if !p.addDueOccurrences(now, j) {
		return
	}
	for _, o := range j.occurrences {
		p.unblockSteps(now, j, o)
	}
}

// completeOccurrences takes all occurrences before a number as completed and stops their runs.
func (p *Pool) completeOccurrences(now time.Time, j *jobState, before int) {
	if before <= j.firstOccurrence() {
		return
	}
	p.emit(&LogDecision{
		Job: j.id(), Decision: "occurrencesCompleted", DataAge: now.Sub(j.record.Accepted),
		Reason: fmt.Sprintf("a previous owner has begun occurrence %d, so it had completed %d to %d", j.begunOccurrences-1, j.firstOccurrence(), before-1),
	})
	for len(j.occurrences) > 0 && j.occurrences[0].number < before {
		p.stopOccurrence(j.occurrences[0])
		p.dropFirstOccurrence(j)
	}
	j.finishedOccurrences = before
	j.markDirty(now)
}

// stopOccurrence takes the tasks of an occurrence that is to be dropped off their runners, which
// get no other tasks until they no longer list the runs.
func (p *Pool) stopOccurrence(o *occurrence) {
	for _, step := range o.steps {
		step.job.ready -= step.ready
		step.ready = 0
		for t := range step.allocated() {
			if r := t.runner; r != nil {
				r.release(t)
				r.unknownRuns[t.id] = t.run
				p.emit(&StopTask{Runner: r.Runner, Task: t.id, Run: t.run, Fence: p.options.Fence})
			}
			t.state = done
		}
	}
}

func (j *jobState) occurrence(number int) *occurrence {
	i := number - j.firstOccurrence()
	if i < 0 || i >= len(j.occurrences) {
		return nil
	}
	return j.occurrences[i]
}

// firstOccurrence returns the number of the first occurrence in memory.
func (j *jobState) firstOccurrence() int {
	if len(j.occurrences) == 0 {
		return j.finishedOccurrences
	}
	return j.occurrences[0].number
}

// finishIfDone drops completed occurrences and ends the job after the last one.
func (p *Pool) finishIfDone(now time.Time, j *jobState) {
	for len(j.occurrences) > 0 && j.occurrences[0].complete() && !j.occurrences[0].running() {
		p.dropFirstOccurrence(j)
		j.finishedOccurrences++
		if j.record.Spec.Repeat.Count > 0 {
			j.markDirty(now)
		}
	}
	if j.outcome == "" && len(j.occurrences) == 0 && j.finishedOccurrences >= j.record.Spec.Occurrences() {
		p.endJob(now, j, job.Completed, "all tasks are done")
	}
}

// dropFirstOccurrence drops the first occurrence in memory.
func (p *Pool) dropFirstOccurrence(j *jobState) {
	p.forgetOccurrence(j.occurrences[0])
	j.occurrences[0] = nil // the array outlives the slice
	j.occurrences = j.occurrences[1:]
}

// forgetOccurrence takes back what is kept for an occurrence beside itself.
func (p *Pool) forgetOccurrence(o *occurrence) {
	for _, step := range o.steps {
		step.job.allocated -= step.allocatedCount()
		if len(p.tickets) > 0 {
			p.dropTickets(step.key())
		}
	}
}

// startDueOccurrences starts the occurrences of repeated jobs that have become due.
func (p *Pool) startDueOccurrences(now time.Time) {
	for _, j := range p.jobOrder {
		if j.record.Spec.Repeat.Count == 0 || j.outcome != "" || !p.addDueOccurrences(now, j) {
			continue
		}
		for _, o := range j.occurrences {
			p.unblockSteps(now, j, o)
		}
	}
}
