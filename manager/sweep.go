package manager

import (
	"context"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/table"
)

const (
	// sweepInterval is the pause between two sweeps for old outcomes.
	sweepInterval = 1 * time.Minute
	// sweepRetentionFactor times the retention is the age from which on outcomes are
	// removed from the store.
	sweepRetentionFactor = 2
	// sweepBatch bounds the rows that one transaction removes.
	sweepBatch = 50
)

// sweep periodically removes outcomes older than sweepRetentionFactor times the retention
// from the store.
func (f *fleetOwner) sweep(ctx context.Context) {
	for {
		sleep(ctx, sweepInterval)
		if ctx.Err() != nil {
			return
		}
		parts, err := f.m.store.Parts(ctx, outcomeTable)
		if err != nil {
			f.m.logger.Warn("cannot sweep outcomes", "error", err)
			continue
		}
		for _, part := range parts {
			if err := f.sweepPart(ctx, part); err != nil {
				f.m.logger.Warn("cannot sweep outcomes", "queue", part, "error", err)
			}
		}
	}
}

func (f *fleetOwner) sweepPart(ctx context.Context, part string) error {
	rows, _, err := f.m.readPart(ctx, outcomeTable, part)
	if err != nil {
		return err
	}
	cutoff := time.Now().Add(-sweepRetentionFactor * f.m.options.Retention)
	tx := table.Tx{Part: part}
	for _, row := range rows {
		outcome, err := job.DecodeOutcome(row.Value)
		if err != nil {
			f.m.logger.Error("cannot decode outcome", "queue", part, "job", row.Name, "error", err)
		}
		if err == nil && outcome.At.Before(cutoff) {
			tx.Remove(row.Key)
		}
		if len(tx.Removes) == sweepBatch {
			if _, err := f.m.store.Commit(ctx, &tx); err != nil {
				return err
			}
			tx.Removes = nil
		}
	}
	if len(tx.Removes) == 0 {
		return nil
	}
	_, err = f.m.store.Commit(ctx, &tx)
	return err
}
