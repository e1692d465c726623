package conn

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// mostHead bounds the bytes of a request's head that are kept.
const mostHead = 64 << 10

// HeadListener keeps the head of the request that each of its connections is
// reading, because the HTTP library drops Content-Length from requests that are
// chunked too, and such requests are to be refused.
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
	mu   sync.Mutex
	head []byte
	full bool
}

// Read reads from the connection and keeps what belongs to a head.
func (c *headConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.full || n == 0 {
		return n, err
	}
	c.head = append(c.head, b[:n]...)
	if end := bytes.Index(c.head, []byte("\r\n\r\n")); end >= 0 {
		c.head = c.head[:end]
		c.full = true
	}
	c.full = c.full || len(c.head) > mostHead
	return n, err
}

func (c *headConn) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = c.head[:0]
	c.full = false
}

// hasLength reports whether the head carries a Content-Length, or isn't known
// because the request came behind another one without waiting.
func (c *headConn) hasLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.head) == 0 {
		return true
	}
	return bytes.Contains(bytes.ToLower(c.head), []byte("\ncontent-length:"))
}

type headKey struct{}

// RecordHeads makes s keep heads for the connections of a HeadListener.
func RecordHeads(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, headKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if h, ok := c.(*headConn); ok && state == http.StateIdle {
			h.restart()
		}
	}
}

// HasAmbiguousLength reports whether r states the end of its body in two ways.
func HasAmbiguousLength(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	c, ok := r.Context().Value(headKey{}).(*headConn)
	return ok && c.hasLength()
}
