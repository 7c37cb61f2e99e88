package manager

import (
	"context"
	"errors"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/ownership"
	"bronzestair/core/pool"
	"bronzestair/core/quota"
	"bronzestair/io/owner"
)

// The methods in this file serve calls from peers and implement owner.Handler.

// StoreJob stores a new job in a pool that this entry owns. value is the JSON encoding
// of the job's record. The result is a SubmitResult. It returns owner.ErrNotOwner also
// if the write was not sent to the store.
func (m *Manager) StoreJob(ctx context.Context, name job.PoolName, value []byte) (owner.SubmitReply, error) {
	o := m.localOwner(name)
	if o == nil {
		return owner.SubmitReply{}, owner.ErrNotOwner
	}
	record, err := job.DecodeRecord(value)
	if err != nil {
		return owner.SubmitReply{}, err
	}
	result, err := o.storeNewJob(ctx, record, value)
	var excess *ExcessError
	if errors.As(err, &excess) {
		return owner.SubmitReply{Result: uint8(result), RetryAfter: excess.RetryAfter}, nil
	}
	var full *FullError
	if errors.As(err, &full) {
		return owner.SubmitReply{Result: uint8(result), RetryAfter: full.RetryAfter}, nil
	}
	if result == NotStored && (errors.Is(err, errNotSent) || errors.Is(err, errStoreUnavailable)) {
		return owner.SubmitReply{}, owner.ErrNotOwner
	}
	if err != nil {
		m.logger.Warn("job of a peer is not stored", "job", record.ID, "result", result, "error", err)
	}
	return owner.SubmitReply{Result: uint8(result)}, nil
}

// JobState returns the state of a job to a caller of an organisation, or "" if the owner does
// not know it.
func (m *Manager) JobState(ctx context.Context, name job.PoolName, caller job.Organisation, id job.ID) (job.State, error) {
	o := m.localOwner(name)
	if o == nil {
		return "", owner.ErrNotOwner
	}
	return o.jobState(ctx, caller, id)
}

// WaitingJobs returns the number of the queue's jobs of which no task has started.
func (m *Manager) WaitingJobs(ctx context.Context, name job.PoolName, queue job.QueueName) (int, error) {
	o := m.localOwner(name)
	if o == nil {
		return 0, owner.ErrNotOwner
	}
	return o.countWaiting(ctx, queue)
}

// SyncPool replaces the set of the pool's cordoned runners and returns the pool's load.
// The cordons expire after cordonTimeout unless they are renewed. It returns an error if a newer
// request with leases was applied before.
func (m *Manager) SyncPool(ctx context.Context, name job.PoolName, cordoned []pool.RunnerID, leases quota.Request) (pool.Report, error) {
	o := m.localOwner(name)
	if o == nil {
		return pool.Report{}, owner.ErrNotOwner
	}
	return o.cordonAndReport(ctx, cordoned, leases)
}

func (o *poolOwner) cordonAndReport(ctx context.Context, cordoned []pool.RunnerID, leases quota.Request) (pool.Report, error) {
	set := make(map[pool.RunnerID]bool, len(cordoned))
	for _, id := range cordoned {
		set[id] = true
	}
	var report pool.Report
	var err error
	ok := o.runQuery(ctx, func(ctx context.Context, p *pool.Pool) {
		events := []pool.Event{&pool.RunnersCordoned{Runners: set}}
		synced, applyErr := o.applyLeases(leases)
		if applyErr != nil {
			err = applyErr
			return
		}
		if synced != nil {
			events = append(events, synced)
		}
		o.lastCordoned = time.Now()
		o.reduce(ctx, p, events...)
		report = p.Report(time.Now())
		o.leases.Answered(time.Now(), leases.Call)
	})
	if !ok {
		return report, owner.ErrNotOwner
	}
	return report, err
}

// EndRunner notifies the pool's owner that an incarnation of a runner has ended. It does
// not stop the runner.
func (m *Manager) EndRunner(_ context.Context, name job.PoolName, ended pool.RunnerEnded) error {
	o := m.localOwner(name)
	if o == nil {
		return owner.ErrNotOwner
	}
	o.submit(&ended)
	return nil
}

// StoreAge returns the time since the store's last response to this entry, directly or
// through a peer. If it shows an outage, the calling peer may rely on its claims for longer,
// see ownership.Tracker.ReportOutage.
func (m *Manager) StoreAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	age := now.Sub(m.store.LastResponse())
	if age >= ownership.OutageThreshold {
		m.tracker.ReportOutage(now)
	}
	return age
}

// DirectStore returns the store that this entry calls directly, or one that refuses all
// calls while this entry does not reach the store.
func (m *Manager) DirectStore() owner.Store {
	if m.store.directDown() {
		return unreachableStore{}
	}
	return m.store.direct
}

// ClaimsChanged makes this entry look for free shards immediately.
func (m *Manager) ClaimsChanged() {
	select {
	case m.claimsChanged <- struct{}{}:
	default: // a wake-up is already pending
	}
}
