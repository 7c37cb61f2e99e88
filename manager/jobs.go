package manager

import (
	"context"
	"errors"
	"time"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/table"
	"bronzestair/core/verdict"
)

// Acceptance tells what became of a submission.
type Acceptance uint8

// The acceptances of a submission. The zero value is NotStored.
const (
	// NotStored jobs were surely not accepted and never run.
	NotStored Acceptance = iota
	Stored
	// MayBeStored jobs may have been accepted: the caller has to ask again.
	MayBeStored
)

const (
	// submitTries is how often a submission without an answer is stored again.
	submitTries = 3
	// cancelTries bounds the races of a cancellation with the job's owner.
	cancelTries = 4
	// notifyTimeout bounds the call that tells an owner of a new job; the owner
	// finds jobs that it was not told of in the feed.
	notifyTimeout = 300 * time.Millisecond
)

// Submit stores a job. The same id again is the same job.
func (m *Manager) Submit(ctx context.Context, q *catalog.Queue, id job.ID, spec *job.Spec) (Acceptance, error) {
	record := &job.Record{Pool: q.Pool, Queue: q.Name, ID: id, Spec: *spec, Accepted: time.Now()}
	value, err := record.Encode()
	if err != nil {
		return NotStored, err
	}
	key := table.Key{Table: jobTable, Part: string(q.Name), Name: string(id)}
	tx := table.Tx{Part: string(q.Name)}
	tx.Expect(key, 0)
	tx.Expect(table.Key{Table: outcomeTable, Part: key.Part, Name: key.Name}, 0)
	tx.Put(key, value)
	result := NotStored
	for range submitTries {
		version, err := m.store.Commit(ctx, &tx)
		var conflict *table.Conflict
		var failed *table.Failure
		switch {
		case err == nil:
			m.notify(&pool.JobStored{Record: record, Version: pool.RowVersion(version)}, value)
			return Stored, nil
		case errors.As(err, &conflict):
			return Stored, nil
		case errors.As(err, &failed) && failed.Verdict == verdict.NotRun:
			return result, err
		}
		result = MayBeStored
		if ctx.Err() != nil {
			return result, err
		}
	}
	return result, errors.New("the store does not answer")
}

// notify tells the pool's owner of a new job.
func (m *Manager) notify(e *pool.JobStored, value []byte) {
	if o := m.owned(e.Record.Pool); o != nil {
		o.submit(e)
		return
	}
	address := m.ownerAddress(e.Record.Pool)
	if address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if err := m.peers.Submit(ctx, address, e.Record.Pool, value, uint64(e.Version)); err != nil {
			m.logger.Info("owner is not told of job", "job", e.Record.ID, "owner", address, "error", err)
		}
	}()
}

// ErrUnknownJob says that there is no such job.
var ErrUnknownJob = errors.New("job does not exist")

// State returns the state of a job, or ErrUnknownJob. Other errors mean that
// the state cannot be known for now.
func (m *Manager) State(ctx context.Context, q *catalog.Queue, id job.ID) (job.State, error) {
	if state := m.stateOfOwner(ctx, q.Pool, id); state != "" {
		return state, nil
	}
	row, found, err := readRow(ctx, m.store, table.Key{Table: jobTable, Part: string(q.Name), Name: string(id)})
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
	if !found {
		return "", ErrUnknownJob
	}
	return outcome.State, nil
}

// storedState returns the state of a job that is stored and has not ended.
func (m *Manager) storedState(ctx context.Context, row table.Row, id job.ID) job.State {
	record, err := job.DecodeRecord(row.Value)
	if err != nil {
		m.logger.Error("job is broken", "job", id, "error", err)
		return job.Queued
	}
	// The queue may have been sent to another pool since the job was accepted.
	if state := m.stateOfOwner(ctx, record.Pool, id); state != "" {
		return state
	}
	return job.Queued
}

// stateOfOwner asks the pool's owner, and returns "" if it cannot tell.
func (m *Manager) stateOfOwner(ctx context.Context, name job.PoolName, id job.ID) job.State {
	if o := m.owned(name); o != nil {
		state, _ := o.state(ctx, id)
		return state
	}
	address := m.ownerAddress(name)
	if address == "" {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	state, err := m.peers.State(ctx, address, name, id)
	if err != nil {
		m.logger.Info("owner does not tell a job's state", "job", id, "owner", address, "error", err)
	}
	return state
}

func (o *poolOwner) state(ctx context.Context, id job.ID) (state job.State, known bool) {
	o.ask(ctx, func(_ context.Context, p *pool.Pool) { state, known = p.State(id) })
	return state, known
}

// Cancel ends a job, or returns ErrUnknownJob. Other errors mean that it is not
// known to be cancelled.
func (m *Manager) Cancel(ctx context.Context, q *catalog.Queue, id job.ID) error {
	var err error
	for range cancelTries {
		var done bool
		if done, err = m.tryCancel(ctx, q, id); done {
			return err
		}
	}
	return err
}

// tryCancel reports whether the cancellation has a final result.
func (m *Manager) tryCancel(ctx context.Context, q *catalog.Queue, id job.ID) (bool, error) {
	key := table.Key{Table: jobTable, Part: string(q.Name), Name: string(id)}
	row, found, err := readRow(ctx, m.store, key)
	if err != nil {
		return false, err
	}
	outcomeKey := table.Key{Table: outcomeTable, Part: key.Part, Name: key.Name}
	outcome := job.Outcome{State: job.Cancelled, At: time.Now()}
	value, err := outcome.Encode()
	if err != nil {
		return true, err
	}
	tx := table.Tx{Part: string(q.Name)}
	tx.Expect(key, row.Version)
	tx.Put(outcomeKey, value)
	if !found {
		// A write of the job may still be on its way: the outcome keeps it out.
		if _, ended, err := readOutcome(ctx, m.store, q.Name, id); err != nil || ended {
			return err == nil, err
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

// notifyCancelled tells the owner in this process; others see the feed.
func (m *Manager) notifyCancelled(name job.PoolName, id job.ID) {
	if o := m.owned(name); o != nil {
		o.submit(&pool.JobRemoved{ID: id})
	}
}

// Waiting counts the queue's jobs of which no task has started.
func (m *Manager) Waiting(ctx context.Context, q *catalog.Queue) (int, error) {
	if o := m.owned(q.Pool); o != nil {
		return o.waiting(ctx, q.Name)
	}
	address := m.ownerAddress(q.Pool)
	if address == "" {
		return 0, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	return m.peers.Waiting(ctx, address, q.Pool, q.Name)
}

func (o *poolOwner) waiting(ctx context.Context, queue job.QueueName) (int, error) {
	n := 0
	loaded := false
	if !o.ask(ctx, func(_ context.Context, p *pool.Pool) { n, loaded = p.Waiting(queue), p.Loaded() }) || !loaded {
		return 0, errors.New("the pool's jobs are being loaded")
	}
	return n, nil
}
