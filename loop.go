package bronzestair

import (
	"math/rand/v2"
	"sync"
	"time"

	"bronzestair/core/entry"
)

// EffectHandler carries out some kinds of effects.
type EffectHandler interface {
	// Kinds returns the effects that Handle takes.
	Kinds() []entry.EffectKind
	// Handle carries out an effect. It must not block and must not call Submit.
	Handle(entry.Effect)
}

// Loop runs the reducer: it puts events in an order, gives them time and
// randomness, and passes the effects to their handlers. Use NewLoop.
type Loop struct {
	mu       sync.Mutex
	state    *entry.State
	effects  []entry.Effect
	random   *rand.Rand
	handlers [entry.EffectKinds]prioritized
}

// prioritized is a handler and its priority. The lowest priority wins.
type prioritized struct {
	handler  EffectHandler
	priority int
}

// DefaultPriority is the priority of the handlers that come with an Entry.
const DefaultPriority = 100

// NewLoop returns a loop around a state.
func NewLoop(state *entry.State) *Loop {
	seed := rand.Uint64()
	return &Loop{state: state, random: rand.New(rand.NewPCG(seed, seed))}
}

// Register makes a handler carry out its kinds of effects. Of two handlers of
// a kind, the one with the lower priority is used.
func (l *Loop) Register(h EffectHandler, priority int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, kind := range h.Kinds() {
		p := &l.handlers[kind]
		if p.handler == nil || priority < p.priority {
			*p = prioritized{handler: h, priority: priority}
		}
	}
}

// Submit reduces an event and passes its effects on.
func (l *Loop) Submit(event entry.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event.Stamp(time.Now(), l.random.Uint64())
	l.effects = l.state.Reduce(event, l.effects[:0])
	for _, effect := range l.effects {
		if h := l.handlers[effect.Kind].handler; h != nil {
			h.Handle(effect)
		}
	}
}

// Status returns what operators may see of the state.
func (l *Loop) Status() entry.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Status()
}
