package pool

import (
	"fmt"
	"maps"
	"time"

	"bronzestair/core/job"
)

// Ejection of runners that fail tasks. A runner that fails everything it starts
// frees its capacity at once and would attract ever more tasks.
const (
	// suspectAfter is the number of consecutive failures after which a runner gets
	// one batch task at a time.
	suspectAfter = 2
	// ejectAfter is the number of consecutive failures, of more than one job, after
	// which a runner is ejected: it gets no tasks for a while.
	ejectAfter = 3
	// minEjectTime is the length of the first ejection. It doubles with each further
	// one up to maxEjectTime.
	minEjectTime = 2 * time.Second
	maxEjectTime = 8 * time.Second
	// ejectDivisor limits the ejected and the suspected runners to one in ejectDivisor of
	// those that accept tasks, but at least one of two. Where more fail, their tasks are to
	// blame.
	ejectDivisor = 3
	// failureMemory is how long a failure counts.
	failureMemory = 15 * time.Second
	// jobFaultRunners is on how many other runners tasks of a job must have failed for its
	// failures to count against no runner. If there are fewer others, all of them suffice.
	jobFaultRunners = 2
	// soundRunTime is how long a persistent task must serve to count as a success.
	soundRunTime = 3 * time.Second
)

// runnerHealth tracks a runner's failures since its last success.
type runnerHealth struct {
	failures int
	// failedJobs counts the failures whose job differs from that of the failure before.
	failedJobs    int
	lastFailedJob job.ID
	lastFailure   time.Time
	// suspect is true if the runner gets one batch task at a time.
	suspect                 bool
	ejectedAt, ejectedUntil time.Time
	ejectTime               time.Duration
}

// recordSuccess resets the failure counts.
func (h *runnerHealth) recordSuccess() { *h = runnerHealth{} }

// recordFailure counts a failed task.
func (h *runnerHealth) recordFailure(now time.Time, id job.ID) {
	h.failures++
	h.lastFailure = now
	if h.lastFailedJob != id {
		h.failedJobs++
		h.lastFailedJob = id
	}
}

// failing reports whether the runner has failed enough tasks to be ejected.
func (h *runnerHealth) failing() bool { return h.failures >= ejectAfter && h.failedJobs > 1 }

// eject ejects the runner, for twice as long as the last time.
func (h *runnerHealth) eject(now time.Time) {
	h.ejectTime = min(max(2*h.ejectTime, minEjectTime), maxEjectTime)
	h.ejectedAt, h.ejectedUntil = now, now.Add(h.ejectTime)
}

// ejected reports whether the runner gets no tasks at all.
func (h *runnerHealth) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// admits reports whether the runner may get a task in addition to its batch tasks.
func (h *runnerHealth) admits(now time.Time, batchTasks int) bool {
	return !h.ejected(now) && (!h.suspect || batchTasks == 0)
}

// recordFailure counts a failed or stalled run against its runner, unless the job is to blame,
// as its tasks have failed on other runners as well, or the run began before the last ejection
// of the runner, which has already answered for such failures.
func (p *Pool) recordFailure(now time.Time, r *runnerState, t *task) {
	t.lastFailedOn = r.ID
	elsewhere := t.job.recordFailure(now, r.ID)
	accepting, ejected, suspects := p.countHealth(now)
	if elsewhere >= min(jobFaultRunners, accepting-1) || !r.health.ejectedAt.IsZero() && t.orderedAt.Before(r.health.ejectedAt) {
		return
	}
	r.health.recordFailure(now, t.id.Job)
	if r.health.failures == suspectAfter {
		r.health.suspect = suspects < ejectionLimit(accepting)
	}
	if !r.health.failing() || r.health.ejected(now) {
		return
	}
	decision := "ejectionWithheld"
	if ejected < ejectionLimit(accepting) {
		r.health.eject(now)
		decision = "runnerEjected"
	}
	p.emit(&LogDecision{
		Runner: r.ID, Job: t.id.Job, Task: t.id, Run: t.run, Decision: decision, DataAge: now.Sub(t.orderedAt),
		Reason: fmt.Sprintf("%d failures for %v, %d of %d runners ejected before", r.health.failures, r.health.ejectTime, ejected, accepting),
	})
}

// ejectionLimit returns how many of n runners may be ejected at once.
func ejectionLimit(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, n/ejectDivisor)
}

// countHealth counts the runners that would accept tasks and are not cordoned, and those of
// them that are ejected and suspected.
func (p *Pool) countHealth(now time.Time) (accepting, ejected, suspects int) {
	for _, r := range p.runnerOrder {
		if !r.accepts(now) || r.cordoned {
			continue
		}
		accepting++
		if r.health.ejected(now) {
			ejected++
		}
		if r.health.suspect {
			suspects++
		}
	}
	return accepting, ejected, suspects
}

// expireFailures forgets failures that are older than failureMemory.
func (p *Pool) expireFailures(now time.Time) {
	for _, r := range p.runnerOrder {
		if r.health.failures > 0 && now.Sub(r.health.lastFailure) > failureMemory {
			r.health.recordSuccess()
		}
	}
}

// recordServing counts a persistent task that has served for a while as a success of its
// runner if it was started after the last failure there.
func (p *Pool) recordServing(now time.Time, r *runnerState, t *task) {
	if r.health.failures > 0 && !t.confirmedAt.Before(r.health.lastFailure) && now.Sub(t.confirmedAt) >= soundRunTime {
		r.health.recordSuccess()
	}
}

// recordFailure remembers a failure of the job's tasks on a runner and returns the number of
// other runners on which they have failed within failureMemory.
func (j *jobState) recordFailure(now time.Time, id RunnerID) int {
	maps.DeleteFunc(j.failedOn, func(_ RunnerID, at time.Time) bool { return now.Sub(at) > failureMemory })
	if j.failedOn == nil {
		j.failedOn = map[RunnerID]time.Time{}
	}
	j.failedOn[id] = now
	return len(j.failedOn) - 1
}

// Delays before tasks that end soon after each start, or whose start is rejected as malformed,
// are started again, so that they leave starts to others.
const (
	// crashLoopTime is the run time after which an end counts as the first again.
	crashLoopTime = 5 * time.Second
	// minRestartDelay follows the second end in a row, and doubles with each further one up to
	// maxRestartDelay.
	minRestartDelay = 250 * time.Millisecond
	maxRestartDelay = 2 * time.Second
)

// delayRestart sets when a task whose run has ended by itself may start again.
func (t *task) delayRestart(now time.Time) {
	if now.Sub(t.orderedAt) >= crashLoopTime {
		t.crashes = 0
	}
	t.crashes++
	if t.crashes > 1 {
		t.restartAt = now.Add(min(maxRestartDelay, minRestartDelay<<min(t.crashes-2, 10)))
	}
}
