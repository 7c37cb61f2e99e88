package pool

import "time"

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
				p.recordFailure(now, r, t)
				p.stopTask(now, t, "no progress")
			}
		}
	}
}
