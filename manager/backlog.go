package manager

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"bronzestair/core/backlog"
	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/table"
)

const (
	// workingInterval is the period at which the memory of allocated tasks is charged.
	workingInterval = time.Second
	// roomInterval is the period at which an owner with parked jobs looks for room.
	roomInterval = time.Second
	// parkedLogInterval is the minimum time between two log lines on parked jobs of a pool.
	parkedLogInterval = time.Second
)

// FullError is the error of a job that is refused because the jobs in memory leave no room for it.
type FullError struct {
	// RetryAfter is the time after which the caller may submit the job again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("the jobs in memory leave no room; retry after %v", e.RetryAfter)
}

// Backlog returns the budget for the jobs in memory.
func (m *Manager) Backlog() *backlog.Budget { return m.backlog }

// refuseFull logs the refusal of a job for which there is no room and returns its error.
func (o *poolOwner) refuseFull(record *job.Record) error {
	refusal := &FullError{RetryAfter: o.m.backlog.RetryAfter(time.Now(), rand.Float64())}
	o.m.logger.Info("job refused", "job", record.ID, "pool", o.name, "queue", record.Queue, "organisation", record.Organisation,
		"bytes", int64(backlog.Cost(record)), "usedBytes", int64(o.m.backlog.Used()), "limitBytes", int64(o.m.backlog.Limit()),
		"retryAfter", refusal.RetryAfter, "reason", "the jobs in memory leave no room")
	return refusal
}

// keepOrPark returns the event for a stored job: the job itself, or a report that it is parked if
// it was not kept.
func (o *poolOwner) keepOrPark(e *pool.JobStored, keep func(*job.Record) bool) pool.Event {
	if keep(e.Record) {
		return e
	}
	if now := time.Now().UnixNano(); now-o.parkedLoggedAt.Load() >= int64(parkedLogInterval) {
		o.parkedLoggedAt.Store(now)
		o.m.logger.Warn("job parked", "job", e.Record.ID, "pool", o.name, "queue", e.Record.Queue, "organisation", e.Record.Organisation,
			"parked", o.jobs.Parked(), "usedBytes", int64(o.m.backlog.Used()), "limitBytes", int64(o.m.backlog.Limit()),
			"reason", "the jobs in memory leave no room")
	}
	return &pool.JobParked{Queue: e.Record.Queue, ID: e.Record.ID, Version: e.Version}
}

// chargeWorking charges the tasks in memory.
func (o *poolOwner) chargeWorking(p *pool.Pool) {
	if time.Since(o.workingChargedAt) >= workingInterval {
		o.workingChargedAt = time.Now()
		o.jobs.SetWorking(p.AllocatedTasks())
	}
}

// awaitRoom returns when there is room for parked jobs, or when the context ends.
func (o *poolOwner) awaitRoom(ctx context.Context) {
	loadedAt := time.Now()
	for sleep(ctx, roomInterval); ctx.Err() == nil; sleep(ctx, roomInterval) {
		if o.jobs.ShouldLoad(time.Since(loadedAt)) {
			o.m.logger.Info("parked jobs are loaded", "pool", o.name, "parked", o.jobs.Parked(),
				"usedBytes", int64(o.m.backlog.Used()), "limitBytes", int64(o.m.backlog.Limit()))
			return
		}
	}
}

// loadParked loads a job of which a runner lists a run, whether there is room or not.
func (o *poolOwner) loadParked(ctx context.Context, e *pool.LoadParkedJob) {
	retryBackoff := newBackoff()
	for ctx.Err() == nil {
		event, err := o.readJob(ctx, e.Queue, e.ID)
		switch {
		case err != nil:
			o.m.logger.Warn("cannot load parked job", "job", e.ID, "pool", o.name, "error", err)
			sleep(ctx, retryBackoff.NextBackOff())
			continue
		case event == nil:
			o.submit(&pool.JobRemoved{ID: e.ID})
		default:
			o.jobs.KeepAnyway(event.Record)
			o.enqueue(event)
		}
		return
	}
}

// readJob reads a job and its progress. It returns nil if the job is not stored.
func (o *poolOwner) readJob(ctx context.Context, queue job.QueueName, id job.ID) (*pool.JobStored, error) {
	// The progress first, as in loadJobs.
	progress, _, err := readRow(ctx, o.m.store, jobKey(progressTable, queue, id))
	if err != nil {
		return nil, err
	}
	row, found, err := readRow(ctx, o.m.store, jobKey(jobTable, queue, id))
	if err != nil || !found {
		return nil, err
	}
	rows := map[string]table.Row{}
	if progress.Version > 0 {
		rows[progress.Name] = progress
	}
	return o.restoreJob(row, rows), nil
}
