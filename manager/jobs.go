package manager

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/table"
	"bronzestair/io/owner"
)

// SubmitResult is the result of submitting a job.
type SubmitResult uint8

// The results of submitting a job. The zero value is NotStored.
const (
	// NotStored means that the job is known not to be stored and will never run.
	NotStored SubmitResult = iota
	Stored
	// MayBeStored means that the job may be stored: the caller has to submit it again.
	MayBeStored
	// Excess means that the job is known not to be stored, and will never run, because its
	// organisation exceeds its rate while the pool is full. The error is an *ExcessError.
	Excess
	// Forbidden means that another organisation has a job with this id.
	Forbidden
	// Full means that the job is known not to be stored, and will never run, because the jobs
	// in the memory of the pool's owner leave no room for it. The error is a *FullError.
	Full
	// TooLarge means that the job is not stored because its encoding exceeds a row of the store.
	TooLarge
)

const (
	// maxCancelAttempts bounds the attempts to cancel a job that its owner changes at
	// the same time.
	maxCancelAttempts = 4
	// ownerSubmitTimeout bounds a submission to the pool's owner. It leaves time to
	// store the job directly within the usual caller deadline of 3 s.
	ownerSubmitTimeout = 1500 * time.Millisecond
	// slowStoreSubmitTimeout applies while the store is slow. The owner probably waits for it, and
	// a second write of the job would make it slower.
	slowStoreSubmitTimeout = 2300 * time.Millisecond
	// peerCallTimeout bounds the other calls to peers.
	peerCallTimeout = 300 * time.Millisecond
)

// Submit stores a job. Submissions with the same id are the same job. The pool's owner
// stores the jobs that all entries receive, in batches; if it cannot be reached, this
// entry stores the job itself.
func (m *Manager) Submit(ctx context.Context, q *catalog.Queue, caller job.Organisation, id job.ID, spec *job.Spec) (SubmitResult, error) {
	record := &job.Record{Pool: q.Pool, Queue: q.Name, Organisation: caller, ID: id, Spec: *spec, Accepted: time.Now(), Settings: &q.QueueSettings}
	value, err := record.Encode()
	if err != nil {
		return NotStored, err
	}
	if limit := m.options.MaxValueBytes; len(value) > limit {
		return TooLarge, fmt.Errorf("the job's row has %d bytes, the store takes %d", len(value), limit)
	}
	result, err := m.submitToOwner(ctx, record, value)
	switch {
	case err == nil && result == Stored:
		return Stored, nil
	case err == nil && result == Forbidden:
		return Forbidden, ErrForbidden
	case result == Excess || result == Full:
		return m.reconcileRefusal(id, result, err)
	case err == nil:
		return result, errRefusedByOwner
	}
	if result == MayBeStored && (ctx.Err() != nil || m.store.Unavailable()) {
		return result, err
	}
	directResult, err := m.direct.storeNewJob(ctx, record, value)
	switch directResult {
	case NotStored:
		return result, err // the owner's write may still take effect
	case Forbidden:
		return Forbidden, ErrForbidden
	}
	return directResult, err
}

// discardSink ignores the events of jobs that this entry stores for a pool owned
// elsewhere. That owner reads them from the feed.
type discardSink struct{}

func (discardSink) submit(pool.Event) {}

// submitToOwner asks the pool's owner, in this process or a peer, to store a job.
func (m *Manager) submitToOwner(ctx context.Context, record *job.Record, value []byte) (SubmitResult, error) {
	timeout := ownerSubmitTimeout
	if m.store.slow() {
		timeout = slowStoreSubmitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if o := m.localOwner(record.Pool); o != nil {
		return o.storeNewJob(ctx, record, value)
	}
	address := m.ownerAddress(record.Pool)
	if address == "" || m.breakers.open(time.Now(), address) {
		return NotStored, errNoOwner
	}
	reply, err := m.peers.Submit(ctx, address, record.Pool, value)
	m.breakers.record(time.Now(), address, err)
	switch {
	case errors.Is(err, owner.ErrNotOwner):
		return NotStored, err
	case err != nil:
		return MayBeStored, err
	}
	switch result := SubmitResult(reply.Result); result {
	case Excess:
		return Excess, &ExcessError{RetryAfter: reply.RetryAfter}
	case Full:
		return Full, &FullError{RetryAfter: reply.RetryAfter}
	default:
		return result, nil
	}
}

// storeNewJob stores a job of this owner's pool, unless the owner is overloaded, the job is in
// excess while the pool is full, or the jobs in memory leave no room for it.
func (o *poolOwner) storeNewJob(ctx context.Context, record *job.Record, value []byte) (SubmitResult, error) {
	if o.overloaded() {
		o.m.logger.Info("job refused", "job", record.ID, "pool", o.name, "queuedEvents", len(o.inbox), "reason", "the pool's owner is overloaded")
		// An earlier request may have stored the job.
		return o.writer.uncertainJobs.reconcile(time.Now(), record.ID, NotStored), nil
	}
	excess, refused := o.admission.Submit(time.Now(), record.Organisation)
	if refused && !o.mayBeStored(ctx, record) {
		return Excess, o.refuseExcess(record)
	}
	done, ok := o.jobs.Admit(record, len(value))
	switch {
	case ok:
		defer done()
	case !o.mayBeStored(ctx, record):
		return Full, o.refuseFull(record)
	}
	return o.writer.storeJob(ctx, record, value, excess)
}

// ErrUnknownJob is returned for a job that does not exist.
var ErrUnknownJob = errors.New("job does not exist")

// ErrForbidden is returned for a job that belongs to another organisation than the caller.
var ErrForbidden = owner.ErrForbidden

// State returns the state of a job to a caller of an organisation, or ErrUnknownJob or
// ErrForbidden. Other errors mean that the state cannot be determined at present.
func (m *Manager) State(ctx context.Context, q *catalog.Queue, caller job.Organisation, id job.ID) (job.State, error) {
	if state, err := m.stateFromOwner(ctx, q.Pool, caller, id); state != "" || err != nil {
		return state, err
	}
	row, found, err := readRow(ctx, m.store, jobKey(jobTable, q.Name, id))
	if err != nil {
		return "", err
	}
	if found {
		return m.storedState(ctx, row, caller, id)
	}
	outcome, found, err := readOutcome(ctx, m.store, q.Name, id)
	if err != nil {
		return "", err
	}
	if !found || outcome.Guard {
		return "", ErrUnknownJob
	}
	if !outcome.Organisation.Permits(caller) {
		return "", ErrForbidden
	}
	return outcome.State, nil
}

// storedState returns the state of a job whose row is stored. A job that no owner
// answers for is reported as queued.
func (m *Manager) storedState(ctx context.Context, row table.Row, caller job.Organisation, id job.ID) (job.State, error) {
	record, err := job.DecodeRecord(row.Value)
	if err != nil {
		m.logger.Error("job is broken", "job", id, "error", err)
		return job.Queued, nil
	}
	if !record.Organisation.Permits(caller) {
		return "", ErrForbidden
	}
	// The queue may have been assigned to another pool since the job was accepted.
	if state, err := m.stateFromOwner(ctx, record.Pool, caller, id); state != "" || err != nil {
		return state, err
	}
	return job.Queued, nil
}

// stateFromOwner returns the state that the pool's owner reports, or "" if there is no
// owner, it does not answer or it does not know the job. The only error is ErrForbidden.
func (m *Manager) stateFromOwner(ctx context.Context, name job.PoolName, caller job.Organisation, id job.ID) (job.State, error) {
	if o := m.localOwner(name); o != nil {
		return o.jobState(ctx, caller, id)
	}
	address := m.ownerAddress(name)
	if address == "" || m.breakers.open(time.Now(), address) {
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	state, err := m.peers.State(ctx, address, name, caller, id)
	if errors.Is(err, ErrForbidden) {
		m.breakers.record(time.Now(), address, nil)
		return "", ErrForbidden
	}
	m.breakers.record(time.Now(), address, err)
	if err != nil {
		m.logger.Info("cannot get job state from owner", "job", id, "owner", address, "error", err)
	}
	return state, nil
}

// jobState returns the state of a job, "" if the owner does not know it, or ErrForbidden.
func (o *poolOwner) jobState(ctx context.Context, caller job.Organisation, id job.ID) (state job.State, err error) {
	o.runQuery(ctx, func(_ context.Context, p *pool.Pool) {
		queue, organisation := p.JobOrigin(id)
		switch {
		case !organisation.Permits(caller):
			err = ErrForbidden
		case caller == "" && organisation != "" && !o.m.isPublic(queue):
			// The caller of a public queue has named a job of another queue of this pool. The
			// rows, which are stored by queue, tell the entry that there is no such job.
		default:
			state, _ = p.State(id)
		}
	})
	return state, err
}

// isPublic reports whether callers of a queue need no key.
func (m *Manager) isPublic(name job.QueueName) bool {
	c := m.catalog.Get()
	if c == nil || c.Organisations == nil {
		return true
	}
	return slices.ContainsFunc(c.Queues, func(q catalog.Queue) bool { return q.Name == name && q.Public })
}

func (o *poolOwner) countWaiting(ctx context.Context, queue job.QueueName) (int, error) {
	n := 0
	loaded := false
	if !o.runQuery(ctx, func(_ context.Context, p *pool.Pool) { n, loaded = p.Waiting(queue), p.Loaded() }) || !loaded {
		return 0, errors.New("the pool's jobs are being loaded")
	}
	return n, nil
}
