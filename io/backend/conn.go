package backend

import (
	"bufio"
	"net"
	"time"

	"bronzestair/io/socket"
)

const (
	readBufferSize  = 4 << 10 // bytes
	writeBufferSize = 4 << 10 // bytes
)

// conn is a connection to a runner that counts the bytes written to it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// bytesWritten counts the bytes of the current request that the kernel accepted.
	bytesWritten int64
	idleSince    time.Time
	peeker       socket.Peeker
}

func newConn(c net.Conn) *conn {
	cn := &conn{Conn: c}
	cn.reader = bufio.NewReaderSize(c, readBufferSize)
	cn.writer = bufio.NewWriterSize(cn, writeBufferSize)
	cn.peeker = socket.NewPeeker(c)
	return cn
}

// Write implements io.Writer and counts the bytes that the kernel accepted.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten += int64(n)
	return n, err
}

// reusable reports whether an idle connection is open and has nothing to read, or its
// state cannot be determined. A connection that the runner closed, or on which it sent
// unsolicited bytes, cannot be reused.
func (c *conn) reusable() bool {
	return c.reader.Buffered() == 0 && c.peeker.Peek() == socket.Idle
}
