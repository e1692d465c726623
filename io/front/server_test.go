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
)

// echoHandler answers with the length of the body, after hold.
type echoHandler struct {
	hold chan struct{}
	rest func() BodyStream
}

func (echoHandler) IsIdempotent(*Request) bool { return true }

func (h echoHandler) Handle(ctx context.Context, r *Request) *Response {
	if h.hold != nil {
		select {
		case <-h.hold:
		case <-ctx.Done():
		}
	}
	a := &Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(fmt.Sprint(len(r.Body))), Length: -1}
	if h.rest != nil {
		a.Stream = h.rest()
	}
	return a
}

func (echoHandler) Reject(kind magnolialedge.ErrorKind, _ string) *Response {
	return &Response{Status: magnolialedge.ErrorResponseFor(kind).Status, Header: http.Header{}, Length: -1}
}

func (echoHandler) Limits() magnolialedge.RequestLimits { return magnolialedge.RequestLimits{} }

func serveOn(t *testing.T, cfg Config) (*Server, string) {
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

// failingListener fails a few times before it accepts.
type failingListener struct {
	net.Listener
	left atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestAcceptingGoesOnAfterAFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failing := &failingListener{Listener: l}
	failing.left.Store(3)
	s := NewServer(Config{Handler: echoHandler{}})
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(failing) }()
	require.Equal(t, http.StatusOK, post(t, l.Addr().String(), 5))
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}

// TestBodiesStayWithinTheirMemory sends many large bodies at the same moment.
// Those beyond the memory are refused at once, and the memory is free again
// after the others have been answered.
func TestBodiesStayWithinTheirMemory(t *testing.T) {
	const size = 1 << 20
	hold := make(chan struct{})
	s, address := serveOn(t, Config{Handler: echoHandler{hold: hold}, MaxBodyMemoryBytes: 4 * size})
	var refused, served atomic.Int64
	var callers sync.WaitGroup
	for range 20 {
		callers.Go(func() {
			switch post(t, address, size) {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return refused.Load() >= 16 }, 5*time.Second, time.Millisecond)
	require.LessOrEqual(t, s.bodies.held.Load(), int64(4*size))
	close(hold)
	callers.Wait()
	require.EqualValues(t, 20, refused.Load()+served.Load())
	require.Eventually(t, func() bool { return s.bodies.held.Load() == 0 }, time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, post(t, address, size))
}

func TestConnectionsBeyondTheBoundAreRefused(t *testing.T) {
	s, address := serveOn(t, Config{Handler: echoHandler{}, MaxConns: 3})
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

func TestUnusedConnectionsMakeRoomForNewOnes(t *testing.T) {
	s, address := serveOn(t, Config{Handler: echoHandler{}, MaxConns: 3})
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
	require.Eventually(t, func() bool { return s.Connections() == 3 }, time.Second, time.Millisecond)
	_ = post(t, address, 5)
	require.Eventually(t, func() bool { return s.Connections() == 0 }, 2*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, post(t, address, 5))
}

// blockedRest brings nothing until it is aborted.
type blockedRest struct {
	aborted chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func (r *blockedRest) Read([]byte) (int, error) {
	<-r.aborted
	return 0, errors.New("aborted")
}

func (r *blockedRest) Abort() { r.once.Do(func() { close(r.aborted) }) }

func (r *blockedRest) Close() error {
	close(r.closed)
	return errors.New("aborted")
}

func TestRestOfAnAnswerIsClosedWhenItsCallerLeaves(t *testing.T) {
	rest := &blockedRest{aborted: make(chan struct{}), closed: make(chan struct{})}
	_, address := serveOn(t, Config{Handler: echoHandler{rest: func() BodyStream { return rest }}})
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 16))
	require.NoError(t, err)
	require.NoError(t, c.Close())
	select {
	case <-rest.closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the rest stays open")
	}
}
