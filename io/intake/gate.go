// Package intake accepts the connections of callers within a budget of memory and
// descriptors. It wraps listeners of net/http servers; package core/intake decides which
// connection is closed when the budget does not suffice.
//
// # Usage
//
//	gate := intake.NewGate(intake.Options{Budget: budget, Limits: limits, Logger: logger})
//	gate.Install(server)
//	server.Serve(gate.Listener(listener))
//
// A handler gets the connection of its request with FromContext. It responds to the
// placeholder of a rejected request with the Rejection.
package intake

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"bronzestair/core/intake"
	"bronzestair/io/socket"
)

const (
	// maxLogLines is the number of log lines per second about connections that were closed.
	maxLogLines = 10
	// parserHeaderBytes is the limit of net/http, which only sees heads within Limits.
	parserHeaderBytes = 1 << 20
	// refusalTimeout limits the time for writing a response to a connection for which
	// there is no room.
	refusalTimeout = 50 * time.Millisecond
	refusal        = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/problem+json\r\nRetry-After: 2\r\nConnection: close\r\n" +
		"Content-Length: 71\r\n\r\n" + `{"title":"Service Unavailable","status":503,"reason":"no room for now"}`
)

// Options are the options of a Gate.
type Options struct {
	Budget intake.Budget
	// Limits returns the limits in force.
	Limits func() Limits
	// ChecksDisconnect is true if the handler calls Conn.Disconnected itself.
	ChecksDisconnect bool
	Logger           *slog.Logger
}

// Gate holds the connections of callers of one process. Use NewGate.
type Gate struct {
	options Options

	mu     sync.Mutex
	ledger *intake.Ledger[*Conn]
	counts map[intake.Reason]int64
	// logSecond is the second of the last log line, logLines the lines in it, unlogged the
	// connections since the last line that were not logged.
	logSecond int64
	logLines  int
	unlogged  int
}

// NewGate returns a gate without connections.
func NewGate(o Options) *Gate {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return &Gate{options: o, ledger: intake.NewLedger[*Conn](o.Budget), counts: map[intake.Reason]int64{}}
}

// Install prepares a server for the connections of the gate's listeners. The timeouts and
// the header limit of net/http must not be set.
func (g *Gate) Install(s *http.Server) {
	s.MaxHeaderBytes = parserHeaderBytes
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok {
			g.changeState(conn, state)
		}
	}
}

// changeState follows the states that net/http gives a connection.
func (g *Gate) changeState(c *Conn, state http.ConnState) {
	c.active.Store(state == http.StateActive)
	if state != http.StateIdle {
		return
	}
	if len(c.buffer) == 0 && cap(c.buffer) > readChunkBytes {
		c.buffer = nil
	}
	c.headCost, c.waitSince = 0, time.Time{}
	kept := intake.Bytes(len(c.buffer)) * intake.HeadByteCost
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Answer(&c.client, kept, c.framing.state != inHead || c.verifiedBytes < len(c.buffer), time.Now())
}

// RefuseRejected returns a handler that answers rejected requests in plain text and passes
// the others on.
func RefuseRejected(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rejection := FromContext(r.Context()).Rejection(r.URL.Path); rejection != nil {
			http.Error(w, rejection.Detail, rejection.Status)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Used returns the bytes and connections in use.
func (g *Gate) Used() intake.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Used()
}

// Counts calls report for each reason with the number of connections closed and requests
// refused because of it.
func (g *Gate) Counts(report func(intake.Reason, int64)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for reason, n := range g.counts {
		report(reason, n)
	}
}

// receive charges a connection. inFlight is true if a request before these bytes is not
// answered yet; ok is false if there is no room.
func (g *Gate) receive(c *Conn, r intake.Receipt) (inFlight, ok bool) {
	g.mu.Lock()
	inFlight = g.ledger.Unanswered(&c.client)
	victims, ok := g.ledger.Receive(&c.client, r, time.Now())
	markEvicted(victims)
	g.mu.Unlock()
	g.closeAll(victims)
	return inFlight, ok
}

func (g *Gate) reserve(c *Conn, cost intake.Bytes) bool {
	g.mu.Lock()
	victims, ok := g.ledger.Reserve(&c.client, cost, time.Now())
	markEvicted(victims)
	g.mu.Unlock()
	g.closeAll(victims)
	if !ok {
		g.refused(c, intake.NoRoom)
	}
	return ok
}

func (g *Gate) refund(c *Conn, cost intake.Bytes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Refund(&c.client, cost)
}

func (g *Gate) unanswered(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Unanswered(&c.client)
}

// abandon makes a connection that is being closed eligible for closure under pressure.
func (g *Gate) abandon(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Abandon(&c.client)
}

func (g *Gate) release(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Close(&c.client)
}

// markEvicted marks connections that are about to be closed. The caller holds the lock, so
// that no request of theirs is taken for complete meanwhile.
func markEvicted(victims []intake.Victim[*Conn]) {
	for _, v := range victims {
		v.Owner.evicted.Store(true)
	}
}

// closeAll closes connections to make room. Their goroutines end with the next read or write.
func (g *Gate) closeAll(victims []intake.Victim[*Conn]) {
	for _, v := range victims {
		_ = v.Owner.Conn.Close()
		g.count(v.Owner, v.Reason, "stalled", v.Stalled, "bytes", int64(v.Charged))
	}
}

// refused records that a connection was closed or its request refused.
func (g *Gate) refused(c *Conn, reason intake.Reason) { g.count(c, reason) }

// count counts a reason, and logs it unless there were too many lines in this second.
func (g *Gate) count(c *Conn, reason intake.Reason, attributes ...any) {
	g.mu.Lock()
	g.counts[reason]++
	if second := time.Now().Unix(); second != g.logSecond {
		g.logSecond, g.logLines = second, 0
	}
	// Timeouts of idle connections are the normal end of a connection.
	if g.logLines >= maxLogLines || reason == intake.IdleTimeout {
		if reason != intake.IdleTimeout {
			g.unlogged++
		}
		g.mu.Unlock()
		return
	}
	g.logLines++
	unlogged, used := g.unlogged, g.ledger.Used()
	g.unlogged = 0
	g.mu.Unlock()
	g.options.Logger.Info("connection closed or refused", append([]any{
		"caller", c.RemoteAddr().String(), "reason", string(reason), "usedBytes", int64(used.Bytes), "budgetBytes", int64(g.options.Budget.Bytes),
		"connections", used.Connections, "maxConnections", g.options.Budget.Connections, "notLogged", unlogged,
	}, attributes...)...)
}

// Listener returns a listener whose connections belong to the gate.
func (g *Gate) Listener(l net.Listener) net.Listener {
	if size := g.options.Budget.ReceiveBuffer; size > 0 {
		limitReceiveBuffer(l, size)
	}
	return &listener{Listener: l, gate: g}
}

// limitReceiveBuffer sets the receive buffer of the connections that a listener accepts,
// which inherit it. It does nothing for listeners without a descriptor.
func limitReceiveBuffer(l net.Listener, size intake.Bytes) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		// Without the limit, connections work as well and may take more memory.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, int(size))
	})
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener. A connection for which there is no room is refused with
// status 503 and closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.gate.admit(accepted); ok {
			return c, nil
		}
	}
}

func (g *Gate) admit(accepted net.Conn) (*Conn, bool) {
	c := &Conn{Conn: accepted, gate: g, peeker: socket.NewPeeker(accepted)}
	c.client.Owner = c
	g.mu.Lock()
	victims, ok := g.ledger.Open(&c.client, time.Now())
	markEvicted(victims)
	g.mu.Unlock()
	g.closeAll(victims)
	if ok {
		return c, true
	}
	g.count(c, intake.NoRoom)
	_ = accepted.SetDeadline(time.Now().Add(refusalTimeout))
	_, _ = accepted.Write([]byte(refusal)) // the caller may be gone
	_ = accepted.Close()
	return nil, false
}
