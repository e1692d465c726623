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
	bufferBytes = 4 << 10
	// mostAnswer bounds the body of an answer that isn't passed on while it is
	// read, in bytes.
	mostAnswer = 16 << 20
	// mostForeign bounds the answers to other requests that are read past.
	mostForeign = 3
	// smallBody is the greatest body that is written together with the head.
	smallBody = 8 << 10
)

// Failures of an exchange.
var (
	errForeign   = errors.New("the upstream sent answers to other requests only")
	errTooLarge  = errors.New("the upstream's answer is too large")
	errNotHealth = errors.New("the upstream's answer belongs to no health request")
	// ErrWrongInstance tells that another upstream has the address.
	ErrWrongInstance = errors.New("another upstream answers at the address")
)

// Conn is one connection to an upstream. It carries one request at a time.
type Conn struct {
	// Upstream is the upstream that the connection was opened to.
	Upstream magnolialedge.Registration
	// DialTime is how long the opening took.
	DialTime time.Duration

	raw      net.Conn
	r        *bufio.Reader
	dialect  magnolialedge.HeaderProtocol
	idleLife time.Duration
	idleTill time.Time
	// spoiled tells that the connection can't be used again.
	spoiled bool
	// provenAt is when the upstream last answered on it.
	provenAt time.Time
	// till is the deadline of the request in progress.
	till time.Time
}

func newConn(raw net.Conn, to magnolialedge.Registration, d magnolialedge.HeaderProtocol, opening time.Duration) *Conn {
	return &Conn{
		Upstream: to,
		DialTime: opening,
		raw:      raw,
		r:        bufio.NewReaderSize(raw, bufferBytes),
		dialect:  d,
		idleLife: defaultIdleLife,
		provenAt: time.Now(),
	}
}

// Close closes the connection.
func (c *Conn) Close() {
	c.spoiled = true
	_ = c.raw.Close()
}

// LastResponseAt returns when the upstream last answered on the connection.
func (c *Conn) LastResponseAt() time.Time {
	return c.provenAt
}

func (c *Conn) isClean() bool {
	return !c.spoiled && c.r.Buffered() == 0
}

// watch closes the connection when ctx ends. The returned function ends the
// watching and reports whether ctx had ended before.
func (c *Conn) watch(ctx context.Context) func() bool {
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	return func() bool {
		if stop() {
			return false
		}
		c.spoiled = true
		return true
	}
}

// CheckHealth asks the upstream for its load. An answer counts as a sign of life
// whatever it says of the upstream's health.
func (c *Conn) CheckHealth(ctx context.Context, host, path string) (magnolialedge.LoadReading, bool, error) {
	defer c.watch(ctx)()
	head := "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + c.dialect.ExpectedInstance + ": " + c.Upstream.ID + "\r\n\r\n"
	if _, err := io.WriteString(c.raw, head); err != nil {
		c.spoiled = true
		return magnolialedge.LoadReading{}, false, err
	}
	resp, err := c.readHead(http.MethodGet)
	if err != nil {
		return magnolialedge.LoadReading{}, false, err
	}
	if _, err := c.readBody(resp); err != nil {
		return magnolialedge.LoadReading{}, false, err
	}
	if resp.Header.Get(c.dialect.RequestID) != "" {
		c.spoiled = true
		return magnolialedge.LoadReading{}, false, errNotHealth
	}
	if id := resp.Header.Get(c.dialect.Instance); id != "" && id != c.Upstream.ID {
		c.spoiled = true
		return magnolialedge.LoadReading{}, false, ErrWrongInstance
	}
	reading, ok := c.dialect.ParseLoad(resp.Header.Get(c.dialect.Load))
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
	defer c.watch(ctx)()
	c.till = time.Now().Add(req.TimeLeft)
	head := c.head(req)
	if len(req.Body) <= smallBody {
		n, err := c.raw.Write(append(head, req.Body...))
		if err != nil {
			c.spoiled = true
			return nil, Sent{Written: n > 0}, err
		}
		answer, err := c.answer(req)
		return answer, Sent{Written: true}, err
	}
	return c.exchangeLarge(head, req)
}

// exchangeLarge reads the answer while the body is still being written, because
// an upstream may answer early. Such a connection isn't used again.
func (c *Conn) exchangeLarge(head []byte, req *Request) (*Response, Sent, error) {
	written := make(chan error, 1)
	go func() {
		buffers := net.Buffers{head, req.Body}
		_, err := buffers.WriteTo(c.raw)
		written <- err
	}()
	answer, err := c.answer(req)
	select {
	case werr := <-written:
		c.spoiled = c.spoiled || werr != nil
	default:
		c.spoiled = true
		_ = c.raw.SetWriteDeadline(time.Unix(1, 0))
		<-written
	}
	return answer, Sent{Written: true}, err
}

func (c *Conn) head(req *Request) []byte {
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	for name, values := range req.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	b.WriteString(c.dialect.RequestID + ": " + req.ID + "\r\n")
	b.WriteString(c.dialect.ExpectedInstance + ": " + c.Upstream.ID + "\r\n")
	b.WriteString(c.dialect.Deadline + ": " + strconv.FormatInt(max(1, req.TimeLeft.Milliseconds()), 10) + "\r\n")
	if req.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// answer reads answers until one carries the request's id.
func (c *Conn) answer(req *Request) (*Response, error) {
	for range mostForeign {
		resp, err := c.readHead(req.Method)
		if err != nil {
			return nil, err
		}
		if resp.Header.Get(c.dialect.RequestID) == req.ID {
			return c.ownAnswer(resp)
		}
		if _, err := c.readBody(resp); err != nil {
			return nil, err
		}
		c.spoiled = true
		if resp.Header.Get(c.dialect.RequestID) == "" {
			return nil, errForeign
		}
	}
	return nil, errForeign
}

// ownAnswer reads the body of the request's own answer. What can't be passed on
// as it is comes whole.
func (c *Conn) ownAnswer(resp *http.Response) (*Response, error) {
	a := c.newAnswer(resp)
	var err error
	if a.NotRun || a.IsInvalid() || a.IsServerError() {
		a.Body, err = c.readBody(resp)
		return a, err
	}
	a.Body, err = io.ReadAll(io.LimitReader(resp.Body, heldAnswer))
	if err != nil {
		c.spoiled = true
		return nil, err
	}
	if len(a.Body) == heldAnswer {
		a.Stream = newRest(c, resp)
		return a, nil
	}
	c.ended(resp)
	return a, nil
}

func (c *Conn) newAnswer(resp *http.Response) *Response {
	a := &Response{
		Status:   resp.StatusCode,
		Header:   resp.Header,
		Length:   resp.ContentLength,
		IsSigned: resp.Header.Get(c.dialect.Signature) != "",
		NotRun:   resp.Header.Get(c.dialect.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest,
	}
	a.Reading, a.HasLoad = c.dialect.ParseLoad(resp.Header.Get(c.dialect.Load))
	return a
}

// readHead reads the head of a final answer.
func (c *Conn) readHead(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			c.spoiled = true
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			c.spoiled = true
			return nil, errNotHealth
		}
	}
}

func (c *Conn) readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer+1))
	if err != nil {
		c.spoiled = true
		return nil, err
	}
	if len(body) > mostAnswer {
		c.spoiled = true
		return nil, errTooLarge
	}
	c.ended(resp)
	return body, nil
}

// ended takes what the end of an answer tells of the connection.
func (c *Conn) ended(resp *http.Response) {
	c.provenAt = time.Now()
	c.spoiled = c.spoiled || resp.Close
	c.learnIdleLife(resp.Header.Get("Keep-Alive"))
}

// learnIdleLife reads "timeout=5, max=100".
func (c *Conn) learnIdleLife(value string) {
	for part := range strings.SplitSeq(value, ",") {
		name, seconds, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n >= 0 {
			c.idleLife = max(0, time.Duration(n)*time.Second-idleMargin)
		}
	}
}
