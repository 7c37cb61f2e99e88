package main

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// gate is open or closed. A partition closes the gates of the machines that it cuts off.
type gate struct {
	mu     sync.Mutex
	closed bool
	// opened is closed when the gate opens again.
	opened chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed, g.opened = true, make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		g.closed = false
		close(g.opened)
	}
}

// state reports whether the gate is closed, and the channel that its opening closes.
func (g *gate) state() (bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed, g.opened
}

// path is a proxy between two places. While one of its gates is closed it behaves as a link that
// loses all packets: bytes are held up, and delivered once the gates are open, unless their
// sender has reset the connection meanwhile. Connections opened meanwhile never deliver anything.
type path struct {
	address, target string
	gates           []*gate
	// held, if set, is called with bytes that are delivered after they were held up.
	held func([]byte)

	mu       sync.Mutex
	listener net.Listener
}

// await waits until all gates are open, and reports whether one was closed.
func (p *path) await() (waited bool) {
	for _, g := range p.gates {
		for {
			closed, opened := g.state()
			if !closed {
				break
			}
			waited = true
			<-opened
		}
	}
	return waited
}

func (p *path) cut() bool {
	for _, g := range p.gates {
		if closed, _ := g.state(); closed {
			return true
		}
	}
	return false
}

func (p *path) listen() error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener, p.address = listener, listener.Addr().String()
	p.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(conn.(*net.TCPConn))
		}
	}()
	return nil
}

func (p *path) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

func (p *path) pass(conn *net.TCPConn) {
	if p.cut() {
		p.await() // the handshake was lost as well
		_ = conn.SetLinger(0)
		_ = conn.Close()
		return
	}
	dialled, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.SetLinger(0)
		_ = conn.Close()
		return
	}
	target := dialled.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { p.forward(target, conn) })
	both.Go(func() { p.forward(conn, target) })
	both.Wait()
	_ = conn.Close()
	_ = target.Close()
}

// forward passes bytes, the end of the stream and resets on.
func (p *path) forward(to, from *net.TCPConn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		waited := p.await()
		if waited && err == nil && wasReset(from) {
			err = syscall.ECONNRESET
		}
		if errors.Is(err, syscall.ECONNRESET) {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
		if n > 0 {
			if waited && p.held != nil {
				p.held(buffer[:n])
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// wasReset reports whether the peer has reset the connection.
func wasReset(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reset = errno == syscall.ECONNRESET
	})
	return reset
}
