package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"bronzestair/core/intake"
	"bronzestair/io/socket"
)

const (
	readChunkBytes = 4 << 10
	// lingerTimeout and lingerBytes limit how much of a discarded request body
	// is read before the connection is closed.
	lingerTimeout = 2 * time.Second
	lingerBytes   = 64 << 20
	// RejectedPath is the path of the placeholder for a request that was rejected
	// before it was parsed.
	RejectedPath    = "/.refused"
	rejectedRequest = "GET " + RejectedPath + " HTTP/1.1\r\nHost: refused\r\nConnection: close\r\n\r\n"
)

// Conn is a caller's connection. It hands only complete, unambiguous request heads to
// net/http, charges the bytes that arrive, and enforces the timeouts.
type Conn struct {
	net.Conn
	gate   *Gate
	client intake.Client[*Conn]
	closed sync.Once
	// evicted is set when the connection is closed to make room.
	evicted atomic.Bool

	peeker        socket.Peeker
	framing       framing
	buffer        []byte
	verifiedBytes int
	rejection     *Rejection
	// failure is returned by all further reads.
	failure error
	// doomed is set if the connection is to be closed after the response in flight.
	doomed bool
	// headCost is the charge of the heads since the last answer.
	headCost intake.Bytes
	// bodySince is when the current body began, bodyBytes what has arrived of it.
	bodySince time.Time
	bodyBytes int64
	// waitState and partial are the framing state at the last read and whether a part
	// of a request was buffered then. waitSince is when the wait for it began.
	waitState framingState
	partial   bool
	waitSince time.Time
	// active is set while a request is in flight.
	active atomic.Bool

	mu sync.Mutex
	// serverDeadline is the read deadline set by net/http.
	serverDeadline time.Time
	// phaseDeadline is the read deadline set by updateReadDeadline.
	phaseDeadline time.Time
	writeDeadline time.Time
}

type connKey struct{}

// FromContext returns the connection of a request, nil if it is not a *Conn.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Disconnected reports whether the caller has closed its connection.
func (c *Conn) Disconnected() bool { return c.peeker.Peek() == socket.Closed }

// Rejection returns why the request with the given path was rejected before it was parsed,
// or nil. It may be called on a nil *Conn.
func (c *Conn) Rejection(path string) *Rejection {
	if c == nil || path != RejectedPath {
		return nil
	}
	return c.rejection
}

// Evicted reports whether the connection was closed to make room.
func (c *Conn) Evicted() bool { return c != nil && c.evicted.Load() }

// Complete reports whether the request in flight has been received completely.
func (c *Conn) Complete() bool { return c == nil || c.gate.unanswered(c) }

// ReleaseHead takes back the charge for the head of the request in flight, whose headers
// are no longer held.
func (c *Conn) ReleaseHead() {
	if c != nil && c.headCost > 0 {
		c.gate.refund(c, c.headCost)
		c.headCost = 0
	}
}

// Reserve charges the connection for memory that the handler is about to use for the request in
// flight. It returns false if there is no room: the request must then be refused. It may be
// called on a nil *Conn.
func (c *Conn) Reserve(cost intake.Bytes) bool { return c == nil || c.gate.reserve(c, cost) }

// Read returns verified bytes only: complete, valid heads and body bytes.
//
// While a request is in flight, net/http reads a single byte in the background to detect
// that the caller disconnects. If the gate's options say so, that read returns 0 bytes at
// once: the server calls Disconnected when it needs to know, which saves a blocked
// goroutine per request.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.gate.options.ChecksDisconnect && c.active.Load() && c.framing.state == inHead {
		return 0, nil
	}
	switch {
	case c.failure != nil:
		return 0, c.failure
	case len(p) == 1 && c.active.Load() && (c.doomed || c.rejection != nil && c.verifiedBytes == 0):
		// This is the read in the background, and an error would cancel the request in flight.
		return 0, nil
	case c.doomed:
		return 0, io.EOF
	}
	if c.verifiedBytes == 0 && len(c.buffer) == 0 && (c.framing.state == inBody || c.framing.state == inChunk) {
		return c.readContent(p[:min(int64(len(p)), c.framing.remaining)])
	}
	for c.verifiedBytes == 0 {
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.buffer[:c.verifiedBytes])
	c.verifiedBytes -= n
	c.buffer = c.buffer[:copy(c.buffer, c.buffer[n:])]
	return n, nil
}

// readContent reads content of a body without buffering it.
func (c *Conn) readContent(p []byte) (int, error) {
	c.updateReadDeadline()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.framing.content(p[:n])
		if c.framing.state == inHead {
			c.framing.completed++
		}
		if failure := c.receive(n, intake.Bytes(n)*intake.BodyByteCost); failure != nil {
			return 0, failure
		}
		return n, nil
	}
	return 0, c.readError(err)
}

// fill reads from the caller and verifies the received bytes.
func (c *Conn) fill() error {
	if c.rejection != nil {
		return net.ErrClosed
	}
	c.updateReadDeadline()
	used := len(c.buffer)
	if cap(c.buffer)-used < readChunkBytes/2 {
		c.buffer = append(make([]byte, 0, 2*cap(c.buffer)+readChunkBytes), c.buffer...)
	}
	n, err := c.Conn.Read(c.buffer[used:cap(c.buffer)])
	c.buffer = c.buffer[:used+n]
	if n == 0 {
		return c.readError(err)
	}
	cost := intake.Bytes(n) * intake.BodyByteCost
	if c.framing.state == inHead {
		lines := bytes.Count(c.buffer[used:], []byte("\n"))
		cost = intake.Bytes(n)*intake.HeadByteCost + intake.Bytes(lines)*intake.HeaderLineCost
		c.headCost += cost
	}
	verified, p := c.framing.advance(c.buffer[c.verifiedBytes:], c.gate.options.Limits().HeaderBytes)
	c.verifiedBytes += verified
	if c.framing.state == inHead && c.verifiedBytes == len(c.buffer) {
		// A request was received completely: restart the timer for the next one.
		c.waitSince = time.Time{}
	}
	if err := c.receive(n, cost); err != nil || p == nil || c.rejection != nil {
		return err
	}
	c.reject(p)
	return nil
}

// receive charges n bytes that have been read, and checks the rate of a body.
func (c *Conn) receive(n int, cost intake.Bytes) error {
	completed := c.framing.completed
	c.framing.completed = 0
	inside := c.framing.state != inHead
	inFlight, ok := c.gate.receive(c, intake.Receipt{
		Length: intake.Bytes(n), Cost: cost, Completed: completed, Unfinished: inside || c.verifiedBytes < len(c.buffer),
	})
	if !ok {
		return c.receivedTooMuch(inFlight, completed)
	}
	if !inside {
		c.bodySince, c.bodyBytes = time.Time{}, 0
		return nil
	}
	now := time.Now()
	if c.bodySince.IsZero() {
		c.bodySince = now
	}
	c.bodyBytes += int64(n)
	limits := c.gate.options.Limits()
	if took := now.Sub(c.bodySince); took > limits.RateGracePeriod && float64(c.bodyBytes) < took.Seconds()*limits.MinBodyRate {
		return c.fail(intake.SlowBody)
	}
	return nil
}

// receivedTooMuch decides what happens to bytes for which there is no room. inFlight is true
// if they belong to requests after the one in flight, completed the number of requests that
// they complete.
func (c *Conn) receivedTooMuch(inFlight bool, completed int) error {
	switch {
	case c.evicted.Load():
		return io.EOF // net/http answers other errors with a status
	case inFlight:
		// An error would cancel the request in flight.
		c.doomed = true
	case !c.active.Load():
		// Nothing of the request has been handed to net/http.
		c.gate.refused(c, intake.NoRoom)
		c.buffer, c.verifiedBytes, c.framing = c.buffer[:0], 0, framing{}
		c.reject(reject(http.StatusServiceUnavailable, "no memory for further requests"))
	case completed == 0:
		return c.fail(intake.NoRoom)
	}
	return nil
}

// fail ends all reads.
func (c *Conn) fail(reason intake.Reason) error {
	c.gate.refused(c, reason)
	c.failure = &Error{Reason: reason}
	return c.failure
}

// readError classifies an error of a read.
func (c *Conn) readError(err error) error {
	c.mu.Lock()
	byServer := !c.serverDeadline.IsZero()
	c.mu.Unlock()
	if !errors.Is(err, os.ErrDeadlineExceeded) || byServer {
		return err
	}
	switch {
	case c.framing.state != inHead:
		return c.fail(intake.BodyTimeout)
	case len(c.buffer) > 0:
		c.gate.refused(c, intake.HeadTimeout)
	default:
		c.gate.refused(c, intake.IdleTimeout)
	}
	return err
}

// reject replaces the invalid request by a placeholder, so that the server sends
// the response after the responses to all earlier requests. Nothing more is read from the
// connection.
func (c *Conn) reject(r *Rejection) {
	c.rejection = r
	c.buffer = append(c.buffer[:c.verifiedBytes], rejectedRequest...)
	c.verifiedBytes = len(c.buffer)
}

// updateReadDeadline sets the read deadline for the current phase: idle, head or body. It
// keeps a deadline that differs by less than a quarter of the limit.
func (c *Conn) updateReadDeadline() {
	now := time.Now()
	partial := len(c.buffer) > 0
	if c.waitSince.IsZero() || c.waitState != c.framing.state || c.partial != partial {
		c.waitState = c.framing.state
		c.partial = partial
		c.waitSince = now
	}
	limits := c.gate.options.Limits()
	limit, since := limits.IdleTimeout, c.waitSince
	switch {
	case c.framing.state != inHead && limits.BodyTimeout > 0:
		limit = limits.BodyTimeout
	case c.framing.state != inHead:
		limit, since = limits.StallTimeout, now
	case c.active.Load():
		// net/http waits for the caller to disconnect while the request is in flight.
		limit = 0
	case partial:
		limit = limits.HeaderTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.serverDeadline.IsZero() {
		return
	}
	deadline := since.Add(limit)
	if limit == 0 {
		if !c.phaseDeadline.IsZero() {
			c.phaseDeadline = time.Time{}
			_ = c.Conn.SetReadDeadline(time.Time{})
		}
		return
	}
	if deadline.Sub(c.phaseDeadline).Abs() < limit/4 && !c.phaseDeadline.IsZero() {
		return
	}
	c.phaseDeadline = deadline
	_ = c.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline is called by net/http to interrupt a pending read. Its
// deadline takes precedence over the connection's own.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() && c.serverDeadline.IsZero() {
		return nil
	}
	c.serverDeadline = t
	c.phaseDeadline = time.Time{}
	return c.Conn.SetReadDeadline(t)
}

// Write limits the time that a caller takes to read a response.
func (c *Conn) Write(p []byte) (int, error) {
	now := time.Now()
	if timeout := c.gate.options.Limits().WriteTimeout; timeout > 0 && c.writeDeadline.Sub(now) < timeout/2 {
		c.writeDeadline = now.Add(timeout)
		_ = c.Conn.SetWriteDeadline(c.writeDeadline)
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.gate.refused(c, intake.WriteTimeout)
	}
	return n, err
}

// Close closes the connection, so that the listener may accept another one.
func (c *Conn) Close() error {
	c.closed.Do(func() {
		c.gate.abandon(c)
		c.linger()
		c.gate.release(c)
	})
	return c.Conn.Close()
}

// linger reads and discards the rest of a body before the connection is closed.
// Closing with unread bytes would reset the connection, and a caller that is
// still sending would lose the response.
func (c *Conn) linger() {
	writeCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || c.framing.state == inHead || c.evicted.Load() || writeCloser.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
