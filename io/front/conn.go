package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// mostAhead bounds the requests of one connection that are read before the
	// first of them has been answered.
	mostAhead = 16
	// lingerTime is how long the caller's bytes are read after the last answer,
	// since a close with unread bytes would reset the connection.
	lingerTime = 700 * time.Millisecond
	// writeTimeout bounds the writing of one answer.
	writeTimeout = 20 * time.Second
)

// conn is one connection of a caller.
type conn struct {
	server *Server
	raw    net.Conn
	r      *bufio.Reader
	source *limitedSource
	ctx    context.Context
	cancel context.CancelFunc
	// turns holds the requests in the order in which they are answered.
	turns chan *turn

	mu      sync.Mutex
	pending int
	// idle tells that the reader waits for the first byte of a request.
	idle   bool
	closed bool
	// surplus tells that the connection is one too many: its request is refused.
	surplus bool
}

// turn is one request's place in the order of answers.
type turn struct {
	req *Request
	// last tells that no request behind it is served.
	last   bool
	answer chan *Response
	// prior is closed when the request before it has been answered and the
	// connection goes on; nil for the first.
	prior chan struct{}
	done  chan struct{}
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, turns: make(chan *turn, mostAhead)}
	c.source = &limitedSource{r: raw}
	c.r = bufio.NewReaderSize(c.source, readBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) serve() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	gone := c.read()
	if gone {
		c.cancel()
	}
	close(c.turns)
	<-written
	c.cancel()
	c.linger()
	c.server.forget(c)
}

// read reads requests until the connection ends, and reports whether the caller
// has gone.
func (c *conn) read() bool {
	var prior chan struct{}
	for {
		req, refusal, err := c.next()
		if err != nil {
			return isGone(err)
		}
		t := &turn{req: req, answer: make(chan *Response, 1), prior: prior, done: make(chan struct{})}
		prior = t.done
		if !c.begin() {
			c.server.release(req)
			return false
		}
		if refusal != nil {
			t.last = true
			t.answer <- refusal
			c.turns <- t
			return false
		}
		t.last = req.IsLast
		c.turns <- t
		go c.run(t)
		if t.last {
			c.awaitGone()
			return true
		}
	}
}

// awaitGone reads on behind the last request, to notice that its caller goes.
func (c *conn) awaitGone() {
	_ = c.raw.SetReadDeadline(time.Time{})
	c.source.free()
	_, _ = io.Copy(io.Discard, c.r)
}

func (c *conn) run(t *turn) {
	if t.prior != nil && !c.server.handler.IsIdempotent(t.req) {
		select {
		case <-t.prior:
		case <-c.ctx.Done():
			t.answer <- nil
			return
		}
	}
	t.answer <- c.server.handler.Handle(c.ctx, t.req)
}

// write writes the answers in the order of their requests. After one that ends
// the connection the others are dropped.
func (c *conn) write() {
	ended := false
	for t := range c.turns {
		if ended {
			go t.discard()
			c.end(t)
			continue
		}
		ended = !c.writeTurn(t)
		c.end(t)
		if ended {
			c.finish()
			continue
		}
		close(t.done)
	}
}

// writeTurn writes one answer and reports whether the connection goes on.
func (c *conn) writeTurn(t *turn) bool {
	var a *Response
	select {
	case a = <-t.answer:
	case <-c.ctx.Done():
		go t.discard()
		return false
	}
	if a == nil {
		return false
	}
	last := t.last || c.takeLast()
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeAnswer(c.raw, t.req, a, last); err != nil {
		a.discard()
		return false
	}
	if a.Stream != nil && c.writeRest(a) != nil {
		return false
	}
	return !last
}

// writeRest passes the rest of an answer on until it ends or the caller goes.
func (c *conn) writeRest(a *Response) error {
	stop := context.AfterFunc(c.ctx, a.Stream.Abort)
	_, err := io.Copy(newBodyWriter(c.raw, a), a.Stream)
	stop()
	closed := a.Stream.Close()
	if err == nil {
		err = closed
	}
	if err == nil {
		err = writeEnd(c.raw, a)
	}
	return err
}

// discard ends an answer that isn't written.
func (a *Response) discard() {
	if a.Stream == nil {
		return
	}
	a.Stream.Abort()
	_ = a.Stream.Close()
}

// discard awaits an answer that isn't written and ends it.
func (t *turn) discard() {
	if a := <-t.answer; a != nil {
		a.discard()
	}
}

// finish ends the sending side after the last answer.
func (c *conn) finish() {
	c.cancel()
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
}

func (c *conn) linger() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.raw)
	_ = c.raw.Close()
}

// begin counts a request, unless the connection has had its last one.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.server.inFlight.Add(1)
	c.pending++
	return true
}

// takeLast reports whether the request that is about to be answered is the last
// one, because the server leaves and no other has been read.
func (c *conn) takeLast() bool {
	if !c.server.leaving.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = c.closed || c.pending == 1
	return c.closed
}

func (c *conn) end(t *turn) {
	c.server.inFlight.Add(-1)
	c.server.release(t.req)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

func (c *conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// closeIfIdle wakes a reader that waits for a further request, so that it ends.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.pending > 0 || c.closed {
		return
	}
	c.closed = true
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
}
