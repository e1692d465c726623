package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"magnolialedge/io/limit"
)

const (
	readBufferBytes = 4 << 10
	// maxPipelined is the number of requests of one connection that may be queued
	// while the response to an earlier one has not been written.
	maxPipelined = 16
	// lingerTimeout is how long incoming bytes are discarded after the last
	// response, because closing a socket with unread bytes resets the
	// connection.
	lingerTimeout = 700 * time.Millisecond
	// closeGracePeriod is how long an idle connection that is to be closed still
	// accepts a request, because the caller may have sent one already.
	closeGracePeriod = 250 * time.Millisecond
	// writeTimeout limits each write of a response or of a part of its body.
	writeTimeout = 20 * time.Second
)

// conn is one connection from a caller.
type conn struct {
	server      *Server
	netConn     net.Conn
	r           *bufio.Reader
	headerLimit *limit.Reader
	ctx         context.Context
	cancel      context.CancelFunc
	// pipeline holds the requests that have been read, in the order in which
	// their responses are written.
	pipeline chan *exchange

	mu sync.Mutex
	// pending is the number of requests whose exchange has not ended, and undecided that of
	// those whose response may still announce the close.
	pending   int
	undecided int
	// isIdle is set while the connection waits for the first byte of a request.
	isIdle bool
	// isEnding is set when the connection closes after closeGracePeriod, or after
	// the responses to the requests that begin within it.
	isEnding bool
	// closed is set when no further request is accepted on the connection. The response to
	// the last one that was accepted announces the close.
	closed bool
	// hasEndedWrites is set when the last response has been written.
	hasEndedWrites bool
	// isOverLimit is set when the connection exceeds Config.MaxConns; its
	// requests are rejected.
	isOverLimit bool
}

// exchange is a request together with its response.
type exchange struct {
	req *Request
	// isLast is set when no later request on the connection is served.
	isLast   bool
	response chan *Response
	// prior is the done channel of the preceding request, or nil for the first.
	prior chan struct{}
	// done is closed when the response has been written, unless it ends the
	// connection.
	done chan struct{}
}

func newConn(s *Server, netConn net.Conn) *conn {
	c := &conn{server: s, netConn: netConn, pipeline: make(chan *exchange, maxPipelined)}
	c.headerLimit = limit.NewReader(netConn, errHeaderTooLarge)
	c.r = bufio.NewReaderSize(c.headerLimit, readBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve handles the connection until it is closed.
func (c *conn) serve() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeResponses()
	}()
	disconnected := c.readRequests()
	if disconnected {
		c.cancel()
	}
	close(c.pipeline)
	<-written
	c.cancel()
	c.linger()
	c.server.removeConn(c)
}

// readRequests reads requests and starts their handlers until the connection
// ends. It returns true if the caller disconnected.
func (c *conn) readRequests() bool {
	var prior chan struct{}
	for {
		req, rejection, err := c.readRequest()
		switch {
		case err != nil && c.isClosed():
			c.awaitDisconnect()
			return true
		case err != nil:
			return isDisconnect(err)
		}
		x := &exchange{req: req, response: make(chan *Response, 1), prior: prior, done: make(chan struct{})}
		prior = x.done
		if !c.beginRequest() {
			c.server.releaseBody(req)
			c.awaitDisconnect()
			return true
		}
		if rejection != nil {
			x.isLast = true
			x.response <- rejection
			c.pipeline <- x
			return false
		}
		x.isLast = req.IsLast
		c.pipeline <- x
		go c.handle(x)
		if x.isLast {
			c.awaitDisconnect()
			return true
		}
	}
}

// awaitDisconnect waits until the caller disconnects, or until lingerTimeout after the last
// response, and discards the bytes that the caller sends after its last request.
func (c *conn) awaitDisconnect() {
	c.mu.Lock()
	deadline := time.Time{}
	if c.hasEndedWrites {
		deadline = time.Now().Add(lingerTimeout)
	}
	_ = c.netConn.SetReadDeadline(deadline)
	c.mu.Unlock()
	c.headerLimit.ClearLimit()
	_, _ = io.Copy(io.Discard, c.r)
}

// handle passes a request to the handler. A request that is not idempotent first
// waits until the response to the preceding request of the connection has been
// written.
func (c *conn) handle(x *exchange) {
	if x.prior != nil && !c.server.handler.IsIdempotent(x.req) {
		select {
		case <-x.prior:
		case <-c.ctx.Done():
			x.response <- nil
			return
		}
	}
	x.response <- c.server.handler.Handle(c.ctx, x.req)
}

// writeResponses writes the responses in the order of their requests. Once a
// response ends the connection, it discards the later ones.
func (c *conn) writeResponses() {
	ended := false
	for x := range c.pipeline {
		if ended {
			go x.discard()
			c.endRequest(x)
			continue
		}
		ended = !c.writeExchange(x)
		c.endRequest(x)
		if ended {
			c.endWrites()
			continue
		}
		close(x.done)
	}
}

// writeExchange writes one response and reports whether the connection stays
// open.
func (c *conn) writeExchange(x *exchange) bool {
	var resp *Response
	select {
	case resp = <-x.response:
	case <-c.ctx.Done():
		go x.discard()
		return false
	}
	if resp == nil {
		return false
	}
	defer resp.release()
	isLast := x.isLast || c.closeAfterResponse()
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeResponse(c.netConn, x.req, resp, isLast); err != nil {
		resp.discard()
		return false
	}
	if resp.Stream != nil && c.writeStream(resp) != nil {
		return false
	}
	return !isLast
}

// writeStream copies the rest of a response body until it ends or the caller
// disconnects.
func (c *conn) writeStream(resp *Response) error {
	stop := context.AfterFunc(c.ctx, resp.Stream.Abort)
	_, err := io.Copy(newBodyWriter(c.netConn, resp), resp.Stream)
	stop()
	closeErr := resp.Stream.Close()
	if err == nil {
		err = closeErr
	}
	if err == nil {
		err = writeFinalChunk(c.netConn, resp)
	}
	return err
}

// discard aborts and closes the body of a response that is not written.
func (resp *Response) discard() {
	if resp.Stream == nil {
		return
	}
	resp.Stream.Abort()
	_ = resp.Stream.Close()
}

// discard waits for the response of an exchange that is not written, and
// discards it.
func (x *exchange) discard() {
	if resp := <-x.response; resp != nil {
		resp.discard()
		resp.release()
	}
}

// endWrites shuts down the sending side of the connection after the last
// response.
func (c *conn) endWrites() {
	c.cancel()
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasEndedWrites = true
	_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// linger discards incoming bytes for up to lingerTimeout and then closes the
// connection.
func (c *conn) linger() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.netConn)
	_ = c.netConn.Close()
}

// beginRequest counts a request as pending. It returns false if no further request
// is accepted on the connection.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.server.inFlight.Add(1)
	c.pending++
	c.undecided++
	return true
}

// closeAfterResponse reports whether the connection closes after the response that
// is about to be written, because no further request is accepted on it and none follows. While
// keep-alives are disabled, none is accepted once none follows. On a connection that is
// ending, none is accepted from this response on, because its caller may always have another one
// pending.
func (c *conn) closeAfterResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isLast := c.undecided == 1
	c.undecided--
	c.closed = c.closed || c.isEnding || (isLast && c.server.keepAlivesDisabled.Load())
	return c.closed && isLast
}

// endIfBusy makes the connection accept no further request if it has one whose response can
// announce the close, and reports whether it did.
func (c *conn) endIfBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.undecided == 0 {
		return false
	}
	c.closed = true
	return true
}

func (c *conn) endRequest(x *exchange) {
	c.server.inFlight.Add(-1)
	c.server.releaseBody(x.req)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle = idle
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

// closeIfIdle closes the connection after closeGracePeriod if it has no pending
// request and none begins in the meantime. The read deadline interrupts the read
// that waits for the next request.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle || c.pending > 0 || c.isEnding {
		return
	}
	c.isEnding = true
	_ = c.netConn.SetReadDeadline(time.Now().Add(closeGracePeriod))
}
