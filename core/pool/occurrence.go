package pool

import (
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

// addDueOccurrences adds the occurrences that are due and reports whether there are any.
// Occurrences that would exceed job.MaxTasks tasks in memory wait until others are done, those
// that would exceed maxStepsAhead until others have started.
func (p *Pool) addDueOccurrences(now time.Time, j *jobState) bool {
	added := false
	spec := &j.record.Spec
	limit := max(1, job.MaxTasks/max(1, spec.Tasks()))
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

// addBegunOccurrences adds the occurrences up to the one of which a runner lists a run, although
// they are not due by this owner's clock.
func (p *Pool) addBegunOccurrences(now time.Time, j *jobState, number int) {
	if number < j.begunOccurrences || number >= j.record.Spec.Occurrences() {
		return
	}
	j.begunOccurrences = number + 1
	if !p.addDueOccurrences(now, j) {
		return
	}
	for _, o := range j.occurrences {
		p.unblockSteps(now, j, o)
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
		p.forgetOccurrence(j.occurrences[0])
		j.occurrences[0] = nil // the array outlives the slice
		j.occurrences = j.occurrences[1:]
		j.finishedOccurrences++
		if j.record.Spec.Repeat.Count > 0 {
			j.markDirty(now)
		}
	}
	if j.outcome == "" && len(j.occurrences) == 0 && j.finishedOccurrences >= j.record.Spec.Occurrences() {
		p.endJob(now, j, job.Completed, "all tasks are done")
	}
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
