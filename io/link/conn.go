package link

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
)

const (
	// bufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// mostAnswer bounds the body of an answer that isn't passed on while it is
	// read, in bytes.
	maxResponseBytes = 16 << 20
	// mostForeign bounds the answers to other requests that are read past.
	maxForeignResponses = 3
	// smallBody is the greatest body that is written together with the head.
	maxCoalescedBodyBytes = 8 << 10
)

// Failures of an exchange.
var (
	errForeignResponse   = errors.New("the upstream sent answers to other requests only")
	errResponseTooLarge  = errors.New("the upstream's answer is too large")
	errNotHealthResponse = errors.New("the upstream's answer belongs to no health request")
	// ErrWrongInstance tells that another upstream has the address.
	ErrWrongInstance = errors.New("another upstream answers at the address")
)

// Conn is one connection to an upstream. It carries one request at a time.
type Conn struct {
	// Upstream is the upstream that the connection was opened to.
	Upstream magnolialedge.Registration
	// DialTime is how long the opening took.
	DialTime time.Duration

	netConn      net.Conn
	reader       *bufio.Reader
	headers      magnolialedge.HeaderProtocol
	idleTimeout  time.Duration
	idleDeadline time.Time
	// spoiled tells that the connection can't be used again.
	broken bool
	// provenAt is when the upstream last answered on it.
	lastResponseAt time.Time
	// till is the deadline of the request in progress.
	deadline time.Time
}

func newConn(netConn net.Conn, to magnolialedge.Registration, d magnolialedge.HeaderProtocol, dialTime time.Duration) *Conn {
	return &Conn{
		Upstream:       to,
		DialTime:       dialTime,
		netConn:        netConn,
		reader:         bufio.NewReaderSize(netConn, readBufferBytes),
		headers:        d,
		idleTimeout:    defaultIdleTimeout,
		lastResponseAt: time.Now(),
	}
}

// Close closes the connection.
func (c *Conn) Close() {
	c.broken = true
	_ = c.netConn.Close()
}

// LastResponseAt returns when the upstream last answered on the connection.
func (c *Conn) LastResponseAt() time.Time {
	return c.lastResponseAt
}

func (c *Conn) isReusable() bool {
	return !c.broken && c.reader.Buffered() == 0
}

// watch closes the connection when ctx ends. The returned function ends the
// watching and reports whether ctx had ended before.
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

// CheckHealth asks the upstream for its load. An answer counts as a sign of life
// whatever it says of the upstream's health.
func (c *Conn) CheckHealth(ctx context.Context, host, path string) (magnolialedge.LoadReading, bool, error) {
	defer c.closeOnCancel(ctx)()
	head := "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + c.headers.ExpectedInstance + ": " + c.Upstream.ID + "\r\n\r\n"
	if _, err := io.WriteString(c.netConn, head); err != nil {
		c.broken = true
		return magnolialedge.LoadReading{}, false, err
	}
	resp, err := c.readHead(http.MethodGet)
	if err != nil {
		return magnolialedge.LoadReading{}, false, err
	}
	if _, err := c.readBody(resp); err != nil {
		return magnolialedge.LoadReading{}, false, err
	}
	if resp.Header.Get(c.headers.RequestID) != "" {
		c.broken = true
		return magnolialedge.LoadReading{}, false, errNotHealthResponse
	}
	if id := resp.Header.Get(c.headers.Instance); id != "" && id != c.Upstream.ID {
		c.broken = true
		return magnolialedge.LoadReading{}, false, ErrWrongInstance
	}
	reading, ok := c.headers.ParseLoad(resp.Header.Get(c.headers.Load))
	return reading, ok, nil
}

// Request is a request as it goes to an upstream.
type Request struct {
	ID     string
	Method string
	// Target is the request's target as its caller wrote it.
	Target string
	Host   string
	Header http.Header
	// Body is the whole body. HasBody tells an empty body from none.
	Body    []byte
	HasBody bool
	// Left is the time left to the request's deadline.
	TimeLeft time.Duration
}

// Response is an upstream's answer.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its begin if Stream isn't nil.
	Body   []byte
	Stream *BodyStream
	// Length is the length of the body that the answer states, or -1.
	Length int64
	// Reading is what the answer tells of the upstream's load.
	Reading  magnolialedge.LoadReading
	HasLoad  bool
	IsSigned bool
	// NotRun tells that the upstream states that it did not run the request.
	NotRun bool
}

// Sent tells how much of a request has left this side when an exchange fails.
type Sent struct {
	// Written tells that some byte of the request may have left.
	Written bool
}

// IsInvalid reports whether the answer claims a success that can't be passed on as
// one.
func (a *Response) IsInvalid() bool {
	success := a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
	encoded := a.Header.Get("Content-Encoding") != ""
	return !a.NotRun && (encoded || (success && !a.IsSigned))
}

// IsServerError reports whether the answer tells of a failure of the upstream.
func (a *Response) IsServerError() bool {
	return a.Status >= http.StatusInternalServerError
}

// RoundTrip sends a request and reads its answer, a long one up to its Stream.
// Answers to other requests are read past. The end of ctx doesn't end a BodyStream.
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
		answer, err := c.readResponse(req)
		return answer, Sent{Written: true}, err
	}
	return c.roundTripLarge(head, req)
}

// exchangeLarge reads the answer while the body is still being written, because
// an upstream may answer early. Such a connection isn't used again.
func (c *Conn) roundTripLarge(head []byte, req *Request) (*Response, Sent, error) {
	writeErr := make(chan error, 1)
	go func() {
		buffers := net.Buffers{head, req.Body}
		_, err := buffers.WriteTo(c.netConn)
		writeErr <- err
	}()
	answer, err := c.readResponse(req)
	select {
	case werr := <-writeErr:
		c.broken = c.broken || werr != nil
	default:
		c.broken = true
		_ = c.netConn.SetWriteDeadline(time.Unix(1, 0))
		<-writeErr
	}
	return answer, Sent{Written: true}, err
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

// answer reads answers until one carries the request's id.
func (c *Conn) readResponse(req *Request) (*Response, error) {
	for range maxForeignResponses {
		resp, err := c.readHead(req.Method)
		if err != nil {
			return nil, err
		}
		if resp.Header.Get(c.headers.RequestID) == req.ID {
			return c.newResponseWithBody(resp)
		}
		if _, err := c.readBody(resp); err != nil {
			return nil, err
		}
		c.broken = true
		if resp.Header.Get(c.headers.RequestID) == "" {
			return nil, errForeignResponse
		}
	}
	return nil, errForeignResponse
}

// ownAnswer reads the body of the request's own answer. What can't be passed on
// as it is comes whole.
func (c *Conn) newResponseWithBody(resp *http.Response) (*Response, error) {
	a := c.newResponse(resp)
	var err error
	if a.NotRun || a.IsInvalid() || a.IsServerError() {
		a.Body, err = c.readBody(resp)
		return a, err
	}
	a.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedBodyBytes))
	if err != nil {
		c.broken = true
		return nil, err
	}
	if len(a.Body) == maxBufferedBodyBytes {
		a.Stream = newBodyStream(c, resp)
		return a, nil
	}
	c.responseEnded(resp)
	return a, nil
}

func (c *Conn) newResponse(resp *http.Response) *Response {
	a := &Response{
		Status:   resp.StatusCode,
		Header:   resp.Header,
		Length:   resp.ContentLength,
		IsSigned: resp.Header.Get(c.headers.Signature) != "",
		NotRun:   resp.Header.Get(c.headers.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest,
	}
	a.Reading, a.HasLoad = c.headers.ParseLoad(resp.Header.Get(c.headers.Load))
	return a
}

// readHead reads the head of a final answer.
func (c *Conn) readHead(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			c.broken = true
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			c.broken = true
			return nil, errNotHealthResponse
		}
	}
}

func (c *Conn) readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		c.broken = true
		return nil, err
	}
	if len(body) > maxResponseBytes {
		c.broken = true
		return nil, errResponseTooLarge
	}
	c.responseEnded(resp)
	return body, nil
}

// ended takes what the end of an answer tells of the connection.
func (c *Conn) responseEnded(resp *http.Response) {
	c.lastResponseAt = time.Now()
	c.broken = c.broken || resp.Close
	c.setIdleTimeout(resp.Header.Get("Keep-Alive"))
}

// learnIdleLife reads "timeout=5, max=100".
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
