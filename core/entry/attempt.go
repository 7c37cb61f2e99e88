package entry

import (
	"bronzestair/core/verdict"
	"time"
)

// latencyWeight is the weight of the newest sample in the moving average of latencies.
const latencyWeight = 0.1

// dispatch sends a request to a runner with a free slot and reports whether
// there was one. It uses the runner avoid only if no other has a free slot.
func (s *State) dispatch(r *request, avoid *runnerState) bool {
	chosen := s.pick(r.service, avoid)
	if chosen == nil && avoid != nil {
		chosen = s.pick(r.service, nil)
	}
	if chosen == nil {
		return false
	}
	lease, ok := chosen.allocator.Acquire(s.now)
	if !ok {
		return false
	}
	r.phase = running
	r.attempt++
	r.runner = chosen
	r.slot = lease.Slot
	r.startedAt = s.now
	s.emit(Effect{
		Kind:     Dispatch,
		Request:  r.id,
		Attempt:  r.attempt,
		Runner:   chosen.config.ID,
		NotAfter: lease.NotAfter,
	})
	return true
}

// pick selects a runner with a free slot other than avoid, or returns nil if there is none.
func (s *State) pick(svc *serviceState, avoid *runnerState) *runnerState {
	for i, r := range svc.runners {
		svc.loads[i].Busy = r.allocator.Busy().Count()
		svc.loads[i].Latency = r.latency
		svc.loads[i].Free = r.available(s.now)
		if r == avoid {
			svc.loads[i].Free = 0
		}
	}
	i, ok := s.picker.Pick(svc.loads, s.random)
	if !ok {
		return nil
	}
	return svc.runners[i]
}

// available returns the number of requests that this entry may start on the
// runner now, limited by its free slots and its share of the connections.
func (r *runnerState) available(now time.Time) int {
	if r.leaving || r.health.IsEjected() {
		return 0
	}
	free := r.allocator.Free(now).Count()
	return min(free, max(r.connectionShare-r.allocator.Busy().Count(), 0))
}

// dispatchQueued dispatches queued requests while slots are free.
func (s *State) dispatchQueued(svc *serviceState) {
	for svc.queue.Len() > 0 {
		if s.pick(svc, nil) == nil {
			return
		}
		item, _ := svc.queue.Pop()
		r := s.lookup(RequestID(item.Request))
		if r == nil {
			continue
		}
		if !s.now.Before(r.deadline) {
			s.refuse(r, DeadlineReached)
			continue
		}
		if !s.dispatch(r, nil) {
			s.enqueue(r)
			return
		}
	}
}

// responseStarted begins to stream a large response to the caller, unless the
// caller has disconnected or the deadline has passed.
func (s *State) responseStarted(e *ResponseStarted) {
	r := s.lookup(e.Request)
	if r == nil || r.phase != running || r.attempt != e.Attempt {
		return
	}
	if r.callerDisconnected || s.now.After(r.deadline) {
		s.emit(Effect{Kind: Discard, Request: r.id})
		return
	}
	r.phase = streaming
	r.mayHaveRun = true
	s.emit(Effect{Kind: Deliver, Request: r.id})
}

// attemptEnded releases the slot of an attempt, then delivers the response,
// retries the request or refuses it.
func (s *State) attemptEnded(e *AttemptEnded) {
	r := s.lookup(e.Request)
	if r == nil || r.attempt != e.Attempt || (r.phase != running && r.phase != streaming) {
		return
	}
	svc := r.service
	previous := r.runner
	previous.allocator.Release(r.slot)
	s.recordResult(r, e.Result)
	if e.Result != NotSent && e.Result != NotStarted {
		r.mayHaveRun = true
	}
	switch {
	case r.phase == streaming:
		r.phase = delivering
	case e.Result == Succeeded || e.Result == Failed:
		s.responseReceived(r)
	default:
		s.attemptFailed(r, e, previous)
	}
	s.dispatchQueued(svc)
}

// responseReceived delivers a complete response, unless the caller has
// disconnected or the deadline has passed.
func (s *State) responseReceived(r *request) {
	switch {
	case r.callerDisconnected:
		s.emit(Effect{Kind: Discard, Request: r.id})
		s.finish(r, verdict.MayHaveRun, CallerGone)
	case s.now.After(r.deadline):
		s.refuse(r, DeadlineReached)
	default:
		r.phase = delivering
		s.emit(Effect{Kind: Deliver, Request: r.id})
	}
}

// attemptFailed retries a request where that is safe and the retry budget
// allows it, and refuses it otherwise.
func (s *State) attemptFailed(r *request, e *AttemptEnded, previous *runnerState) {
	switch {
	case r.callerDisconnected:
		s.emit(Effect{Kind: Discard, Request: r.id})
		s.finish(r, r.verdict(), CallerGone)
	case !s.now.Before(r.deadline) || e.Result == TimedOut:
		s.refuse(r, DeadlineReached)
	case !e.BodyConsumed && s.mayRetry(r):
		if !s.dispatch(r, previous) {
			s.enqueue(r)
		}
	case r.mayHaveRun:
		s.refuse(r, AnswerBroken)
	default:
		s.refuse(r, RunnerUnreachable)
	}
}

func (s *State) mayRetry(r *request) bool {
	if !r.verdict().RetrySafe(r.idempotent) {
		return false
	}
	if r.attempt >= r.service.config.AttemptLimit() {
		return false
	}
	return r.service.retries.Spend()
}

// responseDelivered finishes a request whose response was written to the caller.
func (s *State) responseDelivered(e *ResponseDelivered) {
	r := s.lookup(e.Request)
	if r == nil || r.phase != delivering {
		return
	}
	if e.Complete {
		s.finish(r, verdict.Answered, NoReason)
		return
	}
	s.finish(r, verdict.MayHaveRun, AnswerBroken)
}

// recordResult updates the health of the runner, the average latencies and the
// retry budget with the result of an attempt, and ejects the runner if its health
// requires it.
func (s *State) recordResult(r *request, result Result) {
	switch result {
	case Succeeded:
		r.runner.health.Succeeded()
		r.service.retries.Succeeded()
		elapsed := float64(s.now.Sub(r.startedAt))
		r.runner.latency = movingAverage(r.runner.latency, elapsed)
		r.service.latency = movingAverage(r.service.latency, elapsed)
	default:
		if s.isRunnerFault(r, result) && r.runner.health.Failed() {
			s.eject(r.runner)
		}
	}
}

const (
	// runnerFaultFactor is the multiple of the average latency that an attempt must
	// have taken before a missed deadline counts as a failure of the runner.
	runnerFaultFactor = 4
	// minRunnerFaultTime is the lower bound of that time.
	minRunnerFaultTime = 250 * time.Millisecond
)

// isRunnerFault reports whether a failed attempt counts against the health of
// the runner. An attempt that was not started does not, nor does one that ran
// into a deadline too short for the average latency.
func (s *State) isRunnerFault(r *request, result Result) bool {
	if result == NotStarted {
		return false
	}
	late := !s.now.Before(r.deadline)
	if !late || result == Incomplete || result == Failed {
		return true
	}
	allowed := max(time.Duration(runnerFaultFactor*r.service.latency), minRunnerFaultTime)
	return s.now.Sub(r.startedAt) >= allowed
}

// movingAverage returns the exponentially weighted moving average after a sample.
func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + latencyWeight*(sample-old)
}
