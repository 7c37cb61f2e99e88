package pool

import (
	"time"

	"bronzestair/core/job"
)

// saveRetryDelay is the delay after a failed write to the store, and the minimum time
// between two lookups of a job's outcome.
const saveRetryDelay = 250 * time.Millisecond

// saveJobs emits the writes that are due. Outcomes are written at once; progress is
// batched, unless a runner that is being drained waits for it.
func (p *Pool) saveJobs(now time.Time) {
	for _, j := range p.jobOrder {
		if j.saving || j.closed || j.seq == j.savedSeq || now.Before(j.retryAt) {
			continue
		}
		if j.outcome == "" && !j.urgent && now.Sub(j.dirtySince) < saveInterval {
			continue
		}
		j.saving, j.urgent = true, false
		if j.outcome != "" {
			p.emit(&FinishJob{
				Queue: j.record.Queue, ID: j.id(), Version: j.version, ProgressVersion: j.progressVersion,
				Outcome: job.Outcome{State: j.outcome, At: now, Organisation: j.record.Organisation}, Seq: j.seq,
			})
			continue
		}
		p.emit(&SaveProgress{
			Queue: j.record.Queue, ID: j.id(), Version: j.version, ProgressVersion: j.progressVersion,
			Progress: j.progress(), Spec: &j.record.Spec, Seq: j.seq,
		})
	}
}

// apply implements Event.
func (e *JobSaved) apply(p *Pool, now time.Time) {
	j := p.jobs[e.ID]
	if j == nil {
		return
	}
	j.saving = false
	if e.Failed {
		j.retryAt = now.Add(saveRetryDelay)
		p.recordFailedSave(now, j)
		return
	}
	p.recordSave(now, j)
	j.savedSeq = max(j.savedSeq, e.Seq)
	j.progressVersion = e.Version
	j.dirtySince = now
	if e.Finished {
		p.close(now, j, job.Outcome{State: j.outcome, At: now, Organisation: j.record.Organisation})
	}
}

// apply implements Event.
func (e *JobEnded) apply(p *Pool, now time.Time) {
	j := p.jobs[e.ID]
	if j == nil {
		p.ended[e.ID] = e.Outcome
		return
	}
	if j.closed {
		return
	}
	if j.outcome == "" {
		p.endJob(now, j, e.Outcome.State, "another process has stored the outcome")
	}
	p.close(now, j, e.Outcome)
}

// close records that a job's outcome is stored.
func (p *Pool) close(now time.Time, j *jobState, outcome job.Outcome) {
	j.closed = true
	p.ended[j.id()] = outcome
	p.dropIfIdle(j)
	p.dispatchNeeded = true
}

// dropIfIdle drops a closed job once none of its tasks is assigned to a runner.
func (p *Pool) dropIfIdle(j *jobState) {
	if !j.closed {
		return
	}
	for _, o := range j.occurrences {
		if o.running() {
			return
		}
	}
	p.dropJob(j)
}

// Expire drops the outcomes and lost runs that are older than the retention period, and the
// tickets that are not valid any more.
func (p *Pool) Expire(now time.Time, retention time.Duration) {
	for id, outcome := range p.ended {
		if now.Sub(outcome.At) > retention {
			delete(p.ended, id)
		}
	}
	p.expireLostRuns(now, retention)
	p.expireTickets(now)
}

// State returns the state of a job as shown to callers, and whether the owner knows
// the job.
func (p *Pool) State(id job.ID) (job.State, bool) {
	if outcome, ok := p.ended[id]; ok {
		return outcome.State, true
	}
	j := p.jobs[id]
	if j == nil {
		return "", false
	}
	if j.started {
		return job.Running, true
	}
	return job.Queued, true
}

// JobOrigin returns the queue and the organisation of a job that the owner knows. The queue is
// empty once the job's outcome is stored.
func (p *Pool) JobOrigin(id job.ID) (job.QueueName, job.Organisation) {
	if outcome, ok := p.ended[id]; ok {
		return "", outcome.Organisation
	}
	if j := p.jobs[id]; j != nil {
		return j.record.Queue, j.record.Organisation
	}
	return "", ""
}

// Waiting counts the jobs of a queue that have not ended and of which no task has started.
func (p *Pool) Waiting(queue job.QueueName) int {
	n := p.parked.perQueue[queue]
	for _, j := range p.jobOrder {
		if j.record.Queue == queue && !j.started && j.outcome == "" {
			n++
		}
	}
	return n
}

// JobRemoved reports that a job's row was removed from the store.
type JobRemoved struct {
	ID job.ID
}

// apply implements Event. A cancellation or a write of a previous owner has replaced
// the row by an outcome, which is looked up.
func (e *JobRemoved) apply(p *Pool, now time.Time) {
	p.forgetParked(e.ID)
	j := p.jobs[e.ID]
	if j == nil || j.outcome != "" || now.Sub(j.lookedUpAt) < saveRetryDelay {
		return
	}
	j.lookedUpAt = now
	p.emit(&LookUpOutcome{Queue: j.record.Queue, ID: e.ID})
}

// JobVanished reports that the store has neither a job's row nor its outcome.
type JobVanished struct {
	ID job.ID
}

// apply implements Event. The job is dropped, as its progress can no longer be stored.
func (e *JobVanished) apply(p *Pool, now time.Time) {
	j := p.jobs[e.ID]
	if j == nil || j.closed {
		return
	}
	if j.outcome == "" {
		p.endJob(now, j, job.Cancelled, "the store has neither its row nor its outcome")
	}
	j.saving, j.closed = false, true
	p.dropIfIdle(j)
	p.dispatchNeeded = true
}

// OwnerChanged reports that another owner has written a job's progress.
type OwnerChanged struct {
	ID job.ID
}

// apply implements Event.
func (e *OwnerChanged) apply(p *Pool, _ time.Time) {
	p.stepDown("another owner has written the progress of job " + string(e.ID))
}

// Loaded reports whether every stored job has been passed in.
func (p *Pool) Loaded() bool { return !p.loading }
