// Package maintenance plans the upkeep of instances in waves and the moves of
// instances between pools. Upkeep is the platform's word for planned maintenance.
// The package performs no I/O: a Planner takes events and returns effects.
//
// The planner of a fleet runs in the process that owns the fleet's shard. It
// cordons instances, the owners of the pools drain them, and it then orders the
// upkeep or move of the drained instances.
//
// # Usage
//
//	planner := maintenance.New(maintenance.Options{})
//	for _, effect := range planner.Reduce(time.Now(), event) {
//		perform(effect)
//	}
package maintenance

import (
	"time"

	"bronzestair/core/job"
	"bronzestair/core/pool"
)

// InstanceID identifies an instance. It stays the same over restarts, each of which
// begins a new incarnation of the instance's runner with its own pool.RunnerID.
type InstanceID string

// InstanceState is the state of an instance as reported by the platform.
type InstanceState string

// The states of an instance.
const (
	Up     InstanceState = "up"
	Moving InstanceState = "moving"
	Upkeep InstanceState = "upkeep"
	Down   InstanceState = "down"
)

// Instance is an item of the platform's instance list.
type Instance struct {
	ID       InstanceID
	Pool     job.PoolName
	State    InstanceState
	Capacity job.Resources
	Runner   pool.RunnerID
	// Born is the start time of the current incarnation of the instance's runner; it
	// is zero if that time is not known.
	Born time.Time
}

// WaveNumber identifies a wave of upkeep.
type WaveNumber int

// Wave requests the upkeep of a set of instances within Duration.
type Wave struct {
	Number    WaveNumber
	Instances []InstanceID
	Duration  time.Duration
	// MaxUnavailable limits how many of them are in upkeep at once.
	MaxUnavailable int
}

// PoolSettings are the operator's settings of a pool.
type PoolSettings struct {
	Name job.PoolName
	// Spare marks a pool of running standby instances that serve no queue.
	Spare bool
}

// Options are the settings of a Planner.
type Options struct {
	// OrdersNotBefore is the time of the takeover plus HandoverDelay. Before it, an
	// instance gets an order only if the start time of its runner shows that the
	// previous owner has not given it one shortly before the takeover. The zero value
	// sets no such condition.
	OrdersNotBefore time.Time
	// HandoverDelay is the minimum time between orders of two owners for the same
	// instance.
	HandoverDelay time.Duration
}

// pendingOrder is an order for an upkeep or move that has not finished.
type pendingOrder struct {
	instance InstanceID
	wave     WaveNumber
	// destination is the destination pool of a move; it is empty for an upkeep.
	destination job.PoolName
	from        job.PoolName
	// runner is the runner of the instance when the order was first sent.
	runner pool.RunnerID
	// sentAt is when the order was last sent.
	sentAt time.Time
	// inFlight is true while the call that carries the order awaits its answer.
	inFlight bool
	// acceptedAt is when the platform accepted the order; it is zero until then.
	acceptedAt time.Time
	// runnerEnded is true once the runner is known to have ended.
	runnerEnded bool
}

// waveState is a wave and its progress.
type waveState struct {
	Wave
	receivedAt time.Time
	// begun holds the instances for which the platform has accepted the order for
	// upkeep.
	begun map[InstanceID]bool
	// reportedState is the state last reported to the operator; it is empty before the
	// first report.
	reportedState string
}

// Planner is the reducer that plans a fleet's maintenance. Create one with New.
type Planner struct {
	options   Options
	instances map[InstanceID]Instance
	// instanceOrder holds the ids of the instances in ascending order.
	instanceOrder []InstanceID
	// listRequestedAt is when the latest instance list was requested; it is zero before
	// the first list.
	listRequestedAt time.Time
	// listPending is true while a request for the list awaits its answer.
	listPending bool
	// nextList is the earliest time for the next request.
	nextList time.Time
	waves    map[WaveNumber]*waveState
	orders   map[InstanceID]*pendingOrder
	cordons  map[InstanceID]cordon
	// cordonPauses holds until when an instance is not cordoned again.
	cordonPauses map[InstanceID]time.Time
	// withheld is as of the start of the planning step, with the cordons since.
	withheld     map[job.PoolName]withheld
	reports      map[job.PoolName]poolReport
	pools        map[job.PoolName]PoolSettings
	peaks        map[job.PoolName]peak
	surplusSince map[job.PoolName]time.Time
	effects      []Effect
}

// poolReport is the latest report of a pool and when it was received.
type poolReport struct {
	pool.Report
	at time.Time
	// byRunner refers to the lines of Report.Runners.
	byRunner map[pool.RunnerID]*pool.RunnerReport
}

func newPoolReport(report pool.Report, now time.Time) poolReport {
	r := poolReport{Report: report, at: now, byRunner: make(map[pool.RunnerID]*pool.RunnerReport, len(report.Runners))}
	for i := range report.Runners {
		r.byRunner[report.Runners[i].Runner] = &report.Runners[i]
	}
	return r
}

// New returns a Planner without instances, pools or waves.
func New(options Options) *Planner {
	return &Planner{
		options:      options,
		instances:    map[InstanceID]Instance{},
		waves:        map[WaveNumber]*waveState{},
		orders:       map[InstanceID]*pendingOrder{},
		cordons:      map[InstanceID]cordon{},
		cordonPauses: map[InstanceID]time.Time{},
		withheld:     map[job.PoolName]withheld{},
		reports:      map[job.PoolName]poolReport{},
		pools:        map[job.PoolName]PoolSettings{},
		peaks:        map[job.PoolName]peak{},
		surplusSince: map[job.PoolName]time.Time{},
	}
}

// Reduce applies an event and returns the effects to perform. The returned slice
// is reused by the next call.
func (p *Planner) Reduce(now time.Time, event Event) []Effect {
	clear(p.effects)
	p.effects = p.effects[:0]
	event.apply(p, now)
	return p.effects
}

func (p *Planner) emit(e Effect) { p.effects = append(p.effects, e) }

// Event is an input of the Planner.
type Event interface {
	apply(p *Planner, now time.Time)
}

// Ticked triggers planning. It is sent at regular intervals.
type Ticked struct{}

// InstancesListed carries the platform's instance list that was requested at
// RequestedAt. It answers ListInstances.
type InstancesListed struct {
	Instances   []Instance
	RequestedAt time.Time
	Failed      bool
}

// WaveReceived carries a wave and those of its instances for which the platform has
// accepted a previous owner's order for upkeep.
type WaveReceived struct {
	Wave  Wave
	Begun []InstanceID
	// Completed is true if the wave has been reported as completed.
	Completed bool
}

// PoolsChanged carries the settings of all pools.
type PoolsChanged struct {
	Pools []PoolSettings
}

// PoolReported carries the load of a pool.
type PoolReported struct {
	Report pool.Report
}

// Result is the outcome of an order.
type Result uint8

// The results of an order. The zero value is Unknown: the order may have been
// carried out.
const (
	Unknown Result = iota
	Accepted
	// Busy means that the instance is not up, or is being moved or shut down.
	Busy
	// Refused means that the order cannot be carried out at all.
	Refused
	// RetryLater means that the platform accepts no more orders for now, or that the
	// order was not sent because the ownership was not valid.
	RetryLater
	// RefusedFence means that another owner has a higher fencing token.
	RefusedFence
)

var resultNames = [...]string{"unknown", "accepted", "busy", "refused", "retryLater", "refusedFence"}

// String returns the name that logs use, in camel case.
func (r Result) String() string { return resultNames[r] }

// OrderAnswered carries the result of an OrderUpkeep or OrderMove.
type OrderAnswered struct {
	Instance InstanceID
	Result   Result
}

// Effect is an action for the caller of Reduce to perform.
type Effect interface{ isEffect() }

// ListInstances requests the platform's instance list. It is answered by
// InstancesListed.
type ListInstances struct{}

// OrderUpkeep orders the upkeep of an instance. It is answered by OrderAnswered.
type OrderUpkeep struct {
	Instance InstanceID
	Wave     WaveNumber
}

// OrderMove orders the move of an instance to another pool. It is answered by
// OrderAnswered.
type OrderMove struct {
	Instance    InstanceID
	Destination job.PoolName
}

// NotifyRunnerEnded tells the owner of a pool that a runner has ended.
type NotifyRunnerEnded struct {
	Pool   job.PoolName
	Runner pool.RunnerID
	// Born is the start time of the incarnation that has ended, if the runner may start
	// again under its ID.
	Born time.Time
}

// SaveWave persists the progress of a wave.
type SaveWave struct {
	Wave WaveNumber
	// Begun holds the instances for which the platform has accepted the order for upkeep.
	Begun []InstanceID
	// Completed is true if the wave is reported as completed.
	Completed bool
}

// ReportWave reports the state of a wave to the operator.
type ReportWave struct {
	Wave  WaveNumber
	State string
}

// StepDown gives up the ownership of the fleet's shard.
type StepDown struct{}

// LogDecision is a planning decision to log.
type LogDecision struct {
	Instance InstanceID
	// Runner is the runner concerned, if any.
	Runner   pool.RunnerID
	Decision string
	Reason   string
	// DataAge is the age of the data on which the decision is based.
	DataAge time.Duration
}

func (*ListInstances) isEffect()     {}
func (*OrderUpkeep) isEffect()       {}
func (*OrderMove) isEffect()         {}
func (*NotifyRunnerEnded) isEffect() {}
func (*SaveWave) isEffect()          {}
func (*ReportWave) isEffect()        {}
func (*StepDown) isEffect()          {}
func (*LogDecision) isEffect()       {}
