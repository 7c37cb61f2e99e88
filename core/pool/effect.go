package pool

import (
	"time"

	"bronzestair/core/job"
)

// Effect is an action that the caller of Reduce carries out. The reports
// DuplicateCompletion and RunnerReconnected are declared in duplicate.go, all other
// effects here.
type Effect interface{ isEffect() }

// StartTask orders a runner to start a task. It is answered by TaskStarted.
type StartTask struct {
	Runner     Runner
	Task       job.TaskID
	Run        int
	Payload    string
	Checkpoint string
	// Ticket permits the step to run on the runner, if its queue requires tickets.
	Ticket string
	// Until is the expiry of the order on the runner's clock. It is also the end of the
	// task's first lease: without further contact, the task may run until then.
	Until RunnerClock
	Fence Fence
}

// StopTask orders a runner to stop a run and to reject a later start of it. It is
// answered by TaskStopped.
type StopTask struct {
	Runner Runner
	Task   job.TaskID
	Run    int
	Fence  Fence
}

// PollRunner is a heartbeat that the owner sends: it extends a runner's lease,
// acknowledges ends and requests the running and ended tasks. It is answered by
// RunnerPolled.
type PollRunner struct {
	Runner Runner
	// Until is the expiry of the lease on the runner's clock; 0 leaves the lease
	// unchanged.
	Until RunnerClock
	Fence Fence
	// Acknowledged is the number of the last end that the runner may discard.
	Acknowledged int64
	// Wait is how long the runner may hold back its answer until a task ends.
	Wait time.Duration
	// FailedCalls is the number of calls without an answer since the runner's last one.
	FailedCalls int
}

// ThrottleTask limits the speed of a best-effort task to a percentage of the speed
// that it has without a limit. It is the only order to a runner without an answer.
type ThrottleTask struct {
	Runner  Runner
	Task    job.TaskID
	Run     int
	Percent int
	Fence   Fence
}

// SaveProgress stores a job's progress. It is answered by JobSaved, by JobEnded if the
// job has already ended, or by OwnerChanged if another owner has written its progress.
type SaveProgress struct {
	Queue           job.QueueName
	ID              job.ID
	Version         RowVersion
	ProgressVersion RowVersion
	Progress        *job.Progress
	// Spec is that of the job, which must not be changed.
	Spec *job.Spec
	Seq  uint64
}

// FinishJob replaces a stored job by its outcome. It has the same answers as
// SaveProgress.
type FinishJob struct {
	Queue           job.QueueName
	ID              job.ID
	Version         RowVersion
	ProgressVersion RowVersion
	Outcome         job.Outcome
	Seq             uint64
}

// LookUpOutcome reads the outcome of a job whose row was removed from the store.
// It is answered by JobEnded, or not at all if the store has no outcome of the job.
type LookUpOutcome struct {
	Queue job.QueueName
	ID    job.ID
}

// RequestTickets requests tickets for a step on the given runners. It is answered
// by TicketsReceived.
type RequestTickets struct {
	// Step is the job.TaskID.StepKey of the step.
	Step    string
	Runners []RunnerID
}

// StepDown relinquishes the ownership of the pool.
type StepDown struct {
	Reason string
}

// LogDecision logs a scheduling decision.
type LogDecision struct {
	Job  job.ID
	Task job.TaskID
	// Step is the job.TaskID.StepKey of a step. It is set instead of Task for a
	// decision on several tasks of the step.
	Step     string
	Runner   RunnerID
	Run      int
	Decision string
	Reason   string
	// DataAge is the age of the data that the decision is based on, 0 if not given. For
	// the decisions jobAccepted and jobEnded, it is the time since the job was accepted.
	DataAge time.Duration
}

func (*StartTask) isEffect()      {}
func (*StopTask) isEffect()       {}
func (*PollRunner) isEffect()     {}
func (*ThrottleTask) isEffect()   {}
func (*SaveProgress) isEffect()   {}
func (*FinishJob) isEffect()      {}
func (*RequestTickets) isEffect() {}
func (*LookUpOutcome) isEffect()  {}
func (*StepDown) isEffect()       {}
func (*LogDecision) isEffect()    {}
