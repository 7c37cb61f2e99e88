package manager

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"sync"

	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/table"
)

// uncertainProgress holds the progress values of failed saves that may have taken
// effect. The zero value is empty.
type uncertainProgress struct {
	mu     sync.Mutex
	values map[job.ID][][]byte
}

// add records a progress value that may be stored.
func (u *uncertainProgress) add(id job.ID, value []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.values == nil {
		u.values = map[job.ID][][]byte{}
	}
	u.values[id] = append(u.values[id], value)
}

// has reports whether a stored progress value comes from a failed save of this owner.
func (u *uncertainProgress) has(id job.ID, value []byte) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.ContainsFunc(u.values[id], func(v []byte) bool { return bytes.Equal(v, value) })
}

// forget removes a job whose stored progress is known.
func (u *uncertainProgress) forget(id job.ID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.values, id)
}

// resolveConflict reports the results of the writes whose conditions do not hold. It
// returns the others, which are to be sent again, and whether the batch has changed:
// if not, another attempt would meet the same conflict.
func (w *writer) resolveConflict(ctx context.Context, batch []*write, conflict *table.Conflict) (remaining []*write, progressed bool) {
	for _, pending := range batch {
		row, exists := conflict.Row(pending.key(jobTable))
		if pending.newJob != nil {
			outcome, ended := conflict.Row(pending.key(outcomeTable))
			switch {
			case ended && !exists && pending.replaceGuard(outcome):
				remaining, progressed = append(remaining, pending), true
			case exists && !storedOrganisation(row).Permits(pending.newJob.Organisation),
				!exists && ended && !storedOrganisation(outcome).Permits(pending.newJob.Organisation):
				pending.reply <- submitReply{result: Forbidden}
			case exists || ended:
				pending.reply <- submitReply{result: Stored} // a repeated submission of the same job
			default:
				remaining = append(remaining, pending)
			}
			continue
		}
		progress, _ := conflict.Row(pending.key(progressTable))
		switch {
		case !exists:
			w.uncertainProgress.forget(pending.id)
			w.resolveEnded(ctx, pending)
		case row.Version == pending.version && progress.Version == pending.progressVersion:
			remaining = append(remaining, pending)
		case !pending.finished && bytes.Equal(progress.Value, pending.value):
			w.reportSaved(pending, progress.Version) // an earlier attempt of this write took effect
		case w.uncertainProgress.has(pending.id, progress.Value):
			pending.progressVersion = progress.Version // an earlier, failed save took effect
			remaining, progressed = append(remaining, pending), true
		default:
			w.uncertainProgress.forget(pending.id)
			w.logger.Warn("job was changed by another owner", "job", pending.id, "queue", pending.queue,
				"expected", pending.progressVersion, "found", progress.Version)
			w.sink.submit(&pool.OwnerChanged{ID: pending.id})
		}
	}
	return remaining, progressed || len(remaining) < len(batch)
}

// storedOrganisation returns the organisation in the row of a job or of an outcome. It is empty,
// which permits every caller, if the row cannot be decoded.
func storedOrganisation(row table.Row) job.Organisation {
	var stored struct {
		Organisation job.Organisation `json:"organisation"`
	}
	if json.Unmarshal(row.Value, &stored) != nil {
		return ""
	}
	return stored.Organisation
}

// replaceGuard makes the write of a new job store its outcome if the stored one is a guard: the
// job was cancelled before it arrived. A guard of another organisation does not cancel the job,
// which replaces it. It returns false if the stored one is not a guard, or the write has replaced
// that one already.
func (w *write) replaceGuard(stored table.Row) bool {
	outcome, err := job.DecodeOutcome(stored.Value)
	if err != nil || !outcome.Guard {
		return false
	}
	if !outcome.Organisation.Permits(w.newJob.Organisation) {
		value, err := w.newJob.Encode()
		if err != nil {
			return false
		}
		w.value, w.guardVersion, w.overridesGuard = value, stored.Version, true
		return true
	}
	outcome.Guard, outcome.Organisation = false, w.newJob.Organisation
	value, err := outcome.Encode()
	if err != nil {
		return false
	}
	w.value, w.guardVersion, w.overridesGuard = value, stored.Version, false
	return true
}

// resolveEnded reports the stored outcome for a write whose job has already ended.
func (w *writer) resolveEnded(ctx context.Context, pending *write) {
	outcome, found, err := readOutcome(ctx, w.store, pending.queue, pending.id)
	switch {
	case err != nil:
		w.logger.Warn("cannot read outcome", "job", pending.id, "error", err)
		w.reportFailed([]*write{pending}, err)
	case !found:
		w.logger.Error("job has neither row nor outcome", "job", pending.id)
		w.sink.submit(&pool.JobVanished{ID: pending.id})
	default:
		w.sink.submit(&pool.JobEnded{ID: pending.id, Outcome: outcome})
	}
}

// readOutcome returns the stored outcome of a job.
func readOutcome(ctx context.Context, store Store, queue job.QueueName, id job.ID) (job.Outcome, bool, error) {
	row, found, err := readRow(ctx, store, jobKey(outcomeTable, queue, id))
	if err != nil || !found {
		return job.Outcome{}, false, err
	}
	outcome, err := job.DecodeOutcome(row.Value)
	return outcome, err == nil, err
}

// readRow returns the row with a key, and whether it exists.
func readRow(ctx context.Context, store Store, key table.Key) (table.Row, bool, error) {
	page, err := store.Rows(ctx, key.Table, key.Part, key.Name, key.Name+"\x00")
	if err != nil || len(page.Rows) == 0 {
		return table.Row{}, false, err
	}
	return page.Rows[0], true, nil
}
