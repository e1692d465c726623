package conn

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// maxHeadBytes limits the bytes of a request's head that are recorded.
const maxHeadBytes = 64 << 10

// HeadListener records the head (request line and headers) of the current request on
// each connection that it accepts. Requests that are chunked and have a
// Content-Length must be rejected, but net/http removes Content-Length from them, so
// they can be detected only in the raw head.
type HeadListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l HeadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: c}, nil
}

type headConn struct {
	net.Conn
	mu         sync.Mutex
	head       []byte
	isComplete bool
}

// Read reads from the connection and records the bytes up to the end of the head.
func (c *headConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isComplete || n == 0 {
		return n, err
	}
	c.head = append(c.head, b[:n]...)
	if end := bytes.Index(c.head, []byte("\r\n\r\n")); end >= 0 {
		c.head = c.head[:end]
		c.isComplete = true
	}
	c.isComplete = c.isComplete || len(c.head) > maxHeadBytes
	return n, err
}

// reset prepares for the head of the next request.
func (c *headConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = c.head[:0]
	c.isComplete = false
}

// mayHaveContentLength reports whether the head has a Content-Length. It also
// returns true if the request was pipelined, because its head was not recorded then.
func (c *headConn) mayHaveContentLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.head) == 0 {
		return true
	}
	return bytes.Contains(bytes.ToLower(c.head), []byte("\ncontent-length:"))
}

type headConnKey struct{}

// RecordHeads configures s so that requests give access to the heads that a
// HeadListener records.
func RecordHeads(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, headConnKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if h, ok := c.(*headConn); ok && state == http.StateIdle {
			h.reset()
		}
	}
}

// HasAmbiguousLength reports whether r is chunked and may have a Content-Length too.
func HasAmbiguousLength(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	c, ok := r.Context().Value(headConnKey{}).(*headConn)
	return ok && c.mayHaveContentLength()
}
