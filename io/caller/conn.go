package caller

import (
	"net"
	"sync"
	"syscall"
)

// limitedConn is a connection that counts towards the limit of its listener.
type limitedConn struct {
	*net.TCPConn
	closed sync.Once
	// release lets the listener accept another connection.
	release func()
}

// Close closes the connection, so that the listener may accept another one.
func (c *limitedConn) Close() error {
	c.closed.Do(c.release)
	return c.TCPConn.Close()
}

// listener limits how many connections are open.
type listener struct {
	net.Listener
	semaphore chan struct{}
}

// newListener returns a listener that accepts connections of l while fewer than limit are
// open.
func newListener(l net.Listener, limit int) *listener {
	return &listener{Listener: l, semaphore: make(chan struct{}, limit)}
}

// Accept implements net.Listener. Beyond the limit, new connections wait in the
// listen backlog.
func (l *listener) Accept() (net.Conn, error) {
	l.semaphore <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.semaphore
		return nil, err
	}
	release := func() { <-l.semaphore }
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return &limitedOther{Conn: c, release: release}, nil
	}
	return &limitedConn{TCPConn: tcp, release: release}, nil
}

// limitedOther is a limitedConn without the methods of a TCP connection.
type limitedOther struct {
	net.Conn
	closed  sync.Once
	release func()
}

// Close closes the connection, so that the listener may accept another one.
func (c *limitedOther) Close() error {
	c.closed.Do(c.release)
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn, so that options of the listener can be set.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	if c, ok := l.Listener.(syscall.Conn); ok {
		return c.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}
