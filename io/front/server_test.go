package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/io/limit"
)

// echoHandler responds with the length of the request body. If blocked is set,
// it first waits until that channel is closed or the caller disconnects.
type echoHandler struct {
	blocked   chan struct{}
	newStream func() BodyStream
}

func (echoHandler) IsIdempotent(*Request) bool { return true }

func (h echoHandler) Handle(ctx context.Context, r *Request) *Response {
	if h.blocked != nil {
		select {
		case <-h.blocked:
		case <-ctx.Done():
		}
	}
	resp := &Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(fmt.Sprint(len(r.Body))), Length: -1}
	if h.newStream != nil {
		resp.Stream = h.newStream()
	}
	return resp
}

func (echoHandler) Reject(kind magnolialedge.ErrorKind, _ string) *Response {
	return &Response{Status: magnolialedge.ErrorResponseFor(kind).Status, Header: http.Header{}, Length: -1}
}

func (echoHandler) RejectEarly(*Request) *Response { return nil }

func (echoHandler) Limits() magnolialedge.RequestLimits { return magnolialedge.RequestLimits{} }

// startServer runs a Server on a loopback port and returns it with its address.
func startServer(t *testing.T, cfg Config) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(cfg)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return s, l.Addr().String()
}

func post(t *testing.T, address string, bytes int) int {
	t.Helper()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Post("http://"+address+"/", "", strings.NewReader(strings.Repeat("x", bytes)))
	require.NoError(t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// failingListener fails the first failuresLeft calls to Accept as if no file
// descriptor were left.
type failingListener struct {
	net.Listener
	failuresLeft atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestServeContinuesAfterAcceptErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failing := &failingListener{Listener: l}
	failing.failuresLeft.Store(3)
	s := NewServer(Config{Handler: echoHandler{}})
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(failing) }()
	require.Equal(t, http.StatusOK, post(t, l.Addr().String(), 5))
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-serveErr, net.ErrClosed)
}

// Many large bodies arrive at the same time. Those that exceed the memory for bodies
// must be rejected at once, and the memory must be free again after the other
// requests have ended.
func TestBodiesBeyondTheMemoryLimitAreRejected(t *testing.T) {
	const size = 1 << 20
	blocked := make(chan struct{})
	s, address := startServer(t, Config{Handler: echoHandler{blocked: blocked}, BodyMemory: limit.NewHolder(limit.HolderConfig{MaxBytes: 4 * size})})
	var rejected, served atomic.Int64
	var callers sync.WaitGroup
	for range 20 {
		callers.Go(func() {
			switch post(t, address, size) {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				rejected.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return rejected.Load() >= 16 }, 5*time.Second, time.Millisecond)
	require.LessOrEqual(t, s.bodyMemory.HeldBytes(), int64(4*size))
	close(blocked)
	callers.Wait()
	require.EqualValues(t, 20, rejected.Load()+served.Load())
	require.Eventually(t, func() bool { return s.bodyMemory.HeldBytes() == 0 }, time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, post(t, address, size))
}

func TestRequestsOnConnectionsOverTheLimitAreRejected(t *testing.T) {
	s, address := startServer(t, Config{Handler: echoHandler{}, MaxConns: 3})
	for range 3 {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return s.Connections() == 3 }, time.Second, time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, post(t, address, 5))
}

// idleConnections returns the number of connections that wait for a request after
// their last response has been written.
func idleConnections(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		c.mu.Lock()
		if c.isIdle && c.pending == 0 {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

func TestIdleConnectionsAreClosedAtTheConnectionLimit(t *testing.T) {
	s, address := startServer(t, Config{Handler: echoHandler{}, MaxConns: 3})
	for range 3 {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.Eventually(t, func() bool { return idleConnections(s) == 3 }, time.Second, time.Millisecond)
	_ = post(t, address, 5)
	require.Eventually(t, func() bool { return s.Connections() == 0 }, 2*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, post(t, address, 5))
}

// blockedStream returns no data until it is aborted, and then an error.
type blockedStream struct {
	aborted chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func (r *blockedStream) Read([]byte) (int, error) {
	<-r.aborted
	return 0, errors.New("aborted")
}

func (r *blockedStream) Abort() { r.once.Do(func() { close(r.aborted) }) }

func (r *blockedStream) Close() error {
	close(r.closed)
	return errors.New("aborted")
}

func TestResponseStreamIsClosedWhenCallerDisconnects(t *testing.T) {
	stream := &blockedStream{aborted: make(chan struct{}), closed: make(chan struct{})}
	_, address := startServer(t, Config{Handler: echoHandler{newStream: func() BodyStream { return stream }}})
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 16))
	require.NoError(t, err)
	require.NoError(t, c.Close())
	select {
	case <-stream.closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the response stream was not closed after its caller disconnected")
	}
}

// slowAcceptListener returns an accepted connection only after a delay, as if the
// process did not run in the meantime.
type slowAcceptListener struct {
	net.Listener
	accepted chan struct{}
}

func (l *slowAcceptListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		time.Sleep(100 * time.Millisecond)
	}
	return c, err
}

// A planned stop closes the listener while a connection has just been accepted. The
// connection must be counted when Serve returns, so that the stop waits for it.
func TestConnectionAcceptedAtTheCloseIsCountedWhenServeReturns(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &slowAcceptListener{Listener: inner, accepted: make(chan struct{})}
	s := NewServer(Config{Handler: echoHandler{}})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l)
	}()
	c, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	<-l.accepted
	require.NoError(t, l.Close())
	require.Zero(t, s.Connections(), "the connection is accepted but not registered yet")
	<-ended
	require.Equal(t, 1, s.Connections())
	resp, err := exchangeRequest(c, bufio.NewReader(c))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// pipeliner sends requests on one connection so that several are always pending, until a
// response announces the close or the connection ends.
type pipeliner struct {
	conn     net.Conn
	sent     atomic.Int64
	answered int
	// isTold is set once a response has announced the close.
	isTold atomic.Bool
}

// pipelineInterval is the time between two requests of a pipeliner.
const pipelineInterval = 10 * time.Millisecond

func startPipeliner(t *testing.T, address string) (p *pipeliner, ended chan struct{}) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	p, ended = &pipeliner{conn: c}, make(chan struct{})
	go func() {
		for !p.isTold.Load() {
			if _, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", p.sent.Add(1)); err != nil {
				return
			}
			time.Sleep(pipelineInterval)
		}
	}()
	go func() {
		defer close(ended)
		r := bufio.NewReader(c)
		for {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			p.answered++
			p.isTold.Store(resp.Close)
		}
	}()
	return p, ended
}

// TestPipeliningCallerIsToldThatItsConnectionEnds guards against a connection that is closed
// under requests in progress, or never, because its caller always has another request pending.
func TestPipeliningCallerIsToldThatItsConnectionEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(s *Server)
	}{
		{"planned stop", func(s *Server) {
			s.DisableKeepAlives()
			s.EndBusy(1)
		}},
		{"idle connections are closed", func(s *Server) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.conns {
				c.mu.Lock()
				c.isEnding = true
				c.mu.Unlock()
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &slowHandler{duration: 5 * pipelineInterval}
			s, address := startServer(t, Config{Handler: h})
			p, ended := startPipeliner(t, address)
			time.Sleep(20 * pipelineInterval)
			c.end(s)
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection does not end")
			}
			require.True(t, p.isTold.Load(), "the connection ended without a response that announces it")
			require.EqualValues(t, h.begun.Load(), p.answered, "requests were begun and not answered")
			require.Greater(t, p.answered, 10)
			require.Eventually(t, func() bool { return s.Connections() == 0 && s.InFlight() == 0 }, 2*time.Second, time.Millisecond)
		})
	}
}

// slowHandler responds after a while.
type slowHandler struct {
	echoHandler
	duration time.Duration
	begun    atomic.Int64
}

func (h *slowHandler) Handle(ctx context.Context, r *Request) *Response {
	h.begun.Add(1)
	time.Sleep(h.duration)
	return h.echoHandler.Handle(ctx, r)
}

// TestUploadBehindTheLastResponseIsNotRead guards against a stop that waits for an upload that
// its caller sent behind the last request of the connection.
func TestUploadBehindTheLastResponseIsNotRead(t *testing.T) {
	blocked := make(chan struct{})
	s, address := startServer(t, Config{Handler: echoHandler{blocked: blocked}, BodyMemory: limit.NewHolder(limit.HolderConfig{MaxBytes: 1 << 20})})
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nx")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.bodyMemory.HeldBytes() > 0 }, time.Second, time.Millisecond)
	s.DisableKeepAlives()
	s.EndBusy(1)
	close(blocked)
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.True(t, resp.Close)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	for range 40 {
		if _, err := io.WriteString(c, strings.Repeat("x", 1000)); err != nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Zero(t, s.Connections())
	require.Zero(t, s.bodyMemory.HeldBytes())
}

// TestConnectionIsNotEndedUnderAResponseInProgress guards against a request that is read and
// dropped because the response before it could not announce the close any more.
func TestConnectionIsNotEndedUnderAResponseInProgress(t *testing.T) {
	stream := &gatedStream{open: make(chan struct{})}
	var isFirst atomic.Bool
	isFirst.Store(true)
	s, address := startServer(t, Config{Handler: echoHandler{newStream: func() BodyStream {
		if isFirst.Swap(false) {
			return stream
		}
		return &gatedStream{open: closedChannel()}
	}}})
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	r := bufio.NewReader(c)
	first, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	s.DisableKeepAlives()
	s.EndBusy(1)
	close(stream.open)
	_, err = io.Copy(io.Discard, first.Body)
	require.NoError(t, err)
	second, err := exchangeRequest(c, r)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, second.StatusCode)
	require.True(t, second.Close)
}

// gatedStream is an empty stream that ends once open is closed.
type gatedStream struct {
	open chan struct{}
}

func (r *gatedStream) Read([]byte) (int, error) {
	<-r.open
	return 0, io.EOF
}

func (r *gatedStream) Abort() {}

func (r *gatedStream) Close() error { return nil }

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}
