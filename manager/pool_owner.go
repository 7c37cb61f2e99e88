package manager

import (
	"context"
	"math/bits"
	"sync/atomic"
	"time"

	"bronzestair/core/backlog"
	"bronzestair/core/job"
	"bronzestair/core/ownership"
	"bronzestair/core/pool"
	"bronzestair/core/process"
	"bronzestair/core/quota"
)

// Timing of a pool's owner.
const (
	tickInterval = 50 * time.Millisecond
	// inboxSize is large enough for the events of a burst.
	inboxSize = 4096
	// maxQueuedEvents is the number of queued events from which on an owner accepts no
	// further jobs, which leaves room for the answers of runners.
	maxQueuedEvents = inboxSize / 2
	// maxEventBatch bounds the events that are reduced before a waiting query is run.
	maxEventBatch = 256
	// cordonTimeout is how long cordons last unless the fleet's owner renews them.
	cordonTimeout = 3 * time.Second
	// incarnationInterval is the period at which an owner to which some runners have not
	// answered lists the instances, to learn which incarnations have ended.
	incarnationInterval = 250 * time.Millisecond
	// fencePollInterval is the period at which a new owner checks whether the previous
	// owners are fenced.
	fencePollInterval = 10 * time.Millisecond
	// jobFeedPause is the pause between two reads of the job feed, in which changes
	// accumulate.
	jobFeedPause = 300 * time.Millisecond
	// outcomeExpiryInterval is the period at which old outcomes are removed from memory.
	outcomeExpiryInterval = 10 * time.Second
)

// The tables of jobs. Rows are named by the job's id and stored in one of the parts of
// the job's queue.
const (
	jobTable      = "jobs"
	progressTable = "progress"
	outcomeTable  = "outcomes"
)

// poolOwner runs the reducer of a pool that this entry owns.
type poolOwner struct {
	m      *Manager
	name   job.PoolName
	shard  ownership.Shard
	tenure ownership.Tenure
	cancel context.CancelFunc
	inbox  chan pool.Event
	// batch is the buffer of collectBatch.
	batch []pool.Event
	// queries are functions to be run between two batches of events.
	queries chan func(context.Context, *pool.Pool)
	writer  *writer
	// admission decides on submissions by what the reducer last published.
	admission pool.Admission
	// organisationMetrics are those that observe sets.
	organisationMetrics organisationMetrics
	labels              organisationLabels
	// runners sends the pool's orders.
	runners *delegatedRunners
	// delegatesRevisedAt is when the delegates were last revised, capacity that of all
	// entries that send the pool's orders.
	delegatesRevisedAt time.Time
	capacity           process.Capacity

	// jobs holds what the pool's jobs are charged.
	jobs *backlog.Jobs
	// workingChargedAt is when the tasks in memory were last charged.
	workingChargedAt time.Time
	// parkedLoggedAt is when a parked job was last logged, in nanoseconds since 1970.
	parkedLoggedAt atomic.Int64

	// leases are those of organisations in the pool.
	leases quota.Holder
	// lastCordoned is when cordons were last received, or zero if they have expired.
	lastCordoned time.Time
	// startedAt is when the ownership began. recovered is true once observe has logged
	// the recovery; until then awaited holds the runners it last found unresolved.
	startedAt time.Time
	recovered bool
	awaited   []pool.RunnerID
	done      chan struct{}
	progress  loopProgress
}

func newPoolOwner(m *Manager, name job.PoolName, tenure ownership.Tenure, cancel context.CancelFunc) *poolOwner {
	o := &poolOwner{
		m: m, name: name, shard: tenure.Shard, tenure: tenure, cancel: cancel,
		inbox:     make(chan pool.Event, inboxSize),
		queries:   make(chan func(context.Context, *pool.Pool)),
		startedAt: time.Now(),
		done:      make(chan struct{}),
	}
	o.writer = newWriter(m.store, o, m.logger)
	o.writer.maxValueBytes, o.writer.mayCompact = m.options.MaxValueBytes, m.readsCompactProgress
	o.runners = newDelegatedRunners(m, tenure.Shard)
	o.capacity = m.options.Capacity
	o.jobs = m.backlog.Open()
	return o
}

// submit queues an event for the reducer. It blocks while the inbox is full and drops
// events only once the owner has ended. A stored job for which there is no room is parked.
func (o *poolOwner) submit(e pool.Event) {
	if stored, ok := e.(*pool.JobStored); ok {
		e = o.keepOrPark(stored, o.jobs.Keep)
	}
	o.enqueue(e)
}

// enqueue is like submit for an event that is to be passed on as it is.
func (o *poolOwner) enqueue(e pool.Event) {
	select {
	case o.inbox <- e:
	case <-o.done:
	}
}

// overloaded reports whether the owner is so far behind that it accepts no further jobs.
func (o *poolOwner) overloaded() bool { return len(o.inbox) > maxQueuedEvents }

// runQuery runs a query between two batches of events, with the context of the
// ownership. It returns false if the owner or the caller's context ends first.
func (o *poolOwner) runQuery(ctx context.Context, query func(context.Context, *pool.Pool)) bool {
	finished := make(chan struct{})
	select {
	case o.queries <- func(ctx context.Context, p *pool.Pool) { query(ctx, p); close(finished) }:
		<-finished
		return true
	case <-o.done:
	case <-ctx.Done():
	}
	return false
}

// run feeds the reducer and carries out its effects until the context ends.
func (o *poolOwner) run(ctx context.Context) {
	defer close(o.done)
	defer o.m.options.Meter.SilentRunners(o.name, 0, 0)
	defer o.clearOrganisationMetrics()
	defer o.jobs.Close()
	p := pool.New(o.poolOptions(), time.Now())
	o.initialize(ctx, p)
	go o.guard(ctx, func() { o.writer.run(ctx) })
	go o.guard(ctx, func() { o.loadAndFollowJobs(ctx) })
	go o.guard(ctx, func() { o.listIncarnations(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	expiryTicker := time.NewTicker(outcomeExpiryInterval)
	defer expiryTicker.Stop()
	for {
		o.progress.record()
		select {
		case <-ctx.Done():
			return
		case e := <-o.inbox:
			o.reduce(ctx, p, o.collectBatch(e)...)
		case query := <-o.queries:
			query(ctx, p)
		case <-ticker.C:
			o.expireCordons(ctx, p)
			o.reduce(ctx, p, &pool.SubmissionsCounted{PerSecond: o.admission.Rates(time.Now())}, pool.Ticked{})
			o.observe(p)
			o.chargeWorking(p)
			o.reviseDelegates(ctx, p)
		case <-expiryTicker.C:
			p.Expire(time.Now(), o.m.options.Retention)
		}
	}
}

// guard runs work of the pool, see guardShard.
func (o *poolOwner) guard(ctx context.Context, f func()) { o.m.guardShard(ctx, o.shard, f) }

func (o *poolOwner) poolOptions() pool.Options {
	lease := pool.DefaultLease
	if m := o.m.options.MaxLease; m > 0 {
		lease = min(lease, m)
	}
	return pool.Options{
		Pool: o.name, Fence: pool.Fence(o.tenure.Fence), Epoch: o.tenure.Epoch, Loading: true,
		Lease: lease, MaxLease: o.m.options.MaxLease, Lookahead: o.m.options.Lookahead,
	}.ScaledTo(o.m.options.Capacity)
}

// initialize passes the queue settings and registered runners that the entry already
// knows to the reducer.
func (o *poolOwner) initialize(ctx context.Context, p *pool.Pool) {
	o.m.mu.Lock()
	runners := o.m.runnersInPool(o.name)
	readAt := o.m.registrationsReadAt
	o.m.mu.Unlock()
	o.logStart(runners, readAt)
	if c := o.m.catalog.Get(); c != nil {
		o.reduce(ctx, p, &pool.QueuesChanged{Queues: c.QueueSettings(), Organisations: c.Organisations, Floor: o.m.floorShare(o.name)})
	}
	if !readAt.IsZero() {
		o.reduce(ctx, p, runners)
	}
}

// collectBatch returns an event with those that wait in the inbox, up to
// maxEventBatch.
func (o *poolOwner) collectBatch(first pool.Event) []pool.Event {
	o.batch = append(o.batch[:0], first)
	for len(o.batch) < maxEventBatch {
		select {
		case next := <-o.inbox:
			o.batch = append(o.batch, next)
		default:
			return o.batch
		}
	}
	return o.batch
}

func (o *poolOwner) reduce(ctx context.Context, p *pool.Pool, events ...pool.Event) {
	for _, effect := range p.Reduce(time.Now(), events...) {
		o.perform(ctx, effect)
	}
}

// expireCordons removes the cordons if they were not renewed within cordonTimeout.
func (o *poolOwner) expireCordons(ctx context.Context, p *pool.Pool) {
	if !o.lastCordoned.IsZero() && time.Since(o.lastCordoned) > cordonTimeout {
		o.lastCordoned = time.Time{}
		o.reduce(ctx, p, &pool.RunnersCordoned{})
	}
}

// perform carries out an effect and submits its result to the reducer.
func (o *poolOwner) perform(ctx context.Context, effect pool.Effect) {
	switch e := effect.(type) {
	case *pool.StartTask:
		go o.guard(ctx, func() { o.start(ctx, e) })
	case *pool.StopTask:
		go o.guard(ctx, func() { o.stop(ctx, e) })
	case *pool.PollRunner:
		go o.guard(ctx, func() { o.poll(ctx, e) })
	case *pool.ThrottleTask:
		go o.guard(ctx, func() {
			if err := o.m.runners.Throttle(ctx, e); err != nil {
				o.m.logger.Warn("cannot throttle task", "task", e.Task.String(), "runner", e.Runner.ID, "error", err)
			}
		})
	case *pool.SaveProgress, *pool.FinishJob:
		o.writer.enqueue(ctx, e)
	case *pool.LookUpOutcome:
		go o.guard(ctx, func() { o.lookUpOutcome(ctx, e) })
	case *pool.LoadParkedJob:
		go o.guard(ctx, func() { o.loadParked(ctx, e) })
	case *pool.JobForgotten:
		o.jobs.Drop(e.ID, time.Now())
	case *pool.RequestTickets:
		go o.guard(ctx, func() {
			answer, err := o.m.runners.FetchTickets(ctx, o.m.options.TicketServiceAddress, e)
			if err != nil {
				o.m.logger.Warn("cannot fetch tickets", "step", e.Step, "error", err)
			}
			o.submit(answer)
		})
	case *pool.StepDown:
		o.m.logger.Warn("ownership ends", "pool", o.name, "reason", e.Reason)
		go o.m.stopShard(o.shard, e.Reason)
	case *pool.LogDecision:
		o.logDecision(e)
	case *pool.PublishAdmission:
		o.admission.Update(e.State)
	case *pool.DuplicateCompletion:
		o.logDuplicateCompletion(e)
	case *pool.RunnerReconnected:
		o.logRunnerReconnected(e)
	}
}

// lookUpOutcome reads the outcome of a job that another process has ended, retrying
// until the store answers.
func (o *poolOwner) lookUpOutcome(ctx context.Context, e *pool.LookUpOutcome) {
	retryBackoff := newBackoff()
	for ctx.Err() == nil {
		outcome, found, err := readOutcome(ctx, o.m.store, e.Queue, e.ID)
		switch {
		case err == nil && found:
			o.submit(&pool.JobEnded{ID: e.ID, Outcome: outcome})
			return
		case err == nil:
			o.m.logger.Error("job has neither row nor outcome", "job", e.ID)
			return
		}
		o.m.logger.Warn("cannot read outcome", "job", e.ID, "error", err)
		sleep(ctx, retryBackoff.NextBackOff())
	}
}

func (o *poolOwner) start(ctx context.Context, e *pool.StartTask) {
	if !o.m.ownershipValid(o.shard) {
		o.submit(&pool.TaskStarted{Runner: e.Runner.ID, Task: e.Task, Run: e.Run, CallResult: pool.Withheld})
		return
	}
	sent := time.Now()
	answer, err := o.runners.Start(ctx, e)
	took := o.measureCall(CallStart, answer.CallResult, sent)
	answer.Took = took
	if err != nil || !answer.CallResult.Answered() {
		o.m.logger.Warn("start has no answer", "pool", o.name, "job", e.Task.Job, "task", e.Task.String(), "run", e.Run, "runner", e.Runner.ID,
			"call", answer.CallResult.String(), "took", took, "until", time.Duration(e.Until), "error", err)
	}
	o.m.options.Meter.Started(o.name, answer.CallResult)
	o.submit(answer)
}

func (o *poolOwner) stop(ctx context.Context, e *pool.StopTask) {
	sent := time.Now()
	answer, err := o.runners.Stop(ctx, e)
	took := o.measureCall(CallStop, answer.CallResult, sent)
	if err != nil || !answer.CallResult.Answered() {
		o.m.logger.Warn("stop has no answer", "pool", o.name, "job", e.Task.Job, "task", e.Task.String(), "run", e.Run, "runner", e.Runner.ID,
			"call", answer.CallResult.String(), "took", took, "error", err)
	}
	o.submit(answer)
}

func (o *poolOwner) poll(ctx context.Context, e *pool.PollRunner) {
	if !o.m.ownershipValid(o.shard) {
		sleep(ctx, tickInterval)
		o.submit(&pool.RunnerPolled{Runner: e.Runner.ID, CallResult: pool.Withheld, Sent: time.Now()})
		return
	}
	sent := time.Now()
	answer, err := o.runners.Poll(ctx, e)
	took := o.measureCall(CallPoll, answer.CallResult, sent)
	// Of a series of calls without an answer, only the polls 1, 2, 4, 8 and so on are logged.
	if n := e.FailedCalls + 1; !answer.CallResult.Answered() && bits.OnesCount(uint(n)) == 1 {
		o.m.logger.Warn("hold has no answer", "pool", o.name, "runner", e.Runner.ID, "call", answer.CallResult.String(), "took", took,
			"until", time.Duration(e.Until), "acknowledged", e.Acknowledged, "unanswered", n, "error", err)
	}
	for _, end := range answer.Ended {
		o.m.options.Meter.Ended(o.name, end.Result)
	}
	o.submit(answer)
}

// logDecision logs a decision of the reducer.
func (o *poolOwner) logDecision(e *pool.LogDecision) {
	attributes := []any{"pool", o.name, "job", e.Job}
	if e.Task.Job != "" {
		attributes = append(attributes, "task", e.Task.String(), "run", e.Run)
	}
	if e.Task.Job != "" || e.Runner != "" {
		attributes = append(attributes, "runner", e.Runner)
	}
	if e.Step != "" {
		attributes = append(attributes, "step", e.Step)
	}
	if e.DataAge > 0 {
		attributes = append(attributes, "dataAge", e.DataAge)
	}
	o.m.logger.Info(e.Decision, append(attributes, "reason", e.Reason)...)
}
