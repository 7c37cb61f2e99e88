// Package backend sends requests to backend servers, also called runners, over HTTP/1.1.
//
// A connection carries one request at a time and is reused only after the
// complete response has been read. The client never retries a request. Every
// error says whether any byte of the request may have been sent.
//
// # Usage
//
//	client := backend.NewClient()
//	response, err := client.Send(ctx, backend.Attempt{Address: address, Request: req, Deadline: deadline})
//	if err != nil {
//		return backend.VerdictOf(err), err
//	}
//	defer response.Close()
package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"bronzestair/core/verdict"
)

const (
	defaultConnectTimeout   = 1 * time.Second
	defaultIdleTimeout      = 20 * time.Second
	defaultMaxIdleConns     = 9
	defaultMaxBufferedBytes = 64 << 10
	maxInterimResponses     = 8
)

// Attempt is a single attempt to send a request to a runner.
type Attempt struct {
	Address netip.AddrPort
	// MaxIdleConns limits the idle connections kept open to the address; 0 means the client's default.
	MaxIdleConns int
	// Request holds the request line and headers, with ContentLength set or -1
	// for chunked encoding. Its Body is ignored.
	Request *http.Request
	// Body is sent before the response is read, if Stream is nil.
	Body []byte
	// Stream, if not nil, is the request body, sent while the response is awaited.
	Stream io.Reader
	// StopStream unblocks a pending read of Stream.
	StopStream func()
	// Deadline is when the attempt times out.
	Deadline time.Time
	// NotAfter is the latest time at which the first byte may be sent; zero means no limit.
	NotAfter time.Time
}

// ServerResponse is the response of a runner.
type ServerResponse struct {
	Status int
	Header http.Header
	// Buffered is the body, or the first part of it if Complete is false.
	Buffered []byte
	// Complete reports whether the body has been read to the end that its
	// length or chunked encoding marks.
	Complete bool

	response *http.Response
	conn     *conn
	connPool *connPool
	upload   *upload
}

// Copy writes the rest of an incomplete body to w. A read error means that the
// response was truncated; a write error is returned unchanged.
func (r *ServerResponse) Copy(w io.Writer) error {
	if r.Complete {
		return nil
	}
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	_, err := io.CopyBuffer(writerOnly{w}, readerOnly{r.response.Body}, *buffer)
	if err != nil {
		return err
	}
	r.Complete = true
	return nil
}

// Close returns the connection to its pool if the request was sent and the response
// received completely, and closes it otherwise.
func (r *ServerResponse) Close() {
	if r.conn == nil {
		return
	}
	sent := r.upload.finished()
	if r.Complete && sent && !r.response.Close && r.conn.reader.Buffered() == 0 {
		r.connPool.put(r.conn)
	} else {
		r.conn.Close()
		r.upload.wait()
	}
	r.conn = nil
}

type writerOnly struct{ io.Writer }

type readerOnly struct{ io.Reader }

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, 32<<10)
	return &b
}}

// Client sends attempts over pooled connections. Use NewClient.
type Client struct {
	connectTimeout   time.Duration
	idleTimeout      time.Duration
	maxIdleConns     int
	maxBufferedBytes int

	mu    sync.RWMutex
	pools map[netip.AddrPort]*connPool
}

// Option configures a Client.
type Option func(*Client)

// WithConnectTimeout sets the timeout for opening a connection.
func WithConnectTimeout(d time.Duration) Option { return func(c *Client) { c.connectTimeout = d } }

// WithMaxIdleConns limits the idle connections kept open to each runner.
func WithMaxIdleConns(n int) Option { return func(c *Client) { c.maxIdleConns = n } }

// NewClient returns a client without open connections.
func NewClient(options ...Option) *Client {
	c := &Client{
		connectTimeout:   defaultConnectTimeout,
		idleTimeout:      defaultIdleTimeout,
		maxIdleConns:     defaultMaxIdleConns,
		maxBufferedBytes: defaultMaxBufferedBytes,
		pools:            map[netip.AddrPort]*connPool{},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Close closes the idle connections. Connections in use are closed when their
// request ends.
func (c *Client) Close() { c.Retain(nil) }

// Retain closes the idle connections to all addresses that are not in the set.
// Requests in flight to them run to completion.
func (c *Client) Retain(addresses map[netip.AddrPort]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if !addresses[address] {
			p.closeAll()
			delete(c.pools, address)
		}
	}
}

// CloseStale closes the idle connections that the runner has closed or that
// have been idle for longer than the idle timeout.
func (c *Client) CloseStale() {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range c.pools {
		p.closeStale()
	}
}

func (c *Client) connPool(address netip.AddrPort) *connPool {
	c.mu.RLock()
	p, ok := c.pools[address]
	c.mu.RUnlock()
	if ok {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[address]; ok {
		return p
	}
	p = &connPool{
		address:     address,
		dialer:      net.Dialer{Timeout: c.connectTimeout},
		maxIdleTime: c.idleTimeout,
	}
	p.maxIdleConns.Store(int64(c.maxIdleConns))
	c.pools[address] = p
	return p
}

// Send executes one attempt. It returns once the response headers and the body,
// up to the buffer limit, have been read. Every error is an *Error.
func (c *Client) Send(ctx context.Context, a Attempt) (*ServerResponse, error) {
	p := c.connPool(a.Address)
	if a.MaxIdleConns > 0 {
		p.maxIdleConns.Store(int64(a.MaxIdleConns))
	}
	cn, err := c.connect(ctx, p, a)
	if err != nil {
		return nil, newError(verdict.NotRun, err)
	}
	if !a.NotAfter.IsZero() && !time.Now().Before(a.NotAfter) {
		p.put(cn)
		return nil, NotStarted(merry.Errorf("slot lease expired at %v", a.NotAfter))
	}
	up, err := writeRequest(cn, a)
	if err != nil {
		return nil, abort(cn, up, err)
	}
	response, err := readResponse(cn, a.Request)
	if err != nil {
		return nil, abort(cn, up, err)
	}
	result := &ServerResponse{
		Status: response.StatusCode, Header: response.Header,
		response: response, conn: cn, connPool: p, upload: up,
	}
	if err := c.bufferBody(result); err != nil {
		return nil, abort(cn, up, err)
	}
	return result, nil
}

func (c *Client) connect(ctx context.Context, p *connPool, a Attempt) (*conn, error) {
	cn, err := p.get(ctx, a.Deadline)
	if err != nil {
		return nil, err
	}
	if err := cn.SetDeadline(a.Deadline); err != nil {
		cn.Close()
		return nil, err
	}
	return cn, nil
}

// readResponse reads the status line and headers of the final response,
// skipping interim (1xx) ones.
func readResponse(cn *conn, request *http.Request) (*http.Response, error) {
	for range maxInterimResponses {
		response, err := http.ReadResponse(cn.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, requireDelimitedBody(response)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, merry.New("backend server sent an unrequested 101 Switching Protocols")
		}
	}
	return nil, merry.Errorf("backend server sent %d interim responses without a final one", maxInterimResponses)
}

// requireDelimitedBody rejects a response whose body ends when the connection
// closes, because its end cannot be told from a truncation.
func requireDelimitedBody(response *http.Response) error {
	if response.Body == http.NoBody {
		return nil
	}
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength < 0 && !chunked {
		return merry.New("response has neither Content-Length nor chunked encoding, so truncation cannot be detected")
	}
	return nil
}

// bufferBody reads the body into memory, up to the buffer limit. A body with a
// Content-Length over the limit is not read at all.
func (c *Client) bufferBody(r *ServerResponse) error {
	if r.response.Body == http.NoBody {
		r.Complete = true
		return nil
	}
	length := r.response.ContentLength
	if length > int64(c.maxBufferedBytes) {
		return nil
	}
	if length >= 0 {
		r.Buffered = make([]byte, length)
		if _, err := io.ReadFull(r.response.Body, r.Buffered); err != nil {
			return err
		}
		r.Complete = true
		return nil
	}
	var buffer bytes.Buffer
	n, err := io.CopyN(&buffer, r.response.Body, int64(c.maxBufferedBytes))
	r.Buffered = buffer.Bytes()
	if err == io.EOF {
		r.Complete = true
		return nil
	}
	if err == nil && n == int64(c.maxBufferedBytes) {
		return nil
	}
	return err
}

// abort closes the connection, waits for the upload to stop and returns the
// error of the attempt. The verdict is MayHaveRun once any byte was written.
func abort(cn *conn, up *upload, err error) error {
	cn.Close()
	up.wait()
	v := verdict.NotRun
	if cn.bytesWritten > 0 {
		v = verdict.MayHaveRun
	}
	return newError(v, err)
}
