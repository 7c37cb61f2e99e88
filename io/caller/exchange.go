package caller

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bronzestair/core/book"
	"bronzestair/core/entry"
	"bronzestair/core/verdict"
	"bronzestair/io/backend"
)

// effectBacklog is the most effects that wait for one exchange: the reducer
// sends at most two before it hears from the exchange again.
const effectBacklog = 4

// exchange is one request of a caller, from its head to the end of the answer.
type exchange struct {
	call    call
	id      entry.RequestID
	effects chan entry.Effect
	timer   *time.Timer
	// users counts the server and, while it knows the request, the reducer.
	users atomic.Int32

	arrived   entry.Arrived
	started   entry.AnswerStarted
	attempted entry.AttemptEnded
	done      entry.Delivered

	request  *http.Request
	body     body
	received time.Time
	deadline time.Time
	// answer is the whole answer of the last attempt.
	answer *backend.Answer
	conn   *conn
	// left says that the reducer knows that the caller has left.
	left bool
}

// exchanges finds the exchange that an effect is for.
type exchanges struct {
	mu    sync.Mutex
	slots []exchangeSlot
	free  []uint32
}

type exchangeSlot struct {
	exchange   *exchange
	generation uint32
}

var exchangePool = sync.Pool{New: func() any {
	return &exchange{effects: make(chan entry.Effect, effectBacklog)}
}}

// open returns a new exchange with an id of its own.
func (t *exchanges) open() *exchange {
	ex := exchangePool.Get().(*exchange)
	t.mu.Lock()
	defer t.mu.Unlock()
	var index uint32
	if n := len(t.free); n > 0 {
		index = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		index = uint32(len(t.slots))
		t.slots = append(t.slots, exchangeSlot{})
	}
	s := &t.slots[index]
	s.generation++
	s.exchange = ex
	ex.users.Store(1)
	ex.id = entry.NewRequestID(index, s.generation)
	return ex
}

// release ends one use of an exchange. With the last one it is forgotten.
func (t *exchanges) release(ex *exchange) {
	if ex.users.Add(-1) > 0 {
		return
	}
	t.mu.Lock()
	index := ex.id.Index()
	t.slots[index].exchange = nil
	t.free = append(t.free, index)
	t.mu.Unlock()
	ex.reset()
	exchangePool.Put(ex)
}

// line returns the book line in which the exchange ends.
func (ex *exchange) line(v verdict.Verdict) book.Line {
	return book.Line{
		Caller:  ex.call.caller,
		Service: ex.call.service,
		Key:     ex.call.key,
		Verdict: v,
		At:      time.Now(),
	}
}

// startTimer returns the exchange's timer, which fires in d.
func (ex *exchange) startTimer(d time.Duration) *time.Timer {
	if ex.timer == nil {
		ex.timer = time.NewTimer(d)
	} else {
		ex.timer.Reset(d)
	}
	return ex.timer
}

// reset makes an exchange ready for another request.
func (ex *exchange) reset() {
	for len(ex.effects) > 0 {
		<-ex.effects
	}
	ex.call = call{}
	ex.request = nil
	ex.body = body{}
	ex.answer = nil
	ex.conn = nil
	ex.left = false
}

// find returns the exchange of a request, nil if it is gone.
func (t *exchanges) find(id entry.RequestID) *exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	index := int(id.Index())
	if index >= len(t.slots) {
		return nil
	}
	ex := t.slots[index].exchange
	if ex == nil || ex.id != id {
		return nil
	}
	return ex
}
