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
	// The default limits apply if the configuration sets none.
	defaultIdleTimeout    = 30 * time.Second
	defaultHeaderTimeout  = 5 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	// bodyIdleTimeout limits the time without progress while a body is read.
	bodyIdleTimeout = 10 * time.Second
	// maxBodyBytes limits every body, also if the configuration sets no limit or a
	// higher one.
	maxBodyBytes = 64 << 20
)

// errConnClosing means that this side closes the connection instead of reading a
// further request.
var errConnClosing = errors.New("the connection is closing")

// errHeaderTooLarge means that a request header exceeds the limit.
var errHeaderTooLarge = errors.New("the request header exceeds the size limit")

// isDisconnect reports whether err means that the caller disconnected, as
// opposed to this side closing the connection.
func isDisconnect(err error) bool {
	return !errors.Is(err, errConnClosing)
}

// readRequest reads one request. For a request that cannot be served it returns
// the response that rejects it.
func (c *conn) readRequest() (*Request, *Response, error) {
	limits := c.server.handler.Limits()
	c.headerLimit.ClearLimit()
	if err := c.awaitFirstByte(limits); err != nil {
		return nil, nil, err
	}
	httpReq, err := c.readHeader(limits)
	if err != nil {
		rejection := c.rejectHeader(err)
		if rejection == nil {
			return nil, nil, err
		}
		return nil, rejection, nil
	}
	req := newRequest(httpReq, c.netConn)
	if c.isOverLimit {
		return req, c.server.handler.Reject(magnolialedge.KindOverloaded, "the connection limit is exceeded"), nil
	}
	if req.HasBody {
		if rejection := c.server.handler.RejectEarly(req); rejection != nil {
			return req, rejection, nil
		}
	}
	body, rejection, err := c.readBody(httpReq, limits)
	if err != nil || rejection != nil {
		return req, rejection, err
	}
	req.Body = body
	return req, nil, nil
}

// awaitFirstByte waits for a request to begin. The idle timeout does not apply
// while requests are pending. It returns errConnClosing when the timeout
// expires or the connection was closed on this side.
func (c *conn) awaitFirstByte(limits magnolialedge.RequestLimits) error {
	if c.r.Buffered() > 0 {
		return nil
	}
	idleTimeout := limits.IdleTimeout()
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	for {
		if c.isClosed() {
			return errConnClosing
		}
		_ = c.netConn.SetReadDeadline(time.Now().Add(idleTimeout))
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
			return errConnClosing
		}
	}
}

// readHeader reads a request line and header within the configured time and
// size.
func (c *conn) readHeader(limits magnolialedge.RequestLimits) (*http.Request, error) {
	timeout := limits.HeaderTimeout()
	if timeout <= 0 {
		timeout = defaultHeaderTimeout
	}
	maxBytes := limits.MaxHeaderBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxHeaderBytes
	}
	_ = c.netConn.SetReadDeadline(time.Now().Add(timeout))
	c.headerLimit.SetLimit(int64(maxBytes))
	return http.ReadRequest(c.r)
}

// rejectHeader returns the response to a request header that could not be read,
// or nil if the caller disconnected.
func (c *conn) rejectHeader(err error) *Response {
	h := c.server.handler
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return h.Reject(magnolialedge.KindHeaderTooLarge, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return h.Reject(magnolialedge.KindRequestTimeout, "the request header was not received in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return nil
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) {
		return nil
	}
	return h.Reject(magnolialedge.KindBadRequest, "the request header is malformed")
}

func newRequest(httpReq *http.Request, netConn net.Conn) *Request {
	target := httpReq.RequestURI
	if !strings.HasPrefix(target, "/") && httpReq.URL.Host != "" {
		target = httpReq.URL.RequestURI()
	}
	return &Request{
		Method:     httpReq.Method,
		Target:     target,
		Path:       httpReq.URL.EscapedPath(),
		Host:       httpReq.Host,
		Header:     httpReq.Header,
		HasBody:    httpReq.ContentLength != 0,
		IsLast:     httpReq.Close,
		Arrived:    time.Now(),
		RemoteAddr: netConn.RemoteAddr().String(),
	}
}

// readBody reads a whole body. It returns the response that rejects the request if
// the body exceeds the size limit or the memory for bodies, or makes no progress for
// bodyIdleTimeout.
func (c *conn) readBody(httpReq *http.Request, limits magnolialedge.RequestLimits) ([]byte, *Response, error) {
	c.headerLimit.ClearLimit()
	_ = c.netConn.SetReadDeadline(time.Time{})
	if httpReq.ContentLength == 0 {
		return nil, nil, nil
	}
	maxBytes := limits.MaxBodyBytes
	if maxBytes <= 0 || maxBytes > maxBodyBytes {
		maxBytes = maxBodyBytes
	}
	if httpReq.ContentLength > maxBytes {
		return nil, c.server.handler.Reject(magnolialedge.KindBodyTooLarge, "the request body exceeds the size limit"), nil
	}
	if strings.EqualFold(httpReq.Header.Get("Expect"), "100-continue") && !c.hasPending() {
		if _, err := io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, err
		}
	}
	return c.readBodyParts(httpReq.Body, maxBytes)
}

// readBodyParts reads a body of up to maxBytes. If it does not return the body, it
// releases the memory reserved for it.
func (c *conn) readBodyParts(src io.Reader, maxBytes int64) ([]byte, *Response, error) {
	r := &bodyReader{c: c, r: io.LimitReader(src, maxBytes+1)}
	body, err := io.ReadAll(r)
	reject := c.server.handler.Reject
	switch {
	case errors.Is(err, errBodyMemoryExceeded):
		c.server.bodyMemory.Release(r.heldBytes)
		return nil, reject(magnolialedge.KindOverloaded, err.Error()), nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.server.bodyMemory.Release(r.heldBytes)
		return nil, reject(magnolialedge.KindRequestTimeout, "no data of the request body was received in time"), nil
	case err != nil:
		c.server.bodyMemory.Release(r.heldBytes)
		return nil, nil, err
	case int64(len(body)) > maxBytes:
		c.server.bodyMemory.Release(r.heldBytes)
		return nil, reject(magnolialedge.KindBodyTooLarge, "the request body exceeds the size limit"), nil
	}
	_ = c.netConn.SetReadDeadline(time.Time{})
	return body, nil, nil
}

// errBodyMemoryExceeded means that the bodies of requests in progress use all
// of the memory reserved for bodies.
var errBodyMemoryExceeded = errors.New("request bodies in progress use all memory reserved for bodies")

// bodyReader renews the read deadline before each read, and reserves memory for the
// bytes that it has read. It fails once the connection accepts no further request.
type bodyReader struct {
	c         *conn
	r         io.Reader
	heldBytes int64
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.c.isClosed() {
		return 0, errConnClosing
	}
	_ = b.c.netConn.SetReadDeadline(time.Now().Add(bodyIdleTimeout))
	n, err := b.r.Read(p)
	if !b.c.server.bodyMemory.Reserve(int64(n)) {
		return n, errBodyMemoryExceeded
	}
	b.heldBytes += int64(n)
	return n, err
}
