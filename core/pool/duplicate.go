package pool

import (
	"time"

	"bronzestair/core/job"
)

const (
	// minReportedOutage is the shortest outage of a runner that is reported once it ends.
	// It corresponds to two unanswered calls in a row.
	minReportedOutage = time.Second
	// maxLostRuns bounds the tracked runs whose end is not known.
	maxLostRuns = 4096
)

// RunRef identifies a run of a task by its number and the runner that it was
// assigned to. The zero value refers to no run.
type RunRef struct {
	Run    int
	Runner RunnerID
}

// DuplicateCompletion reports that a run completed although another run of the
// same task was assigned before or after it.
type DuplicateCompletion struct {
	Task job.TaskID
	// Ended is the run whose end the runner has just listed, Other the other run.
	Ended, Other RunRef
	// OtherDone is true if the task was already done when the end was listed.
	OtherDone bool
	// MaxEndAge is an upper bound on the age of the end, which was absent from the
	// runner's previous list. It is 0 if there was no previous list.
	MaxEndAge time.Duration
}

// RunnerReconnected reports that a runner answered a poll after an outage.
type RunnerReconnected struct {
	Runner RunnerID
	// UnreachableFor is the time since the first call failed without an answer.
	// SinceLastList is the time since the previous list, 0 if there was none.
	UnreachableFor, SinceLastList time.Duration
	// Clock is the runner's clock as read in the answer.
	Clock RunnerClock
	// Running and Ended count the tasks and ends that the runner lists.
	Running, Ended int
	// Acknowledged is the number of the last acknowledged end.
	Acknowledged int64
}

func (*DuplicateCompletion) isEffect() {}
func (*RunnerReconnected) isEffect()   {}

// runKey identifies a run of a task.
type runKey struct {
	task job.TaskID
	run  int
}

// lostRun is a run that was unassigned before its runner listed its end.
type lostRun struct {
	task   *task
	lostAt time.Time
}

// recordLostRun tracks a run whose end the runner may still list, possibly after the
// job has been dropped.
func (p *Pool) recordLostRun(now time.Time, t *task) {
	if len(p.lostRuns) < maxLostRuns {
		p.lostRuns[runKey{t.id, t.run}] = lostRun{task: t, lostAt: now}
	}
}

// expireLostRuns drops the lost runs that are older than the retention period.
func (p *Pool) expireLostRuns(now time.Time, retention time.Duration) {
	for key, lost := range p.lostRuns {
		if now.Sub(lost.lostAt) > retention {
			delete(p.lostRuns, key)
		}
	}
}

// recordPoll records a successful poll of a runner and reports the end of an outage.
func (p *Pool) recordPoll(now time.Time, r *runnerState, e *RunnerPolled) {
	if outage := now.Sub(r.unreachableSince); !r.unreachableSince.IsZero() && outage >= minReportedOutage {
		p.emit(&RunnerReconnected{
			Runner: r.ID, UnreachableFor: outage, SinceLastList: r.sinceLastList(now), Clock: e.Clock.Clock,
			Running: len(e.Running), Ended: len(e.Ended), Acknowledged: r.storedEnd,
		})
	}
	r.unreachableSince = time.Time{}
	r.lastListed = now
}

// sinceLastList returns the time since the runner's last list, 0 if there was none.
func (r *runnerState) sinceLastList(now time.Time) time.Duration {
	if r.lastListed.IsZero() {
		return 0
	}
	return now.Sub(r.lastListed)
}

// detectDuplicate reports a completed run if another run of its task was assigned before
// or after it. It must be called before the end is handled.
func (p *Pool) detectDuplicate(now time.Time, r *runnerState, end EndedTask) {
	key := runKey{end.Task, end.Run}
	t := p.lostRuns[key].task
	delete(p.lostRuns, key)
	if j := p.jobs[end.Task.Job]; t == nil && j != nil {
		t = j.task(end.Task)
	}
	if t == nil || end.Result != RunDone || t.step.spec.Persistent || t.step.spec.Speculative {
		return
	}
	ended := RunRef{Run: end.Run, Runner: r.ID}
	switch t.latestRun {
	case ended:
	case RunRef{}:
		t.latestRun = ended
	default:
		p.emit(&DuplicateCompletion{
			Task: t.id, Ended: ended, Other: t.latestRun, OtherDone: t.state == done, MaxEndAge: r.sinceLastList(now),
		})
	}
}

// Unreachable counts the runners whose last call had no answer and the tasks
// assigned to them, whose state is unknown until they answer.
func (p *Pool) Unreachable() (runners, tasks int) {
	for _, r := range p.runnerOrder {
		if r.failedCalls > 0 {
			runners++
			tasks += len(r.tasks)
		}
	}
	return runners, tasks
}
