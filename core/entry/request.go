package entry

import (
	"time"

	"bronzestair/core/queue"
	"bronzestair/core/service"
	"bronzestair/core/slot"
	"bronzestair/core/verdict"
)

// phase is the state of a request. The zero value is ended.
type phase uint8

const (
	ended phase = iota
	queued
	running
	// streaming means that the response is forwarded while the runner still sends it.
	streaming
	// delivering means that the attempt has ended and the response is being written
	// to the caller.
	delivering
)

// request is the state of one request.
type request struct {
	id                 RequestID
	phase              phase
	urgency            service.Urgency
	idempotent         bool
	callerDisconnected bool
	// mayHaveRun is set once an attempt may have reached a runner, and never cleared.
	mayHaveRun bool
	attempt    int
	service    *serviceState
	runner     *runnerState
	slot       slot.Index
	deadline   time.Time
	startedAt  time.Time
}

// verdict returns the verdict of a request that gets no response.
func (r *request) verdict() verdict.Verdict {
	if r.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

func (r *request) queueItem() queue.Item {
	return queue.Item{Request: uint64(r.id), Urgency: r.urgency, Deadline: r.deadline}
}

// newRequest initializes the state of a request, and grows the table if needed.
func (s *State) newRequest(e *RequestArrived) *request {
	index := int(e.Request.Index())
	for index >= len(s.requests) {
		s.requests = append(s.requests, request{})
	}
	r := &s.requests[index]
	*r = request{
		id:         e.Request,
		phase:      queued,
		urgency:    e.Urgency,
		idempotent: e.Idempotent,
		deadline:   e.Deadline,
	}
	s.active++
	return r
}

// lookup returns the request with this id, or nil if it has ended.
func (s *State) lookup(id RequestID) *request {
	index := int(id.Index())
	if index >= len(s.requests) {
		return nil
	}
	r := &s.requests[index]
	if r.id != id || r.phase == ended {
		return nil
	}
	return r
}

// refuse finishes a request without a response.
func (s *State) refuse(r *request, reason Reason) {
	s.emit(Effect{Kind: Refuse, Request: r.id, Verdict: r.verdict(), Reason: reason})
	s.finish(r, r.verdict(), reason)
}

// finish records the outcome of a request in the books and drops its state.
func (s *State) finish(r *request, v verdict.Verdict, reason Reason) {
	s.emit(Effect{Kind: Record, Request: r.id, Verdict: v, Reason: reason})
	r.phase = ended
	r.service = nil
	r.runner = nil
	s.active--
	s.checkStopped()
}
