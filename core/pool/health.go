package pool

import (
	"time"

	"bronzestair/core/job"
)

// Ejection of runners that fail tasks. A runner that fails everything it starts
// frees its capacity at once and would attract ever more tasks.
const (
	// suspectAfter is the number of consecutive failures after which a runner gets
	// one task at a time.
	suspectAfter = 2
	// ejectAfter is the number of consecutive failures, of more than one job, after
	// which a runner is ejected: it gets no tasks for a while.
	ejectAfter = 3
	// minEjectTime is the length of the first ejection. It doubles with each further
	// one up to maxEjectTime.
	minEjectTime = 2 * time.Second
	maxEjectTime = 8 * time.Second
)

// runnerHealth tracks a runner's failures since its last success.
type runnerHealth struct {
	failures int
	// failedJobs counts the failures whose job differs from that of the failure before.
	failedJobs    int
	lastFailedJob job.ID
	ejectedUntil  time.Time
	ejectTime     time.Duration
}

// recordSuccess resets the failure counts.
func (h *runnerHealth) recordSuccess() { *h = runnerHealth{} }

// recordFailure counts a failed task and ejects the runner after too many.
func (h *runnerHealth) recordFailure(now time.Time, id job.ID) {
	h.failures++
	if h.lastFailedJob != id {
		h.failedJobs++
		h.lastFailedJob = id
	}
	if h.failures >= ejectAfter && h.failedJobs > 1 {
		h.ejectTime = min(max(2*h.ejectTime, minEjectTime), maxEjectTime)
		h.ejectedUntil = now.Add(h.ejectTime)
	}
}

// ejected reports whether the runner gets no tasks at all.
func (h *runnerHealth) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// admits reports whether the runner may get a task in addition to those it has.
func (h *runnerHealth) admits(now time.Time, tasks int) bool {
	if h.ejected(now) {
		return false
	}
	return h.failures < suspectAfter || tasks == 0
}

// Detection of stalled tasks, on runners that accept tasks and do nothing.
const (
	// minStallTime is the minimum time without progress after which a task counts
	// as stalled. Progress is read about once per second.
	minStallTime = 2500 * time.Millisecond
	// stallDivisor divides the estimated run time into the time that a task may take
	// for one percent of progress, five times the average.
	stallDivisor = 20
)

// stopStalled stops tasks without progress so that they run elsewhere.
func (p *Pool) stopStalled(now time.Time) {
	for _, r := range p.runnerOrder {
		if now.Sub(r.lastAnswer) > unreachableAfter {
			continue
		}
		for _, t := range r.sortedTasks() {
			spec := t.step.spec
			if t.state != running || spec.Persistent || spec.Gang || spec.BestEffort {
				continue
			}
			if now.Sub(t.progressAt) > max(minStallTime, spec.EstimatedRuntime/stallDivisor) {
				t.lastFailedOn = r.ID
				r.health.recordFailure(now, t.id.Job)
				p.stopTask(now, t, "no progress")
			}
		}
	}
}
