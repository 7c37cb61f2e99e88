// Package pool schedules the jobs of one pool of instances. It has no I/O: a
// Pool takes events and returns effects as data.
//
// A pool has one owner at a time, which is an entry. Orders to runners carry the
// owner's fencing token, so that those of a previous owner are rejected. Every task
// runs under a lease, so that tasks on an unreachable runner end. The owner extends
// the leases by polling the runners: a poll (PollRunner) takes the place of a
// heartbeat and also collects the ends of tasks.
//
// # Usage
//
//	options := pool.Options{Pool: "booking", Fence: 41, Epoch: 2, Loading: true}
//	p := pool.New(options, time.Now())
//	for event := range events {
//		for _, effect := range p.Reduce(time.Now(), event) {
//			perform(effect)
//		}
//	}
package pool

import (
	"cmp"
	"slices"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/organisation"
)

// Fence is a fencing token. A runner rejects orders with a lower token than the
// highest that it has seen.
type Fence uint64

// RowVersion numbers the writes of a stored row; 0 means that there is none.
type RowVersion uint64

// runsPerEpoch is the distance between the first run numbers of successive owners, which
// keeps the numbers of their runs apart.
const runsPerEpoch = 10_000

// Options are the settings of a Pool. Zero durations and limits take the defaults.
type Options struct {
	Pool  job.PoolName
	Fence Fence
	// Epoch counts the owners that the pool has had, including this one.
	Epoch int
	// Loading is true if stored jobs are still to be passed in with JobStored.
	Loading bool
	// Lease is how long tasks on a runner continue without contact to the owner.
	Lease time.Duration
	// MaxLease is the longest lease that a runner accepts. A lease lasts that long if its
	// expiry was computed for the clock of a previous incarnation of the runner.
	MaxLease time.Duration
	// StartValidity is how long a start order is valid.
	StartValidity time.Duration
	// PollRate limits the polls of runners per second.
	PollRate int
	// MaxStartsInFlight limits the starts that await their answer.
	MaxStartsInFlight int
	// MaxListedEnds is how many ends a runner lists at most.
	MaxListedEnds int
	Lookahead     Lookahead
}

// Defaults of the options.
const (
	// DefaultLease outlasts a change of owner, which takes about 3 s.
	DefaultLease = 5 * time.Second
	// DefaultMaxLease is the highest limit that runners are known to have.
	DefaultMaxLease = 10 * time.Second
	// DefaultStartValidity bounds how long a lost start order blocks its task.
	DefaultStartValidity = 2 * time.Second
	// DefaultPollRate is what an owner with a full core can spare for polls, which
	// take about 0.2 ms of processor time each.
	DefaultPollRate = 2000
	// DefaultMaxStartsInFlight is far above the about 10 starts that an owner that keeps
	// up has in flight. An owner can read that many answers one after the other within
	// the timeout of an order.
	DefaultMaxStartsInFlight = 400
	// DefaultMaxListedEnds is what runners are known to list.
	DefaultMaxListedEnds = 500
)

func (o *Options) setDefaults() {
	setDefault(&o.Lease, DefaultLease)
	setDefault(&o.MaxLease, DefaultMaxLease)
	o.MaxLease = max(o.MaxLease, o.Lease)
	setDefault(&o.StartValidity, DefaultStartValidity)
	if o.PollRate <= 0 {
		o.PollRate = DefaultPollRate
	}
	if o.MaxStartsInFlight <= 0 {
		o.MaxStartsInFlight = DefaultMaxStartsInFlight
	}
	if o.MaxListedEnds <= 0 {
		o.MaxListedEnds = DefaultMaxListedEnds
	}
	o.StartValidity = min(o.StartValidity, o.Lease)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// QueueSettings are the operator's settings of a queue.
type QueueSettings = job.QueueSettings

// defaultAttempts applies to queues whose settings are not known.
const defaultAttempts = 3

// Pool is the reducer of one pool of instances. Use New.
type Pool struct {
	options Options
	// ownedSince is when this owner took over the pool.
	ownedSince time.Time
	loading    bool
	queues     map[job.QueueName]QueueSettings
	// organisations is nil if the configuration names none.
	organisations *organisation.Directory
	quotas        quotas
	shares        shares
	admission     poolAdmission
	jobs          map[job.ID]*jobState
	// jobOrder and runnerOrder hold the jobs and runners in a fixed order, so that
	// the same events always produce the same effects.
	jobOrder    []*jobState
	runnerOrder []*runnerState
	parked      parkedJobs
	// ended holds the outcomes of jobs for the retention period of Expire.
	ended   map[job.ID]job.Outcome
	runners map[RunnerID]*runnerState
	// tickets is keyed by job.TaskID.StepKey.
	tickets map[string]*stepTickets
	// listed is true once the registered runners were listed.
	listed   bool
	takeover takeover
	arrivals arrivals
	runtimes map[job.QueueName]*runtimes
	lostRuns map[runKey]lostRun
	// endedRunners holds the incarnations that have terminated recently, whose
	// registrations may still be listed.
	endedRunners map[RunnerID]endedRunner

	// rankedAt is when the jobs were last ranked, ranked holds them in this order.
	rankedAt     time.Time
	ranked       []*jobState
	reservations []*reservation
	// wantedRacks is kept while look-ahead is enabled, see findWantedRacks.
	wantedRacks map[string]bool
	// steppedDown is true once this ownership has ended. Reduce then ignores events.
	steppedDown bool
	// startsInFlight counts the starts that await their answer, startWindow limits them.
	startsInFlight int
	startWindow    startWindow
	// dispatchNeeded is true if a task may have become placeable since the last
	// dispatch.
	dispatchNeeded bool
	// lastSaved is when a change of a job was last stored.
	lastSaved time.Time
	effects   []Effect
}

// New returns the pool of an owner that has just taken it over.
func New(options Options, now time.Time) *Pool {
	options.setDefaults()
	return &Pool{
		options:    options,
		ownedSince: now,
		arrivals:   arrivals{observedSince: now},
		loading:    options.Loading,
		queues:     map[job.QueueName]QueueSettings{},
		jobs:       map[job.ID]*jobState{},
		ended:      map[job.ID]job.Outcome{},
		runners:    map[RunnerID]*runnerState{},
		tickets:    map[string]*stepTickets{},
		takeover:   takeover{awaited: map[RunnerID]bool{}, resolved: map[RunnerID]bool{}},

		runtimes: map[job.QueueName]*runtimes{},
		lostRuns: map[runKey]lostRun{},

		endedRunners: map[RunnerID]endedRunner{},
	}
}

// Reduce applies events in order and returns the resulting effects. Tasks are placed
// and jobs saved once, after the last event, so that the cost per event falls when
// an owner falls behind and passes in more events at a time. The result is valid
// until the next call.
func (p *Pool) Reduce(now time.Time, events ...Event) []Effect {
	clear(p.effects)
	p.effects = p.effects[:0]
	for _, event := range events {
		if p.steppedDown {
			return p.effects
		}
		event.apply(p, now)
	}
	if p.steppedDown {
		return p.effects
	}
	if p.dispatchNeeded {
		p.dispatchNeeded = false
		p.dispatch(now)
	}
	if p.admission.due {
		p.publishAdmission(now)
	}
	p.pollRunners(now)
	p.saveJobs(now)
	return p.effects
}

func (p *Pool) emit(e Effect) { p.effects = append(p.effects, e) }

// stepDown ends this ownership after a sign of a newer owner.
func (p *Pool) stepDown(reason string) {
	if !p.steppedDown {
		p.steppedDown = true
		p.emit(&StepDown{Reason: reason})
	}
}

// settings returns the settings of a job's queue: those in force, or those under which the
// job was accepted if the queue has been removed since.
func (p *Pool) settings(j *jobState) QueueSettings {
	q, ok := p.queues[j.record.Queue]
	if !ok && j.record.Settings != nil {
		q = *j.record.Settings
	}
	if q.MaxAttempts == 0 {
		q.MaxAttempts = defaultAttempts
	}
	return q
}

// Error bounds of a runner's monotonic clock relative to the owner's.
const (
	// clockDrift is the fraction by which a runner's clock may run too slow.
	clockDrift = 0.02
	// clockSlack covers the granularity of clocks and timers.
	clockSlack = 100 * time.Millisecond
)

// leaseBound returns the time after which a lease that is granted now has certainly
// ended.
func leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-clockDrift)) + clockSlack
}

// addJob and dropJob keep jobs and jobOrder consistent.
func (p *Pool) addJob(j *jobState) {
	p.jobs[j.id()] = j
	p.jobOrder = append(p.jobOrder, j)
}

func (p *Pool) dropJob(j *jobState) {
	delete(p.jobs, j.id())
	for _, o := range j.occurrences {
		p.forgetOccurrence(o)
	}
	p.emit(&JobForgotten{ID: j.id()})
	// Cloned because a caller may be iterating over the jobs.
	p.jobOrder = slices.DeleteFunc(slices.Clone(p.jobOrder), func(o *jobState) bool { return o == j })
}

// addRunner and dropRunner keep runners and runnerOrder consistent.
func (p *Pool) addRunner(r *runnerState) {
	p.runners[r.ID] = r
	index, _ := slices.BinarySearchFunc(p.runnerOrder, r.ID, func(o *runnerState, id RunnerID) int { return cmp.Compare(o.ID, id) })
	p.runnerOrder = slices.Insert(slices.Clone(p.runnerOrder), index, r)
}

func (p *Pool) dropRunner(id RunnerID) {
	delete(p.runners, id)
	p.runnerOrder = slices.DeleteFunc(slices.Clone(p.runnerOrder), func(o *runnerState) bool { return o.ID == id })
}
