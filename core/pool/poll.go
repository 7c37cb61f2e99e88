package pool

import (
	"maps"
	"slices"
	"time"

	"bronzestair/core/job"
)

// Timing of the long polls that extend leases and collect the ends of tasks.
const (
	// pollWait is how long a runner holds back its answer until a task ends. Leases
	// are extended at least this often.
	pollWait = 900 * time.Millisecond
	// minPollInterval is the minimum pause between two polls of a runner, in which
	// ends accumulate.
	minPollInterval = 60 * time.Millisecond
	// unsavedPollInterval is the pause after a poll that brought no new end while earlier
	// ones wait to be stored. Until they are acknowledged, the runner answers at once.
	unsavedPollInterval = 200 * time.Millisecond
	// pollRetryDelay is the delay after an unanswered poll. It grows linearly with
	// the number of failed calls.
	pollRetryDelay = 250 * time.Millisecond
	// maxPollRetryFactor limits the multiple of pollRetryDelay.
	maxPollRetryFactor = 6
	// pollRefusedDelay is the delay after a refused poll.
	pollRefusedDelay = 400 * time.Millisecond
	// missingPollTime is how long a runner without tasks is still polled after its
	// registration has disappeared.
	missingPollTime = 15 * time.Second
)

// pollRunners emits the polls that are due.
func (p *Pool) pollRunners(now time.Time) {
	for _, r := range p.runnerOrder {
		if r.polling || now.Before(r.nextPoll) && !r.acknowledgmentDue(now) {
			continue
		}
		if len(r.tasks) == 0 && !r.missingSince.IsZero() && now.Sub(r.missingSince) > missingPollTime {
			continue
		}
		busy := len(r.tasks) > 0 || len(r.unknownRuns) > 0
		if r.resolved && !busy && !r.canAcknowledge() && r.failedCalls == 0 && !r.identityWanted {
			continue
		}
		p.poll(now, r, busy)
	}
}

// poll sends a poll that acknowledges the stored ends and extends the lease of a busy
// runner.
func (p *Pool) poll(now time.Time, r *runnerState, busy bool) {
	r.polling, r.identityWanted = true, false
	r.nextAcknowledgment = time.Time{}
	r.polledAck, r.polledAddress = r.acknowledge(), r.Address
	effect := &PollRunner{Runner: r.Runner, Fence: p.options.Fence, Acknowledged: r.polledAck, FailedCalls: r.failedCalls}
	if r.resolved && busy && r.failedCalls == 0 {
		// The lease of a runner that does not answer is not extended: a call that is
		// carried out late would postpone the time at which its tasks count as lost.
		effect.Until = p.grantLease(now, r, p.options.Lease)
		effect.Wait = pollWait
	}
	p.emit(effect)
}

// pollInterval returns the pause between two polls of a runner. During a load peak
// in a pool of about 100 instances, tasks end continually and every poll is answered
// at once: an owner that polled all runners at the minimum interval would have no
// time left for starts.
func (p *Pool) pollInterval() time.Duration {
	busy := 0
	for _, r := range p.runnerOrder {
		if r.batchTasks > 0 {
			busy++
		}
	}
	return max(minPollInterval, time.Duration(busy)*time.Second/time.Duration(p.options.PollRate))
}

// apply implements Event.
func (e *RunnerPolled) apply(p *Pool, now time.Time) {
	r := p.runners[e.Runner]
	if r == nil {
		return
	}
	r.polling = false
	r.nextPoll = now.Add(p.pollInterval())
	acknowledged := r.polledAck
	since := r.incarnationSince
	result := p.recordCall(now, r, answer{result: e.CallResult, sent: e.Sent, clock: e.Clock, born: e.Born})
	switch result {
	case Done:
	case Withheld:
		return
	case Unknown, NotSent:
		r.nextPoll = now.Add(pollRetryDelay * time.Duration(min(r.failedCalls, maxPollRetryFactor)))
		return
	case RefusedOtherIncarnation:
		switch {
		case e.CallResult != RefusedOtherIncarnation:
			r.nextPoll = now
		case r.answeredAddress != "" && r.answeredAddress != r.polledAddress:
			// The registration may name the address of another runner.
			p.emit(&LogDecision{Runner: r.ID, Decision: "runnerNotAtAddress", Reason: r.polledAddress, DataAge: now.Sub(r.lastAnswer)})
			r.failedCalls++
			r.nextPoll = now.Add(pollRefusedDelay)
		default:
			(&RunnerEnded{Runner: r.ID, Born: r.born}).apply(p, now)
		}
		return
	default:
		r.nextPoll = now.Add(pollRefusedDelay)
		return
	}
	if r.incarnationSince.Equal(since) {
		r.ackedEnd = max(r.ackedEnd, acknowledged)
	}
	r.fenced = true
	r.answeredAddress = r.polledAddress
	r.listedEnds = len(e.Ended)
	lastEnd := r.handledEnd
	handled := p.handleEnds(now, r, e.Ended)
	if len(r.pendingEnds) > 0 && r.handledEnd == lastEnd {
		r.nextAcknowledgment = r.nextPoll
		r.nextPoll = now.Add(max(unsavedPollInterval, p.pollInterval()))
	}
	if 2*r.listedEnds >= p.options.MaxListedEnds {
		r.requestSave()
	}
	r.resolved = handled && (r.resolved || !e.Truncated)
	listed := p.handleRunning(now, r, e)
	p.retryUnknownStops(r, listed)
	if handled && !e.Truncated {
		p.handleUnlisted(now, r, e, listed)
		p.stopLateStarts(now, r, listed)
	}
	if r.resolved {
		p.takeover.markResolved(r.ID)
	}
	p.recordPoll(now, r, e)
	p.throttleBestEffort(now, r)
	p.dispatchNeeded = true
}

// handleEnds handles the new ends that a runner lists. It reports whether all could
// be handled: while jobs are loading, the job of an end may not be known yet.
func (p *Pool) handleEnds(now time.Time, r *runnerState, ends []EndedTask) bool {
	for _, end := range ends {
		if end.Number <= r.handledEnd {
			continue
		}
		r.handledEnd = end.Number
		pending := pendingEnd{number: end.Number}
		j := p.jobs[end.Task.Job]
		if j != nil {
			p.addBegunOccurrences(now, j, end.Task.Occurrence)
		}
		p.detectDuplicate(now, r, end)
		if j != nil {
			pending.job = j
			pending.seq = p.handleEnd(now, r, j, end)
		} else if p.loading || p.loadParked(now, end.Task.Job) {
			// The job is to be loaded; the end is handled with a later poll.
			r.handledEnd = end.Number - 1
			return false
		}
		r.pendingEnds = append(r.pendingEnds, pending)
		if r.cordoned || r.Draining {
			r.requestSave()
		}
		delete(r.unknownRuns, end.Task)
	}
	return true
}

// handleEnd applies an end and returns the sequence number of the change that must
// be stored before the end is acknowledged, 0 for none.
func (p *Pool) handleEnd(now time.Time, r *runnerState, j *jobState, end EndedTask) uint64 {
	t := j.task(end.Task)
	if t == nil {
		if j.outcome == "" && end.Task.Occurrence >= j.firstOccurrence() {
			p.emit(&LogDecision{Job: j.id(), Task: end.Task, Runner: r.ID, Run: end.Run, Decision: "endOfUnknownTask", Reason: "the job has no such task"})
		}
		return j.seq // the occurrence is done, but that may not be stored yet
	}
	if j.closed {
		if t.run == end.Run && t.runner == r {
			p.unassign(now, t)
		}
		return 0
	}
	j.started = true
	current := t.run == end.Run && t.runner == r
	if !current && t.runner == nil && end.Run >= t.run {
		// The run was started by a previous owner.
		t.run = end.Run
		current = t.state != done
	}
	if current {
		p.recordRuntime(now, r, t, end)
		if end.Checkpoint != "" {
			t.checkpoint = end.Checkpoint
		}
	}
	switch end.Result {
	case RunDone:
		return p.handleDone(now, r, t, end)
	case RunFailed:
		return p.handleFailed(now, r, t, end, current)
	default:
		p.emit(&LogDecision{Job: j.id(), Task: t.id, Runner: r.ID, Run: end.Run, Decision: "taskEnded", Reason: string(end.Result)})
		if current && t.runner != nil {
			p.unassign(now, t)
		}
		return 0
	}
}

// handleDone marks a task done, whichever of its runs has completed.
func (p *Pool) handleDone(now time.Time, r *runnerState, t *task, end EndedTask) uint64 {
	if !t.step.spec.Persistent {
		r.health.recordSuccess()
	}
	if t.runner == r && t.run == end.Run {
		r.release(t)
		p.finishIfDone(now, t.job)
	}
	if t.step.spec.Persistent {
		if t.runner == nil && t.job.outcome == "" {
			t.delayRestart(now)
			p.makeReady(t)
		}
		return 0
	}
	if t.state == done || t.job.outcome != "" {
		p.dropIfIdle(t.job)
		return t.job.seq
	}
	seq := t.job.markDirty(now)
	if t.step.spec.Gang {
		p.finishGang(now, t.step)
		return seq
	}
	otherRunner := t.runner
	p.markDone(now, t)
	if otherRunner != nil {
		p.sendStop(now, t, "an earlier run has completed")
	}
	return seq
}

// finishGang marks all members of a gang done, since they end together.
func (p *Pool) finishGang(now time.Time, step *stepState) {
	for i := range step.spec.Count {
		t := step.task(i)
		if t.runner != nil {
			t.runner.release(t)
		}
		p.markDone(now, t)
	}
}

// handleFailed counts a failed run of a task and fails the job after too many.
func (p *Pool) handleFailed(now time.Time, r *runnerState, t *task, end EndedTask, current bool) uint64 {
	p.emit(&LogDecision{Job: t.id.Job, Task: t.id, Runner: r.ID, Run: end.Run, Decision: "taskFailed", Reason: "the runner lists it as failed"})
	if current && t.runner != nil {
		p.recordFailure(now, r, t)
		if t.step.spec.Persistent {
			t.delayRestart(now)
		}
		p.unassign(now, t)
	}
	if t.step.spec.Persistent {
		return 0
	}
	if t.state == done || t.job.outcome != "" || slices.Contains(t.failed, end.Run) {
		return t.job.seq
	}
	t.failed = append(t.failed, end.Run)
	seq := t.job.markDirty(now)
	if len(t.failed) >= p.settings(t.job).MaxAttempts {
		p.failJob(now, t)
	}
	return seq
}

// handleRunning updates the tasks that a runner lists as running.
func (p *Pool) handleRunning(now time.Time, r *runnerState, e *RunnerPolled) map[job.TaskID]bool {
	listed := make(map[job.TaskID]bool, len(e.Running))
	for _, listedRun := range e.Running {
		listed[listedRun.Task] = true
		t := p.adopt(now, r, listedRun)
		if t == nil {
			p.stopUnknownRun(now, r, listedRun)
			continue
		}
		if t.state == starting {
			t.state = running
			t.confirmedAt, t.progressAt = now, now
			t.job.started = true
		}
		if listedRun.Checkpoint != "" && listedRun.Checkpoint != t.checkpoint {
			t.checkpoint = listedRun.Checkpoint
			t.progressAt = now
		}
		if listedRun.ProgressPercent != t.progressPercent {
			t.progressPercent = listedRun.ProgressPercent
			t.progressAt = now
		}
		t.tailLatency = listedRun.TailLatency
		if t.step.spec.Persistent && t.progressPercent >= 100 {
			p.recordServing(now, r, t)
		}
	}
	return listed
}

// adopt returns the task of a listed run, or nil if the run should not be on the
// runner. It takes over runs that a previous owner has started.
func (p *Pool) adopt(now time.Time, r *runnerState, listedRun RunningTask) *task {
	j := p.jobs[listedRun.Task.Job]
	if j == nil {
		return nil
	}
	p.addBegunOccurrences(now, j, listedRun.Task.Occurrence)
	t := j.task(listedRun.Task)
	if t == nil {
		return nil
	}
	if t.runner == r && t.run == listedRun.Run {
		return t
	}
	if t.runner != nil || t.state == done || j.outcome != "" || listedRun.Run < t.run || !j.inherited {
		return nil
	}
	if t.state == ready {
		t.addReady(-1)
	}
	t.run = listedRun.Run
	t.state = running
	t.confirmedAt, t.progressAt = now, now
	j.started = true
	r.assign(t)
	// The previous owner may have granted the lease for the clock of an earlier incarnation.
	r.leaseEnds = later(r.leaseEnds, now.Add(leaseBound(p.options.MaxLease)))
	p.emit(&LogDecision{Job: j.id(), Task: t.id, Runner: r.ID, Run: listedRun.Run, Decision: "taskAdopted", Reason: "the runner lists it as running"})
	return t
}

// stopUnknownRun stops a run that should not be on the runner.
func (p *Pool) stopUnknownRun(now time.Time, r *runnerState, listedRun RunningTask) {
	if p.loading || p.loadParked(now, listedRun.Task.Job) {
		r.resolved = false
		return
	}
	if r.unknownRuns[listedRun.Task] >= listedRun.Run {
		return
	}
	r.unknownRuns[listedRun.Task] = listedRun.Run
	p.emit(&LogDecision{Job: listedRun.Task.Job, Task: listedRun.Task, Runner: r.ID, Run: listedRun.Run, Decision: "strangerStopped", Reason: "the run is not assigned to this runner"})
	p.emit(&StopTask{Runner: r.Runner, Task: listedRun.Task, Run: listedRun.Run, Fence: p.options.Fence})
}

// handleUnlisted releases the tasks that the runner certainly does not run. All its
// ends must have been handled before, as a task that is not listed may have ended.
func (p *Pool) handleUnlisted(now time.Time, r *runnerState, e *RunnerPolled, listed map[job.TaskID]bool) {
	p.unassignLost(now, r, "notListed", func(t *task) bool {
		if listed[t.id] {
			return false
		}
		switch {
		case t.mayStartLate():
			return !t.stoppedAt.IsZero() && t.stoppedAt.Before(e.Sent)
		case !t.confirmedAt.IsZero() && t.confirmedAt.Before(e.Sent):
			return true
		case !t.stoppedAt.IsZero() && t.stoppedAt.Before(e.Sent):
			return true
		case t.confirmedAt.IsZero() && !t.inFlight && t.startVoidAfter.Before(e.Sent):
			return true
		}
		return false
	})
}

// retryUnknownStops repeats the stop of each unknown run until the runner no longer
// lists it.
func (p *Pool) retryUnknownStops(r *runnerState, listed map[job.TaskID]bool) {
	for id := range r.unknownRuns {
		if !listed[id] {
			delete(r.unknownRuns, id)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(r.unknownRuns), job.TaskID.Compare) {
		p.emit(&StopTask{Runner: r.Runner, Task: id, Run: r.unknownRuns[id], Fence: p.options.Fence})
	}
}
