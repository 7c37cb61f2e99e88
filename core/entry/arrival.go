package entry

import "time"

// requestArrived dispatches a new request to a runner, queues it or refuses it.
func (s *State) requestArrived(e *RequestArrived) {
	r := s.newRequest(e)
	svc, ok := s.services[e.Service]
	if !ok {
		s.refuse(r, UnknownService)
		return
	}
	r.service = svc
	switch {
	case s.stopping:
		s.refuse(r, EntryStopping)
	case !s.now.Before(r.deadline):
		s.refuse(r, DeadlineReached)
	case svc.queue.Len() == 0 && s.dispatch(r, nil):
		// Dispatched.
	case !s.canMeetDeadline(r):
		s.refuse(r, DeadlineUnmeetable)
	default:
		s.enqueue(r)
		s.dispatchQueued(svc)
		s.sendBorrowRequest(svc)
	}
}

// enqueue adds a request to the queue of its service. If the queue is full, the
// request with the lowest priority is refused.
func (s *State) enqueue(r *request) {
	r.phase = queued
	displaced, full, added := r.service.queue.Push(r.queueItem())
	if !full {
		return
	}
	dropped := s.lookup(RequestID(displaced.Request))
	if dropped == nil {
		return
	}
	if added {
		s.refuse(dropped, Displaced)
		return
	}
	s.refuse(dropped, QueueFull)
}

// canMeetDeadline estimates whether a request that is queued now completes
// before its deadline, from the requests ahead of it, the slots held and the
// average latency of the service.
func (s *State) canMeetDeadline(r *request) bool {
	svc := r.service
	held := 0
	for _, runner := range svc.runners {
		held += runner.allocator.Held().Count()
	}
	ahead := svc.queue.Ahead(r.queueItem())
	wait := svc.latency * float64(ahead+1) / float64(max(held, 1))
	finish := s.now.Add(time.Duration(wait + svc.latency))
	return !finish.After(r.deadline)
}

// callerDisconnected drops a queued request. A running request continues until
// its attempt ends, so that its verdict is known and its slot is not reused while
// the runner may still be working on it.
func (s *State) callerDisconnected(e *CallerDisconnected) {
	r := s.lookup(e.Request)
	if r == nil {
		return
	}
	r.callerDisconnected = true
	if r.phase == queued {
		r.service.queue.Remove(uint64(r.id))
		s.emit(Effect{Kind: Discard, Request: r.id})
		s.finish(r, r.verdict(), CallerGone)
	}
}

// deadlinePassed refuses a queued request. A running one ends with its attempt.
func (s *State) deadlinePassed(e *DeadlinePassed) {
	r := s.lookup(e.Request)
	if r == nil || r.phase != queued || s.now.Before(r.deadline) {
		return
	}
	r.service.queue.Remove(uint64(r.id))
	s.refuse(r, DeadlineReached)
}
