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
	"bronzestair/io/intake"
)

// effectBacklog is the capacity of an exchange's effect channel. The reducer
// sends at most two effects before it receives another event of the exchange.
const effectBacklog = 4

// minExchanges is the initial number of exchanges.
const minExchanges = 64

// exchange is one request of a caller and its response.
type exchange struct {
	call  call
	id    entry.RequestID
	index uint32
	// generation is incremented each time the exchange is reused.
	generation uint32
	effects    chan entry.Effect
	timer      *time.Timer
	// refs counts the references: one of the server and, while it tracks the
	// request, one of the reducer.
	refs atomic.Int32

	arrived      entry.RequestArrived
	started      entry.ResponseStarted
	attemptEnded entry.AttemptEnded
	delivered    entry.ResponseDelivered

	request  *http.Request
	body     body
	received time.Time
	deadline time.Time
	// response is the complete response of the last attempt.
	response *backend.ServerResponse
	conn     *intake.Conn
	// disconnectReported is set once the reducer was told that the caller has
	// disconnected.
	disconnectReported bool
}

// exchanges looks up the exchange of an effect by its index. An exchange keeps
// its index and is reused for later requests.
type exchanges struct {
	all atomic.Pointer[[]*exchange]

	mu   sync.Mutex
	free []*exchange
}

// open returns a free exchange with a new request ID.
func (t *exchanges) open() *exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.free)
	if n == 0 {
		t.grow()
		n = len(t.free)
	}
	ex := t.free[n-1]
	t.free = t.free[:n-1]
	ex.generation++
	ex.id = entry.NewRequestID(ex.index, ex.generation)
	ex.refs.Store(1)
	return ex
}

// grow doubles the number of exchanges.
func (t *exchanges) grow() {
	var all []*exchange
	if old := t.all.Load(); old != nil {
		all = *old
	}
	count := max(len(all), minExchanges)
	all = append(make([]*exchange, 0, len(all)+count), all...)
	for range count {
		ex := &exchange{index: uint32(len(all)), effects: make(chan entry.Effect, effectBacklog)}
		all = append(all, ex)
		t.free = append(t.free, ex)
	}
	t.all.Store(&all)
}

// release drops one reference to an exchange and frees it after the last one.
func (t *exchanges) release(ex *exchange) {
	if ex.refs.Add(-1) > 0 {
		return
	}
	ex.reset()
	t.mu.Lock()
	t.free = append(t.free, ex)
	t.mu.Unlock()
}

// find returns the exchange of a request that the reducer tracks. The exchange
// is not reused before the Record effect of the request.
func (t *exchanges) find(id entry.RequestID) *exchange { return (*t.all.Load())[id.Index()] }

// bookLine returns the book line that records the exchange with its verdict.
func (ex *exchange) bookLine(v verdict.Verdict) book.Line {
	return book.Line{
		Caller:  ex.call.caller,
		Service: ex.call.service,
		Key:     ex.call.key,
		Verdict: v,
		At:      book.At(time.Now()),
	}
}

// startTimer returns the exchange's timer, set to fire after d.
func (ex *exchange) startTimer(d time.Duration) *time.Timer {
	if ex.timer == nil {
		ex.timer = time.NewTimer(d)
	} else {
		ex.timer.Reset(d)
	}
	return ex.timer
}

// reset clears an exchange for the next request.
func (ex *exchange) reset() {
	for len(ex.effects) > 0 {
		<-ex.effects
	}
	ex.call = call{}
	ex.request = nil
	ex.body = body{}
	ex.response = nil
	ex.conn = nil
	ex.disconnectReported = false
}
