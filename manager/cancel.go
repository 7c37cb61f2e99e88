package manager

import (
	"context"
	"time"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/table"
)

// Cancel cancels a job for a caller of an organisation, or returns ErrUnknownJob or
// ErrForbidden. After any other error the job may or may not be cancelled.
func (m *Manager) Cancel(ctx context.Context, q *catalog.Queue, caller job.Organisation, id job.ID) error {
	var err error
	for range maxCancelAttempts {
		var done bool
		if done, err = m.tryCancel(ctx, q, caller, id); done {
			return err
		}
	}
	return err
}

// tryCancel makes one attempt to cancel a job and reports whether its result is final.
func (m *Manager) tryCancel(ctx context.Context, q *catalog.Queue, caller job.Organisation, id job.ID) (bool, error) {
	key := jobKey(jobTable, q.Name, id)
	row, found, err := readRow(ctx, m.store, key)
	switch {
	case err != nil:
		return false, err
	case !found:
		return m.cancelUnknown(ctx, q, caller, id)
	}
	record, err := job.DecodeRecord(row.Value)
	if err != nil {
		m.logger.Error("job is broken", "job", id, "error", err)
		record = &job.Record{}
	}
	if !record.Organisation.Permits(caller) {
		return true, ErrForbidden
	}
	outcome := job.Outcome{State: job.Cancelled, At: time.Now(), Organisation: record.Organisation}
	value, err := outcome.Encode()
	if err != nil {
		return true, err
	}
	tx := table.Tx{Part: key.Part}
	tx.Expect(key, row.Version)
	tx.Put(jobKey(outcomeTable, q.Name, id), value)
	tx.Remove(key)
	tx.Remove(jobKey(progressTable, q.Name, id))
	if _, err := m.store.Commit(ctx, &tx); err != nil {
		return false, err
	}
	if record.Pool != "" {
		m.notifyCancelled(record.Pool, id)
	}
	return true, nil
}

// cancelUnknown cancels an id under which no job is stored. A write of the job may still be in
// flight: the outcome that it stores, a guard, makes that write fail. A guard of another
// organisation is replaced by one for all callers.
func (m *Manager) cancelUnknown(ctx context.Context, q *catalog.Queue, caller job.Organisation, id job.ID) (bool, error) {
	outcomeKey := jobKey(outcomeTable, q.Name, id)
	row, _, err := readRow(ctx, m.store, outcomeKey)
	if err != nil {
		return false, err
	}
	guard := job.Outcome{State: job.Cancelled, At: time.Now(), Guard: true, Organisation: caller}
	if stored, err := job.DecodeOutcome(row.Value); row.Version > 0 && err == nil {
		switch {
		case !stored.Guard && !stored.Organisation.Permits(caller):
			return true, ErrForbidden
		case !stored.Guard:
			return true, nil
		case stored.Organisation == "" || stored.Organisation == caller:
			return true, ErrUnknownJob
		}
		guard.Organisation = ""
	}
	value, err := guard.Encode()
	if err != nil {
		return true, err
	}
	tx := table.Tx{Part: outcomeKey.Part}
	tx.Expect(jobKey(jobTable, q.Name, id), 0)
	tx.Expect(outcomeKey, row.Version)
	tx.Put(outcomeKey, value)
	if _, err := m.store.Commit(ctx, &tx); err != nil {
		return false, err
	}
	return true, ErrUnknownJob
}

// notifyCancelled notifies the pool's owner if it is in this process. Other owners
// read the removal from the feed.
func (m *Manager) notifyCancelled(name job.PoolName, id job.ID) {
	if o := m.localOwner(name); o != nil {
		o.submit(&pool.JobRemoved{ID: id})
	}
}
