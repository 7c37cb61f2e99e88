package intake

import "time"

// ProgressBytes is the step in which the progress of an unfinished request is measured.
const ProgressBytes Bytes = KiB

// idleAge is the time from which a connection without a request counts as idle. A newcomer
// needs some time until its request arrives.
const idleAge = 500 * time.Millisecond

// Reason says why a connection was closed or a request refused.
type Reason string

// The reasons. They are used in log lines and metrics.
const (
	// IdlePressure closes an idle connection to make room.
	IdlePressure Reason = "idlePressure"
	// UnfinishedPressure closes a connection with an unfinished request to make room.
	UnfinishedPressure Reason = "unfinishedPressure"
	// NoRoom refuses a request or a connection because requests that have been read
	// completely use up the budget.
	NoRoom Reason = "noRoom"
	// IdleTimeout closes a connection without a request.
	IdleTimeout Reason = "idleTimeout"
	// HeadTimeout closes a connection whose head did not arrive in time.
	HeadTimeout Reason = "headTimeout"
	// BodyTimeout ends a request whose body makes no progress or takes too long.
	BodyTimeout Reason = "bodyTimeout"
	// SlowBody ends a request whose body arrives far too slowly on average.
	SlowBody Reason = "slowBody"
	// WriteTimeout closes a connection whose caller does not accept its answer.
	WriteTimeout Reason = "writeTimeout"
)

// Client is a connection in a Ledger. The zero value with an Owner is ready for Open.
type Client[T any] struct {
	// Owner is the connection itself.
	Owner T
	// open is true from Open until Close or until it is chosen to be closed.
	open    bool
	index   int
	charged Bytes
	// unanswered is the number of requests that have been read completely and are not
	// answered yet.
	unanswered int
	// unfinished is true while part of a request has arrived.
	unfinished bool
	// progress is the time of the last step of progress, or since when the connection is
	// idle. stepBytes arrived since then.
	progress  time.Time
	stepBytes Bytes
}

// Receipt describes bytes that have arrived at a connection.
type Receipt struct {
	// Length is the number of bytes, Cost what they are charged.
	Length, Cost Bytes
	// Completed is the number of requests that the bytes complete.
	Completed int
	// Unfinished is true if they end within a request.
	Unfinished bool
}

// Victim is a connection to be closed.
type Victim[T any] struct {
	Owner  T
	Reason Reason
	// Stalled is the time since its last progress, Charged what it was charged.
	Stalled time.Duration
	Charged Bytes
}

// Ledger holds the charges of all connections. It is not safe for concurrent use. Use
// NewLedger.
type Ledger[T any] struct {
	budget  Budget
	used    Bytes
	clients []*Client[T]
}

// NewLedger returns an empty ledger.
func NewLedger[T any](b Budget) *Ledger[T] { return &Ledger[T]{budget: b} }

// Used returns the charges and the number of all connections.
func (l *Ledger[T]) Used() Budget { return Budget{Bytes: l.used, Connections: len(l.clients)} }

// Open adds a connection. It returns the connections to be closed for it, and false if there
// is no room, in which case it is not added.
func (l *Ledger[T]) Open(c *Client[T], now time.Time) (victims []Victim[T], ok bool) {
	for len(l.clients) >= l.budget.Connections || l.used+ConnectionCost > l.budget.Bytes {
		v, found := l.evict(nil, now)
		if !found {
			return victims, false
		}
		victims = append(victims, v)
	}
	c.open, c.index, c.progress = true, len(l.clients), now
	l.clients = append(l.clients, c)
	l.add(c, ConnectionCost)
	return victims, true
}

// Receive charges a connection for bytes that have arrived. It returns the connections to be
// closed for it, and false if there is no room nevertheless: the request must be refused. The
// charge remains until the request is answered.
func (l *Ledger[T]) Receive(c *Client[T], r Receipt, now time.Time) (victims []Victim[T], ok bool) {
	if !c.open {
		return nil, false
	}
	begins := !c.unfinished
	c.unanswered += r.Completed
	c.unfinished = r.Unfinished
	c.stepBytes += r.Length
	if begins || c.stepBytes >= ProgressBytes {
		c.progress, c.stepBytes = now, 0
	}
	l.add(c, r.Cost)
	for l.used > l.budget.Bytes {
		v, found := l.evict(c, now)
		if !found {
			return victims, false
		}
		victims = append(victims, v)
	}
	return victims, true
}

// Reserve charges a connection for memory that is about to be used for its request. It returns
// the connections to be closed for it, and false if there is no room, in which case nothing is
// charged. The charge remains until the request is answered.
func (l *Ledger[T]) Reserve(c *Client[T], cost Bytes, now time.Time) (victims []Victim[T], ok bool) {
	if !c.open {
		return nil, false
	}
	for l.used+cost > l.budget.Bytes {
		v, found := l.evict(c, now)
		if !found {
			return victims, false
		}
		victims = append(victims, v)
	}
	l.add(c, cost)
	return victims, true
}

// Refund takes back a part of a connection's charge.
func (l *Ledger[T]) Refund(c *Client[T], cost Bytes) {
	if c.open {
		l.add(c, -min(cost, c.charged-ConnectionCost))
	}
}

// Answer records that the oldest request of a connection is answered. kept is the charge
// for bytes that have arrived and belong to later requests, unfinished is true if they end
// within a request.
func (l *Ledger[T]) Answer(c *Client[T], kept Bytes, unfinished bool, now time.Time) {
	if !c.open {
		return
	}
	c.unanswered = max(0, c.unanswered-1)
	c.unfinished = unfinished
	c.progress, c.stepBytes = now, 0
	l.add(c, ConnectionCost+kept-c.charged)
}

// Unanswered reports whether a request of the connection has been read completely and is not
// answered yet.
func (l *Ledger[T]) Unanswered(c *Client[T]) bool { return c.unanswered > 0 }

// Abandon records that no further request of a connection is answered: it is being closed.
func (l *Ledger[T]) Abandon(c *Client[T]) { c.unanswered = 0 }

// Close removes a connection. It may be called again.
func (l *Ledger[T]) Close(c *Client[T]) {
	if !c.open {
		return
	}
	c.open = false
	l.used -= c.charged
	c.charged = 0
	last := len(l.clients) - 1
	l.clients[c.index] = l.clients[last]
	l.clients[c.index].index = c.index
	l.clients[last] = nil
	l.clients = l.clients[:last]
}

func (l *Ledger[T]) add(c *Client[T], cost Bytes) {
	c.charged += cost
	l.used += cost
}

// evict removes the connection that is to be closed first, other than the one that needs
// the room. It returns false if there is none.
func (l *Ledger[T]) evict(needs *Client[T], now time.Time) (Victim[T], bool) {
	var first *Client[T]
	for _, c := range l.clients {
		if c != needs && c.unanswered == 0 && (first == nil || c.before(first, now)) {
			first = c
		}
	}
	if first == nil {
		return Victim[T]{}, false
	}
	v := Victim[T]{Owner: first.Owner, Reason: IdlePressure, Stalled: now.Sub(first.progress), Charged: first.charged}
	if first.unfinished {
		v.Reason = UnfinishedPressure
	}
	l.Close(first)
	return v, true
}

// before reports whether c is closed before other.
func (c *Client[T]) before(other *Client[T], now time.Time) bool {
	if idle := c.idle(now); idle != other.idle(now) {
		return idle
	}
	return c.progress.Before(other.progress)
}

func (c *Client[T]) idle(now time.Time) bool { return !c.unfinished && now.Sub(c.progress) >= idleAge }
