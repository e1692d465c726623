package link

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/io/conn"
	"magnolialedge/io/limit"
)

const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// firstBodyBytes is the part of a response body that is buffered without a reservation.
	firstBodyBytes = 4 << 10
	// maxUnusedBodyBytes limits the body of a response that is not passed on. An
	// upstream may send bytes without end, and many requests may wait for it.
	maxUnusedBodyBytes = 64 << 10
	// maxForeignResponses limits the number of responses to other requests that
	// are skipped before RoundTrip fails.
	maxForeignResponses = 3
	// maxRefusedRequests limits the requests that may be refused on a connection before it
	// is closed.
	maxRefusedRequests = 64
	// maxCoalescedBodyBytes is the largest request body that is sent in the same
	// write as the request head.
	maxCoalescedBodyBytes = 8 << 10
)

// Errors of RoundTrip and CheckHealth.
var (
	errForeignResponse   = errors.New("upstream sent no response to this request, only to others")
	errResponseTooLarge  = errors.New("upstream response body exceeds the size limit")
	errNotHealthResponse = errors.New("upstream sent a response that does not belong to a health check")
	// ErrWrongInstance is returned when the address now belongs to another
	// upstream.
	ErrWrongInstance = errors.New("address belongs to another upstream")
)

// Conn is a connection to an upstream. It carries one request at a time.
type Conn struct {
	// Upstream is the registration that the connection was opened for.
	Upstream magnolialedge.Registration
	// DialTime is how long it took to open the connection.
	DialTime time.Duration

	netConn      *conn.CheckedConn
	reader       *bufio.Reader
	headers      magnolialedge.HeaderProtocol
	idleTimeout  time.Duration
	idleDeadline time.Time
	// broken is set when the connection cannot be used again.
	broken   bool
	openedAt time.Time
	// lastResponseAt is when the upstream last completed a response on the
	// connection.
	lastResponseAt time.Time
	// deadline is the deadline of the request in progress.
	deadline time.Time
	// refused holds the ids of the requests that the upstream refused on the connection.
	refused []string
}

func newConn(netConn net.Conn, upstream magnolialedge.Registration, headers magnolialedge.HeaderProtocol, dialTime time.Duration) *Conn {
	checked := conn.NewCheckedConn(netConn)
	now := time.Now()
	return &Conn{
		Upstream:       upstream,
		DialTime:       dialTime,
		netConn:        checked,
		reader:         bufio.NewReaderSize(checked, readBufferBytes),
		headers:        headers,
		idleTimeout:    defaultIdleTimeout,
		openedAt:       now,
		lastResponseAt: now,
	}
}

// Close closes the connection, which cannot be used again.
func (c *Conn) Close() {
	c.broken = true
	_ = c.netConn.Close()
}

// LastResponseAt returns when the upstream last completed a response on the
// connection, or when the connection was opened.
func (c *Conn) LastResponseAt() time.Time {
	return c.lastResponseAt
}

// OpenedAt returns when the connection was opened.
func (c *Conn) OpenedAt() time.Time {
	return c.openedAt
}

// HasRefused reports whether the upstream refused a request on the connection. The request
// must not use it again: a second copy of that refusal could not be told from the response.
func (c *Conn) HasRefused(requestID string) bool {
	return slices.Contains(c.refused, requestID)
}

func (c *Conn) isReusable() bool {
	return !c.broken && c.reader.Buffered() == 0
}

// closeOnCancel closes the connection when ctx ends. The returned function stops
// this and reports whether ctx had already ended.
func (c *Conn) closeOnCancel(ctx context.Context) func() bool {
	stop := context.AfterFunc(ctx, func() { _ = c.netConn.Close() })
	return func() bool {
		if stop() {
			return false
		}
		c.broken = true
		return true
	}
}

// CheckHealth requests the health path and returns what the upstream reports. A
// complete response proves that the upstream is alive, whatever its status. The error
// is ErrWrongInstance if the response names another instance.
func (c *Conn) CheckHealth(ctx context.Context, host, path string) (Report, error) {
	defer c.closeOnCancel(ctx)()
	head := "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + c.headers.ExpectedInstance + ": " + c.Upstream.ID + "\r\n\r\n"
	if _, err := io.WriteString(c.netConn, head); err != nil {
		c.broken = true
		return Report{}, err
	}
	resp, err := c.readHead(http.MethodGet)
	if err != nil {
		return Report{}, err
	}
	if err := c.skipBody(resp); err != nil {
		return Report{}, err
	}
	if resp.Header.Get(c.headers.RequestID) != "" {
		c.broken = true
		return Report{}, errNotHealthResponse
	}
	if id := resp.Header.Get(c.headers.Instance); id != "" && id != c.Upstream.ID {
		c.broken = true
		return Report{}, ErrWrongInstance
	}
	return c.newHealthReport(resp), nil
}

// Request is a request to an upstream.
type Request struct {
	ID     string
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body is the complete body. HasBody distinguishes an empty body from no
	// body.
	Body    []byte
	HasBody bool
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Memory is what the request may hold of its response. It may be nil.
	Memory *limit.Share
}

// Response is an upstream's response.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body, or its first part if Stream is not nil.
	Body   []byte
	Stream *BodyStream
	// Length is the body length that the response declares, or -1.
	Length int64
	Report
	IsSigned bool
	// NotRun is set when the upstream states that it did not run the request.
	NotRun bool
}

// Sent describes how much of a request was sent, for a RoundTrip that failed.
type Sent struct {
	// Written is set if some bytes of the request may have been sent.
	Written bool
}

// IsInvalid reports whether the response must not be passed on as a success: it
// has a content encoding, or it reports success without a signature. A response
// with NotRun set is never invalid.
func (r *Response) IsInvalid() bool {
	success := r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
	encoded := r.Header.Get("Content-Encoding") != ""
	return !r.NotRun && (encoded || (success && !r.IsSigned))
}

// IsServerError reports whether the response has a 5xx status.
func (r *Response) IsServerError() bool {
	return r.Status >= http.StatusInternalServerError
}

// RoundTrip sends a request and reads its response. A long body is read up to
// maxBufferedBodyBytes, or as far as Request.Memory permits; the remainder is available as
// Stream and is not affected by the end of ctx. The body of a rejection or of an invalid response
// is skipped, and responses to other requests are, too.
func (c *Conn) RoundTrip(ctx context.Context, req *Request) (*Response, Sent, error) {
	defer c.closeOnCancel(ctx)()
	c.deadline = time.Now().Add(req.TimeLeft)
	head := c.requestHead(req)
	if len(req.Body) <= maxCoalescedBodyBytes {
		n, err := c.netConn.Write(append(head, req.Body...))
		if err != nil {
			c.broken = true
			return nil, Sent{Written: n > 0}, err
		}
		resp, err := c.readResponse(req)
		return resp, Sent{Written: true}, err
	}
	return c.roundTripLarge(head, req)
}

// roundTripLarge reads the response while the body is still being written,
// because an upstream may respond early. If the write has not finished by then,
// the connection is not used again.
func (c *Conn) roundTripLarge(head []byte, req *Request) (*Response, Sent, error) {
	writeErr := make(chan error, 1)
	go func() {
		writeErr <- c.netConn.WriteBuffers(net.Buffers{head, req.Body})
	}()
	resp, err := c.readResponse(req)
	select {
	case werr := <-writeErr:
		c.broken = c.broken || werr != nil
	default:
		c.broken = true
		_ = c.netConn.SetWriteDeadline(time.Unix(1, 0))
		<-writeErr
	}
	return resp, Sent{Written: true}, err
}

func (c *Conn) requestHead(req *Request) []byte {
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	for name, values := range req.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	b.WriteString(c.headers.RequestID + ": " + req.ID + "\r\n")
	b.WriteString(c.headers.ExpectedInstance + ": " + c.Upstream.ID + "\r\n")
	b.WriteString(c.headers.Deadline + ": " + strconv.FormatInt(max(1, req.TimeLeft.Milliseconds()), 10) + "\r\n")
	if req.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads responses until one carries the request's id.
func (c *Conn) readResponse(req *Request) (*Response, error) {
	for range maxForeignResponses {
		resp, err := c.readHead(req.Method)
		if err != nil {
			return nil, err
		}
		if resp.Header.Get(c.headers.RequestID) == req.ID {
			r, err := c.newResponseWithBody(resp, req.Memory)
			c.recordRefusal(req.ID, r)
			return r, err
		}
		if err := c.skipBody(resp); err != nil {
			return nil, err
		}
		c.broken = true
		if resp.Header.Get(c.headers.RequestID) == "" {
			return nil, errForeignResponse
		}
	}
	return nil, errForeignResponse
}

// recordRefusal remembers a request that the upstream says it did not run.
func (c *Conn) recordRefusal(requestID string, r *Response) {
	if r == nil || !r.NotRun {
		return
	}
	c.refused = append(c.refused, requestID)
	c.broken = c.broken || len(c.refused) >= maxRefusedRequests
}

// newResponseWithBody reads the body of the request's own response. It streams a
// long body only if the response can be passed on unchanged.
func (c *Conn) newResponseWithBody(resp *http.Response, memory *limit.Share) (*Response, error) {
	r := c.newResponse(resp)
	if r.NotRun || r.IsInvalid() {
		return r, c.skipBody(resp)
	}
	body, isComplete, err := readStart(resp, memory)
	if err != nil {
		c.broken = true
		return nil, err
	}
	r.Body = body
	if !isComplete {
		r.Stream = newBodyStream(c, resp)
		return r, nil
	}
	c.responseEnded(resp)
	return r, nil
}

// readStart reads a body until it ends, up to maxBufferedBodyBytes, and as far as memory permits.
// It reports whether the body is complete. The buffer grows only by what has been reserved.
func readStart(resp *http.Response, memory *limit.Share) (body []byte, isComplete bool, err error) {
	size := int64(firstBodyBytes)
	if resp.ContentLength >= 0 {
		// One byte more lets the end be read without a larger buffer.
		size = min(size, resp.ContentLength+1)
	}
	body = make([]byte, 0, size)
	for {
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		if len(body) < cap(body) {
			continue
		}
		grown := min(2*cap(body), maxBufferedBodyBytes)
		if grown == cap(body) || !memory.Reserve(int64(grown)) {
			return body, false, nil
		}
		body = append(make([]byte, 0, grown), body...)
	}
}

func (c *Conn) newResponse(resp *http.Response) *Response {
	return &Response{
		Status:   resp.StatusCode,
		Header:   resp.Header,
		Length:   resp.ContentLength,
		Report:   c.newReport(resp),
		IsSigned: resp.Header.Get(c.headers.Signature) != "",
		NotRun:   resp.Header.Get(c.headers.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest,
	}
}

// readHead reads the head of a final response and skips informational ones.
func (c *Conn) readHead(method string) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.netConn.ExpectResponse(buffered); err != nil {
		c.broken = true
		return nil, err
	}
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			c.broken = true
			return nil, cmp.Or(c.netConn.HeadErr(), err)
		}
		if resp.StatusCode >= http.StatusOK {
			c.netConn.CheckTrailer(resp)
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			c.broken = true
			return nil, errNotHealthResponse
		}
	}
}

// skipBody discards a body of at most maxUnusedBodyBytes.
func (c *Conn) skipBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnusedBodyBytes+1))
	if err != nil {
		c.broken = true
		return err
	}
	if n > maxUnusedBodyBytes {
		c.broken = true
		return errResponseTooLarge
	}
	c.responseEnded(resp)
	return nil
}

// responseEnded records that a response was read to its end.
func (c *Conn) responseEnded(resp *http.Response) {
	c.lastResponseAt = time.Now()
	c.broken = c.broken || resp.Close
	c.setIdleTimeout(resp.Header.Get("Keep-Alive"))
}

// setIdleTimeout applies the timeout of a Keep-Alive header such as "timeout=5,
// max=100".
func (c *Conn) setIdleTimeout(value string) {
	for part := range strings.SplitSeq(value, ",") {
		name, seconds, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n >= 0 {
			c.idleTimeout = max(0, time.Duration(n)*time.Second-idleMargin)
		}
	}
}
