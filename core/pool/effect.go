package pool

import (
	"time"

	"bronzestair/core/job"
)

// Effect is something to be done.
type Effect interface{ isEffect() }

// StartTask orders a runner to start a task. It is answered by TaskStarted.
type StartTask struct {
	Runner  Runner
	Task    job.TaskID
	Run     int
	Payload string
	Saved   string
	Ticket  string
	// Until is on the runner's clock; the order is void after it.
	Until RunnerClock
	Fence Fence
}

// StopTask orders a runner to end a run, or never to begin it. It is answered by TaskStopped.
type StopTask struct {
	Runner Runner
	Task   job.TaskID
	Run    int
	Fence  Fence
}

// HoldRunner extends a runner's lease, acknowledges ends and asks what runs.
// It is answered by RunnerHeld.
type HoldRunner struct {
	Runner Runner
	// Until is the lease's end on the runner's clock; 0 leaves it as it is.
	Until RunnerClock
	Fence Fence
	// Acknowledged is the number of the last end that the runner may forget.
	Acknowledged int64
	// Wait is how long the runner may wait for an end before it answers.
	Wait time.Duration
}

// PaceTask sets the share of its usual speed at which a task works.
type PaceTask struct {
	Runner  Runner
	Task    job.TaskID
	Run     int
	Percent int
	Fence   Fence
}

// SaveJob stores a job's progress. It is answered by JobSaved.
type SaveJob struct {
	Queue           job.QueueName
	ID              job.ID
	Version         RowVersion
	ProgressVersion RowVersion
	Progress        *job.Progress
	Seq             uint64
}

// FinishJob stores a job's outcome in place of the job. It is answered by JobSaved.
type FinishJob struct {
	Queue           job.QueueName
	ID              job.ID
	Version         RowVersion
	ProgressVersion RowVersion
	Outcome         job.Outcome
	Seq             uint64
}

// LookUpOutcome reads the outcome of a job whose row is gone. It is answered by
// JobEnded.
type LookUpOutcome struct {
	Queue job.QueueName
	ID    job.ID
}

// AskAdvice asks which runners may run a step. It is answered by Advised.
type AskAdvice struct {
	Step    string
	Runners []RunnerID
}

// StepDown gives the ownership of the pool up.
type StepDown struct {
	Reason string
}

// Decided is a decision to be logged.
type Decided struct {
	Job  job.ID
	Task job.TaskID
	// Step is set for a decision on several tasks of a step.
	Step    string
	Runner  RunnerID
	Run     int
	What    string
	Reason  string
	DataAge time.Duration
}

func (*StartTask) isEffect()     {}
func (*StopTask) isEffect()      {}
func (*HoldRunner) isEffect()    {}
func (*PaceTask) isEffect()      {}
func (*SaveJob) isEffect()       {}
func (*FinishJob) isEffect()     {}
func (*AskAdvice) isEffect()     {}
func (*LookUpOutcome) isEffect() {}
func (*StepDown) isEffect()      {}
func (*Decided) isEffect()       {}
