package conn

import (
	"net"
	"sync/atomic"
)

// CountingConn counts the bytes written to and read from a connection.
type CountingConn struct {
	*CheckedConn
	written atomic.Int64
	read    atomic.Int64
}

// Write implements net.Conn.
func (c *CountingConn) Write(b []byte) (int, error) {
	n, err := c.CheckedConn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Read implements net.Conn.
func (c *CountingConn) Read(b []byte) (int, error) {
	n, err := c.CheckedConn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// RequestTrace shows whether bytes of one request were written to, or read from, the
// connection that was last chosen for it.
type RequestTrace struct {
	conn          atomic.Pointer[CountingConn]
	writtenBefore atomic.Int64
	readBefore    atomic.Int64
}

// setConn starts the count on the connection that was chosen for the request.
func (t *RequestTrace) setConn(conn net.Conn) {
	c, ok := conn.(*CountingConn)
	if !ok {
		return
	}
	t.writtenBefore.Store(c.written.Load())
	t.readBefore.Store(c.read.Load())
	t.conn.Store(c)
}

// HasWritten reports whether any byte of the request may have been written.
func (t *RequestTrace) HasWritten() bool {
	c := t.conn.Load()
	return c != nil && c.written.Load() != t.writtenBefore.Load()
}

// HasReceived reports whether any byte was read since the connection was chosen.
func (t *RequestTrace) HasReceived() bool {
	c := t.conn.Load()
	return c != nil && c.read.Load() != t.readBefore.Load()
}
