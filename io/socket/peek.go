// Package socket inspects the receive side of TCP connections without consuming
// data.
//
// # Usage
//
//	peeker := socket.NewPeeker(conn)
//	if peeker.Peek() == socket.Closed {
//		// the peer has closed the connection
//	}
package socket

import (
	"net"
	"syscall"
)

// ReadState is the state of the receive side of a connection.
type ReadState uint8

const (
	// Idle means that the connection is open with nothing to read, or that its
	// state cannot be determined.
	Idle ReadState = iota
	// Readable means that received bytes can be read.
	Readable
	// Closed means that the peer has closed or reset the connection.
	Closed
)

// Peeker inspects one connection. The zero value always reports Idle.
type Peeker struct {
	raw syscall.RawConn
}

// NewPeeker returns a Peeker for c. If c gives no access to its file descriptor,
// the Peeker always reports Idle.
func NewPeeker(c net.Conn) Peeker {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Peeker{}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Peeker{}
	}
	return Peeker{raw: raw}
}

// Peek returns the current state without blocking and without consuming bytes.
func (p Peeker) Peek() ReadState {
	if p.raw == nil {
		return Idle
	}
	condition := Closed
	err := p.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errno == syscall.EAGAIN || errno == syscall.EINTR:
			condition = Idle
		case errno == nil && n > 0:
			condition = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return condition
}
