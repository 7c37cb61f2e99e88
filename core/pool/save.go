package pool

import (
	"time"

	"bronzestair/core/job"
)

// saveRetry is the pause after a failed write to the store.
const saveRetry = 250 * time.Millisecond

// saveJobs emits the writes that are due: outcomes at once, and progress in batches
// unless a runner that is to be emptied waits for it.
func (p *Pool) saveJobs(now time.Time) {
	for _, j := range p.jobOrder {
		if j.saving || j.closed || j.seq == j.savedSeq || now.Before(j.retry) {
			continue
		}
		if j.outcome == "" && !j.urgent && now.Sub(j.dirtySince) < saveInterval {
			continue
		}
		j.saving, j.urgent = true, false
		if j.outcome != "" {
			p.emit(&FinishJob{
				Queue: j.record.Queue, ID: j.id(), Version: j.version, ProgressVersion: j.progressVersion,
				Outcome: job.Outcome{State: j.outcome, At: now}, Seq: j.seq,
			})
			continue
		}
		p.emit(&SaveJob{
			Queue: j.record.Queue, ID: j.id(), Version: j.version, ProgressVersion: j.progressVersion,
			Progress: j.progress(), Seq: j.seq,
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
		j.retry = now.Add(saveRetry)
		return
	}
	j.savedSeq = max(j.savedSeq, e.Seq)
	j.progressVersion = e.Version
	j.dirtySince = now
	if e.Finished {
		p.close(now, j, job.Outcome{State: j.outcome, At: now})
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
		p.conclude(now, j, e.Outcome.State, "ended in the store")
	}
	p.close(now, j, e.Outcome)
}

// close notes that a job's outcome is stored.
func (p *Pool) close(now time.Time, j *jobState, outcome job.Outcome) {
	j.closed = true
	p.ended[j.id()] = outcome
	p.forget(j)
	p.changed = true
}

// forget drops a closed job once nothing of it runs.
func (p *Pool) forget(j *jobState) {
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

// Expire forgets the outcomes that are older than the retention.
func (p *Pool) Expire(now time.Time, retention time.Duration) {
	for id, outcome := range p.ended {
		if now.Sub(outcome.At) > retention {
			delete(p.ended, id)
		}
	}
	p.forgetLost(now, retention)
}

// State returns what callers are told of a job, and whether the owner knows it.
func (p *Pool) State(id job.ID) (job.State, bool) {
	if outcome, ok := p.ended[id]; ok {
		return outcome.State, true
	}
	j := p.jobs[id]
	if j == nil {
		return "", false
	}
	if j.begun {
		return job.Running, true
	}
	return job.Queued, true
}

// Waiting counts the jobs of a queue of which no task has started.
func (p *Pool) Waiting(queue job.QueueName) int {
	n := 0
	for _, j := range p.jobOrder {
		if j.record.Queue == queue && !j.begun && j.outcome == "" {
			n++
		}
	}
	return n
}

// JobRemoved says that a job's row is gone from the store.
type JobRemoved struct {
	ID job.ID
}

// apply implements Event. A cancellation, or a write of a former owner, has put
// an outcome in the row's place.
func (e *JobRemoved) apply(p *Pool, now time.Time) {
	j := p.jobs[e.ID]
	if j == nil || j.outcome != "" || now.Sub(j.lookedUp) < saveRetry {
		return
	}
	j.lookedUp = now
	p.emit(&LookUpOutcome{Queue: j.record.Queue, ID: e.ID})
}

// OwnerChanged says that another owner has written a job's progress.
type OwnerChanged struct {
	ID job.ID
}

// apply implements Event.
func (e *OwnerChanged) apply(p *Pool, _ time.Time) {
	p.depose("another owner has written the progress of job " + string(e.ID))
}

// Loaded reports whether every stored job has been handed over.
func (p *Pool) Loaded() bool { return !p.loading }
