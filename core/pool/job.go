package pool

import (
	"fmt"
	"time"

	"bronzestair/core/job"
)

// saveInterval bounds how often the progress of an unfinished job is stored.
const saveInterval = 800 * time.Millisecond

// jobState is an accepted job.
type jobState struct {
	record          *job.Record
	version         RowVersion
	progressVersion RowVersion
	inherited       bool
	// runFloor is the highest run number that a previous owner can have used.
	runFloor    int
	occurrences []*occurrence
	// ready counts the tasks that may be placed, allocated those that are in memory.
	ready, allocated int
	// usage is that of the job's organisation, nil if it has none.
	usage *usage
	// waitedForCap is true once a task of the job has waited for the organisation's cap.
	waitedForCap bool
	// criticalPath is the estimated duration of the longest chain of steps.
	criticalPath time.Duration
	// runtimes compares the run times of the queue's tasks with their estimates.
	runtimes *runtimes
	// finishedOccurrences counts the completed occurrences before the first one in
	// memory.
	finishedOccurrences int
	// begunOccurrences is the number of occurrences that a previous owner is known to have
	// begun. Its clock may have been ahead of this owner's.
	begunOccurrences int
	// started is true once a task of the job is known to have started.
	started bool
	// excess is true if the job is beyond the rate of its organisation. holder is the
	// organisation that it counts for, nil if none are configured.
	excess bool
	holder *shareholder
	// meetable, groupIndex and use are valid during a ranking that divides the pool: whether the
	// job would be admitted by its due time alone, its position among those of its tier and
	// priority, and the work of the tasks that have not started, in seconds of the whole pool.
	meetable   bool
	groupIndex int
	use        float64
	// rank is the job's rank as of the last call of rankJobs or insertRanked.
	rank rank

	// seq numbers the changes to be stored, savedSeq is the last stored one.
	seq, savedSeq uint64
	// failedOn is when a task of the job last failed on each runner.
	failedOn map[RunnerID]time.Time
	// saving is true while a write awaits its answer.
	saving     bool
	dirtySince time.Time
	// unsavedSince is when the first write failed since the last one that was stored, zero if none
	// has. confined is true if changes of other jobs were stored meanwhile, see unsaved.go.
	unsavedSince time.Time
	confined     bool
	// urgent is true if the changes are to be stored without waiting for saveInterval.
	urgent  bool
	outcome job.State
	// closed is true once the outcome is stored. The job is kept until its last
	// task has left its runner.
	closed  bool
	retryAt time.Time
	// lookedUpAt is when the outcome was last requested from the store.
	lookedUpAt time.Time
}

func (j *jobState) id() job.ID { return j.record.ID }

// markDirty records a change that is to be stored and returns its sequence number.
func (j *jobState) markDirty(now time.Time) uint64 {
	if j.seq == j.savedSeq || j.dirtySince.IsZero() {
		j.dirtySince = now
	}
	j.seq++
	return j.seq
}

// apply implements Event.
func (e *JobStored) apply(p *Pool, now time.Time) {
	id := e.Record.ID
	p.parked.remove(id)
	if _, ok := p.ended[id]; ok {
		if p.jobs[id] == nil {
			p.emit(&JobForgotten{ID: id})
		}
		return
	}
	if j := p.jobs[id]; j != nil {
		// The feed may bring the job before the answer to its own write.
		if e.Excess && !j.excess {
			j.excess, p.rankedAt = true, time.Time{}
		}
		return
	}
	j := &jobState{
		excess: e.Excess, holder: p.shares.holder(e.Record.Organisation),
		record: e.Record, version: e.Version, progressVersion: e.ProgressVersion,
		inherited: e.Inherited, criticalPath: e.Record.Spec.CriticalPath(), runtimes: p.runtimesOf(e.Record.Queue),
	}
	j.usage = p.usageOf(e.Record.Organisation)
	j.runFloor = max(0, p.options.Epoch-1) * runsPerEpoch
	p.addJob(j)
	if !j.inherited && !j.excess {
		p.arrivals.add(now, j)
	}
	if e.Progress != nil {
		j.started = true
		j.finishedOccurrences = e.Progress.FinishedOccurrences
		j.begunOccurrences = begunOccurrences(e.Progress)
	}
	p.addDueOccurrences(now, j)
	if e.Progress != nil {
		j.restore(e.Progress)
	}
	for _, o := range j.occurrences {
		p.unblockSteps(now, j, o)
	}
	p.insertRanked(now, j)
	p.finishIfDone(now, j)
	p.dispatchNeeded = true
	p.emit(&LogDecision{Job: id, Decision: "jobAccepted", Reason: fmt.Sprintf("inherited=%t", e.Inherited), DataAge: now.Sub(e.Record.Accepted)})
}

// apply implements Event.
func (e *JobsLoaded) apply(p *Pool, now time.Time) {
	p.loading = false
	p.dispatchNeeded = true
	for id, parked := range p.parked.jobs {
		if parked.version <= e.Version && !e.Present[id] {
			p.forgetParked(id)
		}
	}
	for _, j := range p.jobOrder {
		id := j.id()
		if j.version <= e.Version && !e.Present[id] {
			(&JobRemoved{ID: id}).apply(p, now)
		}
	}
}

// apply implements Event.
func (e *QueuesChanged) apply(p *Pool, _ time.Time) {
	p.queues, p.organisations = e.Queues, e.Organisations
	p.arrivals.wholeWindow = p.looksAhead()
	p.configureCaps(e.Floor)
	p.assignShares()
	p.dispatchNeeded = true
}

// unblockSteps makes the tasks ready whose dependencies are done.
func (p *Pool) unblockSteps(_ time.Time, j *jobState, o *occurrence) {
	if j.outcome != "" {
		return
	}
	for _, step := range o.steps {
		if step.unblocked || !o.dependenciesDone(step) {
			continue
		}
		step.unblock()
		p.dispatchNeeded = true
	}
}

// makeReady takes a task off its runner and makes it ready to be placed again.
func (p *Pool) makeReady(t *task) {
	if t.runner != nil {
		t.runner.release(t)
	}
	t.orderCount, t.inFlight, t.orderUnanswered, t.unresolved = 0, false, false, false
	t.startedBeforeRestart = false
	t.confirmedAt, t.stoppedAt, t.startVoidAfter = time.Time{}, time.Time{}, time.Time{}
	t.progressPercent, t.tailLatency, t.throttle = 0, 0, 0
	p.dispatchNeeded = true
	if t.state == done {
		return
	}
	if t.state != ready && t.job.outcome == "" {
		t.addReady(1)
	}
	t.state = ready
}

// markDone marks a task done and unblocks the steps that depend on it.
func (p *Pool) markDone(now time.Time, t *task) {
	if t.state == done {
		return
	}
	if t.state == ready {
		t.addReady(-1)
	}
	t.state = done
	t.step.remaining--
	if t.step.remaining > 0 {
		return
	}
	o := t.job.occurrence(t.id.Occurrence)
	p.unblockSteps(now, t.job, o)
	p.finishIfDone(now, t.job)
}

// task returns the task with the given id, or nil if its occurrence is not in memory.
func (j *jobState) task(id job.TaskID) *task {
	o := j.occurrence(id.Occurrence)
	if o == nil || id.Step >= len(o.steps) || id.Index >= o.steps[id.Step].spec.Count {
		return nil
	}
	return o.steps[id.Step].task(id.Index)
}

// endJob sets a job's outcome and stops its remaining tasks.
func (p *Pool) endJob(now time.Time, j *jobState, outcome job.State, reason string) {
	j.outcome = outcome
	j.ready = 0
	j.markDirty(now)
	p.emit(&LogDecision{Job: j.id(), Decision: "jobEnded", Reason: string(outcome) + ": " + reason, DataAge: now.Sub(j.record.Accepted)})
	for _, o := range j.occurrences {
		for _, step := range o.steps {
			step.ready = 0
			for t := range step.allocated() {
				p.stopTask(now, t, "jobEnded")
			}
		}
	}
}
