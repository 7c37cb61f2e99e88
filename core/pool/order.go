package pool

import (
	"time"

	"bronzestair/core/job"
)

// Retries of orders to runners.
const (
	// maxStartOrders limits how often an unanswered start is sent to one runner.
	maxStartOrders = 2
	// stopRetryDelay is the delay before an unanswered stop is repeated.
	stopRetryDelay = 300 * time.Millisecond
	// refusalBackoff is how long a runner that refused a start gets no new tasks.
	refusalBackoff = 400 * time.Millisecond
)

// sendStart sends a start order to the task's runner.
func (p *Pool) sendStart(now time.Time, t *task) {
	r := t.runner
	t.inFlight = true
	t.orderedAt = now
	t.orderCount++
	validity := p.options.StartValidity
	t.startVoidAfter = now.Add(leaseBound(validity))
	p.startsInFlight++
	p.emit(&StartTask{
		Runner: r.Runner, Task: t.id, Run: t.run, Payload: t.job.record.Spec.Payload,
		Checkpoint: t.checkpoint, Ticket: p.ticket(t.id.StepKey(), r.ID, now),
		Until: p.grantLease(now, r, validity), Fence: p.options.Fence,
	})
}

// stopTask stops a task that is assigned to a runner. Other tasks are unaffected.
func (p *Pool) stopTask(now time.Time, t *task, reason string) {
	if t.runner == nil || t.state == stopping {
		return
	}
	if t.state != done {
		t.state = stopping
	}
	t.orderCount = 0
	if t.state == stopping && !t.inFlight {
		p.sendStop(now, t, reason)
	}
}

// sendStop sends a stop order to the task's runner.
func (p *Pool) sendStop(now time.Time, t *task, reason string) {
	p.emit(&LogDecision{Job: t.id.Job, Task: t.id, Runner: t.runner.ID, Run: t.run, Decision: "taskStopped", Reason: reason})
	t.inFlight = true
	t.orderedAt = now
	t.orderCount++
	p.emit(&StopTask{Runner: t.runner.Runner, Task: t.id, Run: t.run, Fence: p.options.Fence})
}

// apply implements Event.
func (e *TaskStarted) apply(p *Pool, now time.Time) {
	if p.startWindowFull() {
		p.dispatchNeeded = true // the answer makes room for starts that were held back
	}
	p.startsInFlight--
	r := p.runners[e.Runner]
	if r == nil {
		return
	}
	result := p.recordCall(now, r, answer{result: e.CallResult, sent: e.Sent, clock: e.Clock, born: e.Born})
	if result == Unknown {
		r.recordUnansweredStart(now, e.Task, e.Run)
	}
	t := r.tasks[e.Task]
	if t == nil || t.run != e.Run || !t.inFlight {
		return
	}
	t.inFlight = false
	p.startWindow.observe(e.Took, p.options.MaxStartsInFlight)
	// The answer of an incarnation that is taken for a previous one does not show that the run has
	// ended, as the registration of the current one may be another writer's.
	t.orderUnanswered = t.orderUnanswered || result == Unknown || result != e.CallResult
	switch {
	case t.state == running || t.state == done:
		// A poll of the runner has already reported a later state.
	case t.state == stopping && (result == Done || t.orderUnanswered):
		p.sendStop(now, t, "a stop was requested before the start was answered")
	case t.state == stopping:
		p.unassign(now, t)
	case result == Done:
		t.state = running
		t.confirmedAt, t.progressAt = now, now
		t.job.started = true
		if next := now.Add(p.pollInterval()); r.nextPoll.After(next) {
			r.nextPoll = next // the runner answers again, so the delay after failed polls ends
		}
	case result == Unknown && t.orderCount < maxStartOrders && r.missingSince.IsZero() && r.resolved && r.mayRepeatStart(t, e.Sent):
		p.sendStart(now, t)
	case t.orderUnanswered || result == RefusedStaleRun:
		// A start of this run may have been carried out. The run must be stopped before
		// the task is placed again.
		t.state = stopping
		p.sendStop(now, t, "start has no answer")
	default:
		p.handleRefusedStart(now, r, t, result)
	}
}

// handleRefusedStart handles a start that certainly did not take effect.
func (p *Pool) handleRefusedStart(now time.Time, r *runnerState, t *task, result CallResult) {
	p.emit(&LogDecision{Job: t.id.Job, Task: t.id, Runner: r.ID, Run: t.run, Decision: "startRefused", Reason: result.String(), DataAge: now.Sub(t.orderedAt)})
	t.latestRun = RunRef{}
	switch result {
	case RefusedInvalid:
		// Either the order is malformed or the address is another server's by now.
		t.delayRestart(now)
		r.backoffUntil = now.Add(refusalBackoff)
	case RefusedUnhealthy, NotSent, Withheld:
		r.backoffUntil = now.Add(refusalBackoff)
	case RefusedNoCapacity, RefusedExpired, RefusedOtherIncarnation:
		r.backoffUntil = now.Add(refusalBackoff / 4)
		r.nextPoll = now
	case RefusedTicket:
		p.dropTickets(t.id.StepKey())
	}
	p.makeReady(t)
}

// apply implements Event.
func (e *TaskStopped) apply(p *Pool, now time.Time) {
	r := p.runners[e.Runner]
	if r == nil {
		return
	}
	result := p.recordCall(now, r, answer{result: e.CallResult, sent: e.Sent, clock: e.Clock, born: e.Born})
	if _, ok := r.unknownRuns[e.Task]; ok {
		r.nextPoll = now
		return
	}
	t := r.tasks[e.Task]
	if t == nil || t.run != e.Run || t.state != stopping {
		return
	}
	t.inFlight = false
	// Before the news of a restart, the previous incarnation may have carried out the stop.
	if result == Done && !e.Sent.Before(r.incarnationSince) {
		t.stoppedAt = now
		r.nextPoll = now
	}
}

// unassign takes a task off its runner after the run has ended or was never started.
func (p *Pool) unassign(now time.Time, t *task) {
	r := t.runner
	switch {
	case t.state == done:
		// The task was already done; this was a second run of it.
		r.release(t)
		p.finishIfDone(now, t.job)
		p.dropIfIdle(t.job)
		p.dispatchNeeded = true
	case t.job.outcome != "":
		t.state = waiting
		r.release(t)
		p.dropIfIdle(t.job)
		p.dispatchNeeded = true
	default:
		p.makeReady(t)
	}
}

// retryStops repeats the stops that had no answer.
func (p *Pool) retryStops(now time.Time) {
	for _, r := range p.runnerOrder {
		for _, t := range r.sortedTasks() {
			if t.state != stopping || t.inFlight {
				continue
			}
			if t.stoppedAt.IsZero() && now.Sub(t.orderedAt) > stopRetryDelay {
				p.sendStop(now, t, "stop has no answer")
			}
		}
	}
}

// unassignLost unassigns the tasks of a runner that certainly no longer run there.
func (p *Pool) unassignLost(now time.Time, r *runnerState, reason string, lost func(*task) bool) {
	for _, t := range r.sortedTasks() {
		if !lost(t) {
			continue
		}
		p.emit(&LogDecision{Job: t.id.Job, Task: t.id, Runner: r.ID, Run: t.run, Decision: "taskLost", Reason: reason, DataAge: now.Sub(r.lastAnswer)})
		p.recordLostRun(now, t)
		p.unassign(now, t)
	}
}

// expireLease unassigns the persistent tasks of a runner whose lease has ended.
// Other tasks may have completed before that: they stay assigned until the runner
// reports their ends or its incarnation has terminated.
func (p *Pool) expireLease(now time.Time, r *runnerState) {
	p.unassignLost(now, r, "leaseExpired", func(t *task) bool { return t.step.spec.Persistent && !t.mayStartLate() })
	for _, t := range r.tasksByID {
		if t.unresolved {
			continue
		}
		t.unresolved = true
		p.emit(&LogDecision{
			Job: t.id.Job, Task: t.id, Runner: r.ID, Run: t.run, Decision: "taskUnresolved",
			Reason: "its lease has expired and the runner has not reported how the run ended", DataAge: now.Sub(r.lastAnswer),
		})
	}
}

// failJob fails a job because of a task that has used all attempts.
func (p *Pool) failJob(now time.Time, t *task) {
	p.endJob(now, t.job, job.Failed, "task "+t.id.String()+" used all attempts")
}
