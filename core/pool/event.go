package pool

import (
	"time"

	"bronzestair/core/job"
	"bronzestair/core/organisation"
	"bronzestair/core/quota"
)

// Event is an input of Reduce that changes the state of the pool. JobRemoved and
// OwnerChanged are declared in save.go, OrganisationsSynced in organisation_load.go, all
// other events here.
type Event interface {
	apply(p *Pool, now time.Time)
}

// Ticked drives everything that depends on time alone. It is sent periodically.
type Ticked struct{}

// QueuesChanged replaces the settings of all queues and the organisations.
type QueuesChanged struct {
	Queues map[job.QueueName]QueueSettings
	// Organisations is nil if the configuration names none.
	Organisations *organisation.Directory
	// Floor is the pool's part of the caps that it may always use.
	Floor quota.FloorShare
}

// StoreReturned reports the end of an outage of the store.
type StoreReturned struct{}

// JobStored adds an accepted job.
type JobStored struct {
	Record  *job.Record
	Version RowVersion
	// Progress is the progress that a previous owner has stored, or nil.
	Progress        *job.Progress
	ProgressVersion RowVersion
	// Inherited is true if a previous owner may have started some of its tasks.
	Inherited bool
	// Excess is true if the job is beyond the rate of its organisation, see Admission.
	Excess bool
}

// JobsLoaded reports that every stored job of the pool that could be decoded was passed
// in as JobStored. It is sent after the initial load, and again after each reload, which
// is necessary when the store has dropped the history of changes.
type JobsLoaded struct {
	// Present holds the jobs of all pools that the load found in the store. It includes
	// every change up to Version, and may include later ones.
	Present map[job.ID]bool
	Version RowVersion
}

// JobEnded reports the outcome that was found in the store for a job. It was stored by
// another process, or by a FinishJob of this owner whose answer was lost.
type JobEnded struct {
	ID      job.ID
	Outcome job.Outcome
}

// JobSaved answers SaveProgress and FinishJob.
type JobSaved struct {
	ID  job.ID
	Seq uint64
	// Version is the row version of the stored progress.
	Version  RowVersion
	Finished bool
	// Failed is true if the write failed or its result is unknown.
	Failed bool
}

// RunnersListed lists all registered runners of the pool.
type RunnersListed struct {
	Runners []Runner
}

// IncarnationsListed lists the current incarnations of the runners on the pool's running
// instances.
type IncarnationsListed struct {
	Alive map[RunnerID]bool
	// RequestedAt is when the request for the list was sent.
	RequestedAt time.Time
}

// RunnerEnded reports that an incarnation of a runner has certainly terminated.
type RunnerEnded struct {
	Runner RunnerID
	// Born is the start time of the incarnation. Zero stands for all incarnations under
	// the ID so far.
	Born time.Time
}

// RunnersCordoned replaces the set of cordoned runners. They get no new tasks and are
// drained: persistent tasks are stopped as far as the disruption budgets permit, batch
// tasks after batchDrainTime if they have not ended.
type RunnersCordoned struct {
	Runners map[RunnerID]bool
}

// CallResult is the result of a call to a runner.
type CallResult uint8

// Results of a call. The zero value is Unknown: the runner may have carried out
// the call, or may still do so.
const (
	Unknown CallResult = iota
	// Done means that the runner carried out the call.
	Done
	// NotSent means that no connection to the runner could be made.
	NotSent
	// RefusedFence means that another owner has a higher fencing token.
	RefusedFence
	// RefusedStaleRun means that the run number is not higher than an earlier one
	// of the task.
	RefusedStaleRun
	// RefusedExpired means that the order arrived after its expiry.
	RefusedExpired
	// RefusedNoCapacity means that the runner lacks the resources for the task.
	RefusedNoCapacity
	// RefusedTicket means that the ticket is missing or no longer valid.
	RefusedTicket
	// RefusedUnhealthy means that the runner temporarily accepts no orders.
	RefusedUnhealthy
	// RefusedOtherIncarnation means that the call reached another incarnation of
	// the runner.
	RefusedOtherIncarnation
	// RefusedInvalid means that the runner rejected the order as malformed.
	RefusedInvalid
	// Withheld means that the call was not sent, because this entry had no valid claim
	// on the pool's shard when the call was due.
	Withheld
)

var callResultNames = [...]string{
	"unknown", "done", "notSent", "refusedFence", "refusedOld", "refusedLate", "refusedRoom",
	"refusedTicket", "refusedUnhealthy", "refusedOther", "refusedBad", "withheld",
}

// String returns the name that logs use, in camel case.
func (c CallResult) String() string { return callResultNames[c] }

// Answered reports whether the runner answered the call.
func (c CallResult) Answered() bool { return c != Unknown && c != NotSent && c != Withheld }

// TaskStarted answers StartTask.
type TaskStarted struct {
	Runner     RunnerID
	Task       job.TaskID
	Run        int
	CallResult CallResult
	// Sent, Clock and Born are as in RunnerPolled.
	Sent  time.Time
	Clock ClockReading
	Born  time.Time
	// Took is the duration of the call itself, without the time that its result
	// waited for the owner.
	Took time.Duration
}

// TaskStopped answers StopTask.
type TaskStopped struct {
	Runner     RunnerID
	Task       job.TaskID
	Run        int
	CallResult CallResult
	// Sent, Clock and Born are as in RunnerPolled.
	Sent  time.Time
	Clock ClockReading
	Born  time.Time
}

// RunnerPolled answers PollRunner.
type RunnerPolled struct {
	Runner     RunnerID
	CallResult CallResult
	// Sent is when the call was sent, like RequestedAt of IncarnationsListed.
	Sent  time.Time
	Clock ClockReading
	// Born is the start time of the incarnation that answered, see RunnerID. It is zero if
	// the answer does not state it.
	Born    time.Time
	Running []RunningTask
	Ended   []EndedTask
	// Truncated is true if Ended may be incomplete.
	Truncated bool
}

// RunningTask is a task that a runner lists as running.
type RunningTask struct {
	Task       job.TaskID
	Run        int
	Checkpoint string
	// ProgressPercent is the progress of the task. A persistent task is at 100 once it is
	// ready to serve requests.
	ProgressPercent int
	// TailLatency is the tail latency over the last half second, as reported by the
	// runner. It is meaningful only for a persistent task with a LatencyTarget.
	TailLatency time.Duration
}

// EndedTask is a runner's record of how a run ended, called an end for short. The runner
// lists its ends in the answer to each poll until they are acknowledged.
type EndedTask struct {
	// Number is the sequence number of the end within the runner's incarnation.
	Number     int64
	Task       job.TaskID
	Run        int
	Result     RunResult
	Checkpoint string
}

// RunResult is the way in which a run ended. The result of a job is called its outcome.
type RunResult string

// Results of a run.
const (
	RunDone         RunResult = "done"
	RunFailed       RunResult = "failed"
	RunStopped      RunResult = "stopped"
	RunLeaseExpired RunResult = "lapsed"
	// RunGangMemberEnded means that another member of the gang ended.
	RunGangMemberEnded RunResult = "broken"
	// RunGangIncomplete means that other members of the gang did not start.
	RunGangIncomplete RunResult = "alone"
)

// TicketsReceived answers RequestTickets.
type TicketsReceived struct {
	// Step is the job.TaskID.StepKey of the step.
	Step string
	// Tickets holds a ticket for each runner that may run the step.
	Tickets  map[RunnerID]string
	ValidFor time.Duration
	Failed   bool
}
