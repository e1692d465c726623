package conn

import (
	"net"
	"sync/atomic"
)

// CountingConn counts the bytes written to and read from a connection.
type CountingConn struct {
	net.Conn
	written atomic.Int64
	read    atomic.Int64
}

// Write writes to the connection and counts what was written.
func (t *CountingConn) Write(b []byte) (int, error) {
	n, err := t.Conn.Write(b)
	t.written.Add(int64(n))
	return n, err
}

// Read reads from the connection and counts what was read.
func (t *CountingConn) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	t.read.Add(int64(n))
	return n, err
}

// RequestTrace follows one request over the connections that it was given.
type RequestTrace struct {
	conn   atomic.Pointer[CountingConn]
	before atomic.Int64
	heard  atomic.Int64
}

func (u *RequestTrace) start(c net.Conn) {
	t, ok := c.(*CountingConn)
	if !ok {
		return
	}
	u.before.Store(t.written.Load())
	u.heard.Store(t.read.Load())
	u.conn.Store(t)
}

// HasWritten reports whether any byte of the request may have left this side.
func (u *RequestTrace) HasWritten() bool {
	t := u.conn.Load()
	return t != nil && t.written.Load() != u.before.Load()
}

// HasReceived reports whether any byte came back since the request began.
func (u *RequestTrace) HasReceived() bool {
	t := u.conn.Load()
	return t != nil && t.read.Load() != u.heard.Load()
}
