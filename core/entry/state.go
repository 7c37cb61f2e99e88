// Package entry implements the request handling of an entry instance as a
// deterministic state machine, the reducer.
//
// State.Reduce takes one event and returns effects as data. It does no I/O,
// reads no clock, draws no random numbers and starts no goroutines: time and
// random numbers arrive in events. The daemon, the tests and the experiments
// run the same reducer.
//
// All decisions about a request are made here: which runner it is sent to, how
// long it is queued, whether it is retried, and which of deadline, disconnect,
// dispatch and response happened first.
//
// # Usage
//
//	state := entry.New("entry-1")
//	var effects []entry.Effect
//	effects = state.Reduce(&entry.ConfigurationReceived{Fleet: f}, effects[:0])
//	effects = state.Reduce(&entry.RequestArrived{Request: id, Service: "seats"}, effects[:0])
//	for _, effect := range effects {
//		execute(effect) // reports the outcome as further events
//	}
package entry

import (
	"fmt"
	"time"

	"bronzestair/core/fleet"
	"bronzestair/core/queue"
	"bronzestair/core/retry"
	"bronzestair/core/runner"
	"bronzestair/core/service"
	"bronzestair/core/slot"
)

// State is the state of an entry. It is not safe for concurrent use.
type State struct {
	self     fleet.EntryID
	picker   runner.Picker
	homes    HomeAssigner
	borrows  bool
	fleet    *fleet.Fleet
	services map[service.ID]*serviceState
	runners  map[runner.ID]*runnerState
	// requests holds each request at the index of its id, active counts those that
	// have not ended.
	requests []request
	active   int
	stopping bool
	lending  lending
	now      time.Time
	random   uint64
	effects  []Effect
}

// serviceState is the state of one service.
type serviceState struct {
	config  service.Service
	runners []*runnerState
	loads   []runner.Load
	queue   *queue.Queue
	retries retry.Budget
	// latency is the moving average of the time to a complete response, in nanoseconds.
	latency   float64
	borrowing borrowing
}

// runnerState is the state of one runner.
type runnerState struct {
	config    runner.Runner
	service   *serviceState
	allocator slot.Allocator
	homes     map[fleet.EntryID]slot.Mask
	health    runner.Health
	// connectionShare is the largest number of requests in flight from this entry.
	connectionShare int
	leaving         bool
	// latency is the moving average of the time to a complete response, in nanoseconds.
	latency float64
}

// New returns the state of an entry that has no configuration yet.
func New(self fleet.EntryID, options ...Option) *State {
	s := &State{
		self:     self,
		picker:   runner.TwoChoices{},
		homes:    slot.AssignHomes[fleet.EntryID],
		borrows:  true,
		services: map[service.ID]*serviceState{},
		runners:  map[runner.ID]*runnerState{},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Option overrides a default of New.
type Option func(*State)

// WithPicker sets the picker that selects runners. The default is TwoChoices.
func WithPicker(p runner.Picker) Option { return func(s *State) { s.picker = p } }

// HomeAssigner returns the home slots of each entry at a runner.
type HomeAssigner func(entries []fleet.EntryID, runner string, slots int) map[fleet.EntryID]slot.Mask

// WithHomeAssigner sets how home slots are assigned. All entries must use the
// same assignment.
func WithHomeAssigner(h HomeAssigner) Option { return func(s *State) { s.homes = h } }

// WithBorrowing sets whether slots are borrowed from peers. The default is true.
func WithBorrowing(borrows bool) Option { return func(s *State) { s.borrows = borrows } }

// Reduce applies one event and appends the resulting effects to effects.
func (s *State) Reduce(event Event, effects []Effect) []Effect {
	s.effects = effects
	switch e := event.(type) {
	case *RequestArrived:
		s.applyMeta(e.Meta)
		s.requestArrived(e)
	case *ResponseStarted:
		s.applyMeta(e.Meta)
		s.responseStarted(e)
	case *AttemptEnded:
		s.applyMeta(e.Meta)
		s.attemptEnded(e)
	case *ResponseDelivered:
		s.applyMeta(e.Meta)
		s.responseDelivered(e)
	case *CallerDisconnected:
		s.applyMeta(e.Meta)
		s.callerDisconnected(e)
	case *DeadlinePassed:
		s.applyMeta(e.Meta)
		s.deadlinePassed(e)
	case *ConfigurationReceived:
		s.applyMeta(e.Meta)
		s.configurationReceived(e)
	case *LeavingRunnersReceived:
		s.applyMeta(e.Meta)
		s.leavingRunnersReceived(e)
	case *ProbeEnded:
		s.applyMeta(e.Meta)
		s.probeEnded(e)
	case *BorrowRequested:
		s.applyMeta(e.Meta)
		s.borrowRequested(e)
	case *BorrowCompleted:
		s.applyMeta(e.Meta)
		s.borrowCompleted(e)
	case *SlotsReturned:
		s.applyMeta(e.Meta)
		s.slotsReturned(e)
	case *LoansQueried:
		s.applyMeta(e.Meta)
		s.loansQueried(e)
	case *LoansReported:
		s.applyMeta(e.Meta)
		s.loansReported(e)
	case *Ticked:
		s.applyMeta(e.Meta)
		s.ticked()
	case *Stopping:
		s.applyMeta(e.Meta)
		s.stopping = true
		s.checkStopped()
	default:
		panic(fmt.Sprintf("entry: unhandled event type %T", event))
	}
	out := s.effects
	s.effects = nil
	return out
}

// applyMeta takes the time and the random number of an event. The time of the
// state never goes back.
func (s *State) applyMeta(m Meta) {
	if m.At.After(s.now) {
		s.now = m.At
	}
	s.random = m.Random
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// Version returns the version of the configuration in force, 0 for none.
func (s *State) Version() fleet.Version {
	if s.fleet == nil {
		return 0
	}
	return s.fleet.Version
}

func (s *State) checkStopped() {
	if s.stopping && s.active == 0 {
		s.emit(Effect{Kind: Stopped})
	}
}
