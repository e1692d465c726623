package front

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
)

const (
	// defaultIdleTimeout, defaultHeaderTimeout and defaultHeaderBytes hold
	// while no configuration states others.
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderTimeout = 5 * time.Second
	defaultHeaderBytes   = 64 << 10
	// bodyIdleTimeout is how long a request's body may make no progress.
	bodyIdleTimeout = 10 * time.Second
	// mostBody bounds a body when no configuration states a bound, and in any
	// case what is kept of one, in bytes.
	mostBody = 64 << 20
)

// errClosing tells that the connection ends without a further request.
var errClosing = errors.New("the connection ends")

// errHeadTooLarge tells that a head passed the limit.
var errHeadTooLarge = errors.New("the request's head is too large")

// isGone reports whether err means that the caller has gone, rather than that
// this side ends the connection.
func isGone(err error) bool {
	return !errors.Is(err, errClosing)
}

// next reads one request. A refusal is returned for one that can't be served.
func (c *conn) next() (*Request, *Response, error) {
	limits := c.server.handler.Limits()
	c.source.free()
	if err := c.awaitFirstByte(limits); err != nil {
		return nil, nil, err
	}
	head, err := c.readHead(limits)
	if err != nil {
		refusal := c.refuseHead(err)
		if refusal == nil {
			return nil, nil, err
		}
		return nil, refusal, nil
	}
	req := newRequest(head, c.raw)
	if c.surplus {
		return req, c.server.handler.Reject(magnolialedge.KindOverloaded, "too many connections are open"), nil
	}
	body, refusal, err := c.readBody(head, limits)
	if err != nil || refusal != nil {
		return req, refusal, err
	}
	req.Body = body
	return req, nil, nil
}

// awaitFirstByte waits for a request to begin. While answers are due the idle
// timeout doesn't run.
func (c *conn) awaitFirstByte(limits magnolialedge.RequestLimits) error {
	if c.r.Buffered() > 0 {
		return nil
	}
	idle := limits.IdleTimeout()
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	for {
		if c.isClosed() {
			return errClosing
		}
		_ = c.raw.SetReadDeadline(time.Now().Add(idle))
		c.setIdle(true)
		_, err := c.r.Peek(1)
		c.setIdle(false)
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if !c.hasPending() {
			return errClosing
		}
	}
}

func (c *conn) readHead(limits magnolialedge.RequestLimits) (*http.Request, error) {
	timeout := limits.HeaderTimeout()
	if timeout <= 0 {
		timeout = defaultHeaderTimeout
	}
	most := limits.MaxHeaderBytes
	if most <= 0 {
		most = defaultHeaderBytes
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(timeout))
	c.source.limit(int64(most))
	return http.ReadRequest(c.r)
}

// refuseHead returns the answer to a head that could not be read, or nil when
// there is nobody to answer.
func (c *conn) refuseHead(err error) *Response {
	h := c.server.handler
	switch {
	case errors.Is(err, errHeadTooLarge):
		return h.Reject(magnolialedge.KindHeaderTooLarge, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return h.Reject(magnolialedge.KindRequestTimeout, "the request's head did not come in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return nil
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return nil
	}
	return h.Reject(magnolialedge.KindBadRequest, "the request's head is malformed")
}

func newRequest(head *http.Request, raw net.Conn) *Request {
	target := head.RequestURI
	if !strings.HasPrefix(target, "/") && head.URL.Host != "" {
		target = head.URL.RequestURI()
	}
	return &Request{
		Method:     head.Method,
		Target:     target,
		Path:       head.URL.EscapedPath(),
		Host:       head.Host,
		Header:     head.Header,
		HasBody:    head.ContentLength != 0,
		IsLast:     head.Close,
		Arrived:    time.Now(),
		RemoteAddr: raw.RemoteAddr().String(),
	}
}

// readBody reads a whole body, in parts that must each make progress.
func (c *conn) readBody(head *http.Request, limits magnolialedge.RequestLimits) ([]byte, *Response, error) {
	c.source.free()
	_ = c.raw.SetReadDeadline(time.Time{})
	if head.ContentLength == 0 {
		return nil, nil, nil
	}
	most := limits.MaxBodyBytes
	if most <= 0 || most > mostBody {
		most = mostBody
	}
	if head.ContentLength > most {
		return nil, c.server.handler.Reject(magnolialedge.KindBodyTooLarge, "the request's body is too large"), nil
	}
	if strings.EqualFold(head.Header.Get("Expect"), "100-continue") && !c.hasPending() {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, err
		}
	}
	return c.readParts(head.Body, most)
}

func (c *conn) readParts(from io.Reader, most int64) ([]byte, *Response, error) {
	r := &bodyReader{c: c, r: io.LimitReader(from, most+1)}
	body, err := io.ReadAll(r)
	refuse := c.server.handler.Reject
	switch {
	case errors.Is(err, errMemory):
		c.server.bodies.give(r.held)
		return nil, refuse(magnolialedge.KindOverloaded, err.Error()), nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.server.bodies.give(r.held)
		return nil, refuse(magnolialedge.KindRequestTimeout, "the request's body made no progress"), nil
	case err != nil:
		c.server.bodies.give(r.held)
		return nil, nil, err
	case int64(len(body)) > most:
		c.server.bodies.give(r.held)
		return nil, refuse(magnolialedge.KindBodyTooLarge, "the request's body is too large"), nil
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	return body, nil, nil
}

// errMemory tells that the bodies in progress take all memory that is left to
// them.
var errMemory = errors.New("the bodies of other requests take all memory for bodies")

// bodyReader gives each part of a body its own time, and counts its memory.
type bodyReader struct {
	c    *conn
	r    io.Reader
	held int64
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	_ = b.c.raw.SetReadDeadline(time.Now().Add(bodyIdleTimeout))
	n, err := b.r.Read(p)
	if !b.c.server.bodies.take(int64(n)) {
		return n, errMemory
	}
	b.held += int64(n)
	return n, err
}

// limitedSource bounds the bytes that a head may take from the connection.
type limitedSource struct {
	r io.Reader
	// left is negative while there is no bound.
	left int64
}

func (s *limitedSource) limit(n int64) { s.left = n }
func (s *limitedSource) free()         { s.left = -1 }

// Read implements io.Reader.
func (s *limitedSource) Read(b []byte) (int, error) {
	if s.left < 0 {
		return s.r.Read(b)
	}
	if s.left == 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(b)) > s.left {
		b = b[:s.left]
	}
	n, err := s.r.Read(b)
	s.left -= int64(n)
	return n, err
}
