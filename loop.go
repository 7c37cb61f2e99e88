package bronzestair

import (
	"math/rand/v2"
	"sync"
	"time"

	"bronzestair/core/entry"
)

// EffectHandler executes effects of certain kinds.
type EffectHandler interface {
	// Kinds returns the kinds of effects that Handle accepts.
	Kinds() []entry.EffectKind
	// Handle executes an effect. It must not block and must not call Submit.
	Handle(entry.Effect)
}

// Loop runs the reducer: it serialises events, stamps each with the time
// and a random number, and passes the resulting effects to their handlers.
// Create it with NewLoop.
//
// It has no goroutine of its own. A goroutine that submits an event while no
// other goroutine is reducing reduces that event and all events that arrive in
// the meantime; the goroutines that submitted those return immediately and
// learn of the effects through the handlers. This is flat combining (Hendler,
// Incze, Shavit and Tzafrir, 2010).
type Loop struct {
	mu       sync.Mutex
	queue    []queueItem
	reducing bool

	// The fields below are accessed only by the goroutine that is reducing.
	spareQueue []queueItem
	state      *entry.State
	effects    []entry.Effect
	random     *rand.Rand
	handlers   [entry.EffectKindCount]prioritizedHandler
}

// queueItem is an event to reduce, or a function that inspects the state.
type queueItem struct {
	event   entry.Event
	inspect func(*entry.State)
}

// prioritizedHandler is a handler with its priority. The lowest number wins.
type prioritizedHandler struct {
	handler  EffectHandler
	priority int
}

// DefaultPriority is the priority of the handlers that Entry registers.
const DefaultPriority = 100

// NewLoop returns an event loop that reduces events into the state.
func NewLoop(state *entry.State) *Loop {
	seed := rand.Uint64()
	return &Loop{state: state, random: rand.New(rand.NewPCG(seed, seed))}
}

// Register sets the handler for its kinds of effects. If two handlers are
// registered for one kind, the one with the lower priority number is used.
// Register must not be called after the first event is submitted.
func (l *Loop) Register(h EffectHandler, priority int) {
	for _, kind := range h.Kinds() {
		p := &l.handlers[kind]
		if p.handler == nil || priority < p.priority {
			*p = prioritizedHandler{handler: h, priority: priority}
		}
	}
}

// Submit queues an event to be reduced and its effects to be handled. It may
// return before that has happened, so the event must not be modified until an
// effect shows that it was reduced.
func (l *Loop) Submit(event entry.Event) { l.process(queueItem{event: event}) }

// SubmitLater queues an event to be reduced together with the next event
// submitted by Submit. It is for events on which nothing waits.
func (l *Loop) SubmitLater(event entry.Event) {
	l.mu.Lock()
	l.queue = append(l.queue, queueItem{event: event})
	l.mu.Unlock()
}

// Status returns a snapshot of the reducer's state for operators.
func (l *Loop) Status() entry.Status {
	status := make(chan entry.Status, 1)
	l.process(queueItem{inspect: func(s *entry.State) { status <- s.Status() }})
	return <-status
}

// process queues an item, then works off the queue unless another goroutine is
// already doing so.
func (l *Loop) process(item queueItem) {
	l.mu.Lock()
	l.queue = append(l.queue, item)
	if l.reducing {
		l.mu.Unlock()
		return
	}
	l.reducing = true
	for len(l.queue) > 0 {
		batch := l.queue
		l.queue = l.spareQueue[:0]
		l.mu.Unlock()
		for i := range batch {
			l.reduce(batch[i])
			batch[i] = queueItem{}
		}
		l.spareQueue = batch
		l.mu.Lock()
	}
	l.reducing = false
	l.mu.Unlock()
}

func (l *Loop) reduce(item queueItem) {
	if item.inspect != nil {
		item.inspect(l.state)
		return
	}
	item.event.Stamp(time.Now(), l.random.Uint64())
	l.effects = l.state.Reduce(item.event, l.effects[:0])
	for _, effect := range l.effects {
		if h := l.handlers[effect.Kind].handler; h != nil {
			h.Handle(effect)
		}
	}
}
