package conn

import (
	"net"
	"sync/atomic"
)

// Tracked counts the bytes written to and read from a connection.
type Tracked struct {
	net.Conn
	written atomic.Int64
	read    atomic.Int64
}

// Write writes to the connection and counts what was written.
func (t *Tracked) Write(b []byte) (int, error) {
	n, err := t.Conn.Write(b)
	t.written.Add(int64(n))
	return n, err
}

// Read reads from the connection and counts what was read.
func (t *Tracked) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	t.read.Add(int64(n))
	return n, err
}

// Use follows one request over the connections that it was given.
type Use struct {
	conn   atomic.Pointer[Tracked]
	before atomic.Int64
	heard  atomic.Int64
}

func (u *Use) start(c net.Conn) {
	t, ok := c.(*Tracked)
	if !ok {
		return
	}
	u.before.Store(t.written.Load())
	u.heard.Store(t.read.Load())
	u.conn.Store(t)
}

// Written reports whether any byte of the request may have left this side.
func (u *Use) Written() bool {
	t := u.conn.Load()
	return t != nil && t.written.Load() != u.before.Load()
}

// Heard reports whether any byte came back since the request began.
func (u *Use) Heard() bool {
	t := u.conn.Load()
	return t != nil && t.read.Load() != u.heard.Load()
}
