package manager

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"bronzestair/core/job"
)

// excessReadTimeout bounds the reads that precede a refusal as excess or for want of room. A job
// whose rows cannot be read in time is not refused.
const excessReadTimeout = 300 * time.Millisecond

// ExcessError is the error of a job that is refused as excess.
type ExcessError struct {
	// RetryAfter is the time after which the caller may submit the job again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ExcessError) Error() string {
	return fmt.Sprintf("the organisation exceeds its rate while the pool is full; retry after %v", e.RetryAfter)
}

// mayBeStored reports whether an earlier submission of a job may be stored. It reads the store,
// as another entry may have stored the job while it could not reach this owner. It returns true
// if the store does not answer within excessReadTimeout.
func (o *poolOwner) mayBeStored(ctx context.Context, record *job.Record) bool {
	if o.writer.uncertainJobs.has(time.Now(), record.ID) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, excessReadTimeout)
	defer cancel()
	// The job first: its row is replaced by its outcome.
	for _, name := range [...]string{jobTable, outcomeTable} {
		_, found, err := readRow(ctx, o.writer.store, jobKey(name, record.Queue, record.ID))
		if err != nil {
			o.m.logger.Info("job is not refused", "job", record.ID, "pool", o.name, "reason", "cannot read its rows", "error", err)
		}
		if err != nil || found {
			return true
		}
	}
	return false
}

// refuseExcess counts and logs the refusal of a job as excess and returns its error.
func (o *poolOwner) refuseExcess(record *job.Record) error {
	refusal := o.admission.Refuse(time.Now(), record.Organisation, rand.Float64())
	if c := o.m.catalog.Get(); c != nil {
		o.m.options.Meter.JobRefused(o.name, o.labels.label(c.Organisations, record.Organisation))
	}
	o.m.logger.Info("job refused", "job", record.ID, "pool", o.name, "organisation", record.Organisation,
		"weight", refusal.Weight, "perSecond", refusal.Rate, "elsewhere", refusal.Elsewhere, "dataAge", refusal.ElsewhereAge,
		"retryAfter", refusal.RetryAfter, "reason", "in excess while the pool is full")
	return &ExcessError{RetryAfter: refusal.RetryAfter}
}

// reconcileRefusal returns the result of a job that the pool's owner has refused as excess or for
// want of room. The job may still be stored if this entry has tried to store it before.
func (m *Manager) reconcileRefusal(id job.ID, result SubmitResult, refusal error) (SubmitResult, error) {
	if m.direct.uncertainJobs.has(time.Now(), id) {
		return MayBeStored, errNoAnswer
	}
	return result, refusal
}
