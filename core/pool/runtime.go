package pool

import (
	"time"

	"bronzestair/core/job"
)

// Correction of run time estimates that are far off in one direction. A pool that
// relied on them would request instances that then idle.
const (
	// runtimePrior is an amount of estimated time that is assumed to have been exact,
	// so that the first tasks of a queue do not determine the factor alone.
	runtimePrior = 10 * time.Second
	// runtimeHistory is the total of estimated time above which the weight of earlier
	// tasks is halved.
	runtimeHistory = 300 * time.Second
	// maxRuntimeFactor limits the correction factor and its inverse.
	maxRuntimeFactor = 4
)

// runtimes compares the run times of a queue's tasks with their estimates. The
// zero value has no tasks.
type runtimes struct {
	estimated, actual time.Duration
}

// record adds a completed task.
func (r *runtimes) record(estimate, actual time.Duration) {
	r.estimated += estimate
	r.actual += actual
	if r.estimated > runtimeHistory {
		r.estimated /= 2
		r.actual /= 2
	}
}

// factor returns the correction factor for estimates.
func (r *runtimes) factor() float64 {
	f := float64(runtimePrior+r.actual) / float64(runtimePrior+r.estimated)
	return min(max(f, 1.0/maxRuntimeFactor), maxRuntimeFactor)
}

// runtimesOf returns the run times of a queue.
func (p *Pool) runtimesOf(queue job.QueueName) *runtimes {
	r := p.runtimes[queue]
	if r == nil {
		r = &runtimes{}
		p.runtimes[queue] = r
	}
	return r
}

// recordRuntime records the run time of a task that did all of its work in one run.
func (p *Pool) recordRuntime(now time.Time, r *runnerState, t *task, end EndedTask) {
	spec := t.step.spec
	if end.Result != RunDone || t.confirmedAt.IsZero() || t.runner != r || t.resumed || spec.Persistent || spec.BestEffort {
		return
	}
	if p.looksAhead() && spec.Speculative {
		t.step.typical.record(now.Sub(t.confirmedAt))
	}
	t.job.runtimes.record(spec.EstimatedRuntime, now.Sub(t.confirmedAt))
}

// expectedRuntime returns the corrected run time estimate of a task of the step.
func (j *jobState) expectedRuntime(step *job.Step) time.Duration {
	return time.Duration(j.runtimes.factor() * float64(step.EstimatedRuntime))
}

// expectedWork returns the expected work of one task of the step in millicore-seconds.
func (j *jobState) expectedWork(step *job.Step) float64 { return j.runtimes.factor() * step.Work() }
