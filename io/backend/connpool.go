package backend

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// connPool holds the idle connections to one runner.
type connPool struct {
	address      netip.AddrPort
	dialer       net.Dialer
	maxIdleConns atomic.Int64
	maxIdleTime  time.Duration

	mu   sync.Mutex
	idle []*conn
	// closed is set when the runner is removed from the configuration or the client
	// is closed. From then on, connections are closed instead of kept.
	closed bool
}

// get returns an idle connection that is still reusable, or a new one.
func (p *connPool) get(ctx context.Context, deadline time.Time) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < p.maxIdleTime && c.reusable() {
			c.bytesWritten = 0
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func (p *connPool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// put returns a connection to the pool after its last response was read completely, or
// if nothing was sent on it since get returned it. It closes the connection if the pool
// is full or closed.
func (p *connPool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	// A closed pool counts as full.
	full := p.closed || int64(len(p.idle)) >= p.maxIdleConns.Load()
	if !full {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if full {
		c.Close()
	}
}

// closeAll closes all idle connections and the pool itself.
func (p *connPool) closeAll() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// closeStale closes the idle connections that get would not reuse.
func (p *connPool) closeStale() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	for _, c := range idle {
		if time.Since(c.idleSince) < p.maxIdleTime && c.reusable() {
			p.idle = append(p.idle, c)
		} else {
			c.Close()
		}
	}
	p.mu.Unlock()
}
