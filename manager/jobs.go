package manager

import (
	"context"
	"errors"
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
)

const (
	// maxCancelAttempts bounds the attempts to cancel a job that its owner changes at
	// the same time.
	maxCancelAttempts = 4
	// ownerSubmitTimeout bounds a submission to the pool's owner. It leaves time to
	// store the job directly within the usual caller deadline of 3 s.
	ownerSubmitTimeout = 1500 * time.Millisecond
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
	result, err := m.submitToOwner(ctx, record, value)
	switch {
	case err == nil && result == Stored:
		return Stored, nil
	case err == nil:
		return result, errRefusedByOwner
	}
	if result == MayBeStored && (ctx.Err() != nil || m.store.Unavailable()) {
		return result, err
	}
	directResult, err := m.direct.storeNewJob(ctx, record, value)
	if directResult == NotStored {
		return result, err // the owner's write may still take effect
	}
	return directResult, err
}

// discardSink ignores the events of jobs that this entry stores for a pool owned
// elsewhere. That owner reads them from the feed.
type discardSink struct{}

func (discardSink) submit(pool.Event) {}

// submitToOwner asks the pool's owner, in this process or a peer, to store a job.
func (m *Manager) submitToOwner(ctx context.Context, record *job.Record, value []byte) (SubmitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerSubmitTimeout)
	defer cancel()
	if o := m.localOwner(record.Pool); o != nil {
		return o.storeNewJob(ctx, record, value)
	}
	address := m.ownerAddress(record.Pool)
	if address == "" || m.breakers.open(time.Now(), address) {
		return NotStored, errNoOwner
	}
	result, err := m.peers.Submit(ctx, address, record.Pool, value)
	m.breakers.record(time.Now(), address, err)
	switch {
	case errors.Is(err, owner.ErrNotOwner):
		return NotStored, err
	case err != nil:
		return MayBeStored, err
	}
	return SubmitResult(result), nil
}

// storeNewJob stores a job of this owner's pool, unless the owner is overloaded.
func (o *poolOwner) storeNewJob(ctx context.Context, record *job.Record, value []byte) (SubmitResult, error) {
	if o.overloaded() {
		o.m.logger.Info("job refused", "job", record.ID, "pool", o.name, "queuedEvents", len(o.inbox), "reason", "the pool's owner is overloaded")
		// An earlier request may have stored the job.
		return o.writer.uncertainJobs.reconcile(time.Now(), record.ID, NotStored), nil
	}
	return o.writer.storeNewJob(ctx, record, value)
}

// ErrUnknownJob is returned for a job that does not exist.
var ErrUnknownJob = errors.New("job does not exist")

// State returns the state of a job, or ErrUnknownJob. Other errors mean that the state
// cannot be determined at present.
func (m *Manager) State(ctx context.Context, q *catalog.Queue, caller job.Organisation, id job.ID) (job.State, error) {
	if state := m.stateFromOwner(ctx, q.Pool, id); state != "" {
		return state, nil
	}
	row, found, err := readRow(ctx, m.store, jobKey(jobTable, q.Name, id))
	if err != nil {
		return "", err
	}
	if found {
		return m.storedState(ctx, row, id), nil
	}
	outcome, found, err := readOutcome(ctx, m.store, q.Name, id)
	if err != nil {
		return "", err
	}
	if !found || outcome.Guard {
		return "", ErrUnknownJob
	}
	return outcome.State, nil
}

// storedState returns the state of a job whose row is stored. A job that no owner
// answers for is reported as queued.
func (m *Manager) storedState(ctx context.Context, row table.Row, id job.ID) job.State {
	record, err := job.DecodeRecord(row.Value)
	if err != nil {
		m.logger.Error("job is broken", "job", id, "error", err)
		return job.Queued
	}
	// The queue may have been assigned to another pool since the job was accepted.
	if state := m.stateFromOwner(ctx, record.Pool, id); state != "" {
		return state
	}
	return job.Queued
}

// stateFromOwner returns the state that the pool's owner reports, or "" if there is no
// owner, it does not answer or it does not know the job.
func (m *Manager) stateFromOwner(ctx context.Context, name job.PoolName, id job.ID) job.State {
	if o := m.localOwner(name); o != nil {
		state, _ := o.jobState(ctx, id)
		return state
	}
	address := m.ownerAddress(name)
	if address == "" || m.breakers.open(time.Now(), address) {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	state, err := m.peers.State(ctx, address, name, id)
	m.breakers.record(time.Now(), address, err)
	if err != nil {
		m.logger.Info("cannot get job state from owner", "job", id, "owner", address, "error", err)
	}
	return state
}

func (o *poolOwner) jobState(ctx context.Context, id job.ID) (state job.State, known bool) {
	o.runQuery(ctx, func(_ context.Context, p *pool.Pool) { state, known = p.State(id) })
	return state, known
}

// Cancel cancels a job, or returns ErrUnknownJob. After any other error the job may or
// may not be cancelled.
func (m *Manager) Cancel(ctx context.Context, q *catalog.Queue, caller job.Organisation, id job.ID) error {
	var err error
	for range maxCancelAttempts {
		var done bool
		if done, err = m.tryCancel(ctx, q, id); done {
			return err
		}
	}
	return err
}

// tryCancel makes one attempt to cancel a job and reports whether its result is final.
func (m *Manager) tryCancel(ctx context.Context, q *catalog.Queue, id job.ID) (bool, error) {
	key := jobKey(jobTable, q.Name, id)
	row, found, err := readRow(ctx, m.store, key)
	if err != nil {
		return false, err
	}
	outcomeKey := table.Key{Table: outcomeTable, Part: key.Part, Name: key.Name}
	outcome := job.Outcome{State: job.Cancelled, At: time.Now(), Guard: !found}
	value, err := outcome.Encode()
	if err != nil {
		return true, err
	}
	tx := table.Tx{Part: key.Part}
	tx.Expect(key, row.Version)
	tx.Put(outcomeKey, value)
	if !found {
		// A write of the job may still be in flight; the outcome makes it fail.
		stored, ended, err := readOutcome(ctx, m.store, q.Name, id)
		switch {
		case err != nil:
			return false, err
		case ended && stored.Guard:
			return true, ErrUnknownJob
		case ended:
			return true, nil
		}
		tx.Expect(outcomeKey, 0)
	} else {
		tx.Remove(key)
		tx.Remove(table.Key{Table: progressTable, Part: key.Part, Name: key.Name})
	}
	if _, err := m.store.Commit(ctx, &tx); err != nil {
		return false, err
	}
	if !found {
		return true, ErrUnknownJob
	}
	if record, err := job.DecodeRecord(row.Value); err == nil {
		m.notifyCancelled(record.Pool, id)
	}
	return true, nil
}

// notifyCancelled notifies the pool's owner if it is in this process. Other owners
// read the removal from the feed.
func (m *Manager) notifyCancelled(name job.PoolName, id job.ID) {
	if o := m.localOwner(name); o != nil {
		o.submit(&pool.JobRemoved{ID: id})
	}
}

func (o *poolOwner) countWaiting(ctx context.Context, queue job.QueueName) (int, error) {
	n := 0
	loaded := false
	if !o.runQuery(ctx, func(_ context.Context, p *pool.Pool) { n, loaded = p.Waiting(queue), p.Loaded() }) || !loaded {
		return 0, errors.New("the pool's jobs are being loaded")
	}
	return n, nil
}
