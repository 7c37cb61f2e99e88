package pool

import (
	"time"

	"bronzestair/core/job"
)

// taskState is the scheduling state of a task.
type taskState uint8

const (
	// waiting tasks depend on steps that are not done.
	waiting taskState = iota
	// ready tasks may be placed on a runner.
	ready
	// starting tasks have been ordered to start but not been confirmed.
	starting
	running
	// stopping tasks are to stop and occupy their runner until they have.
	stopping
	done
)

// task is one task of a job.
type task struct {
	id    job.TaskID
	job   *jobState
	step  *stepState
	state taskState
	// run is the number of the latest run known to this owner, 0 if there is none.
	run        int
	failed     job.FailedRuns
	checkpoint string
	// resumed is true if this run continued from a checkpoint.
	resumed bool
	runner  *runnerState
	// latestRun is the latest run that may have started.
	latestRun RunRef
	// crashes counts the runs in a row that ended by themselves within crashLoopTime,
	// restartAt is when the next one may start.
	crashes   int
	restartAt time.Time
	// lastFailedOn is the runner of the last run that failed or stalled.
	lastFailedOn RunnerID

	// tailRestarted is true once the task was stopped because it ran much longer than its siblings.
	tailRestarted bool

	orderedAt       time.Time // when the last start or stop order was sent
	orderCount      int       // orders of this run that were sent
	inFlight        bool      // an order awaits its answer
	orderUnanswered bool      // a start order of this run had no answer
	// unresolved is true if the lease of this run has ended and the runner has not
	// reported how the run ended.
	unresolved bool
	// startedBeforeRestart is true if the run was ordered from a previous incarnation.
	startedBeforeRestart bool

	confirmedAt     time.Time // when the runner confirmed that this run has started
	startVoidAfter  time.Time // when an unconfirmed start can no longer take effect
	stoppedAt       time.Time // when a stop was confirmed
	progressPercent int
	progressAt      time.Time // when the checkpoint or the percentage last changed
	tailLatency     time.Duration
	throttle        int       // reduction of the speed, in percent of full speed
	throttledAt     time.Time // when the last throttle order was sent
}

// nextRun returns a run number that no owner has used for the task.
func (t *task) nextRun() int { return max(t.run, t.job.runFloor) + 1 }

// addReady adds n to the ready counts of the task's step and job.
func (t *task) addReady(n int) {
	t.step.ready += n
	t.job.ready += n
}

// unreachableAfter is how long after its last answer a runner counts as
// unreachable, and its persistent tasks no longer count as serving.
const unreachableAfter = 2 * time.Second

// serving reports whether a persistent task is ready to serve requests. It relies on the
// last answer of the runner, which must be recent.
func (t *task) serving(now time.Time) bool {
	return t.state == running && t.progressPercent >= 100 && now.Sub(t.runner.lastAnswer) < unreachableAfter
}
