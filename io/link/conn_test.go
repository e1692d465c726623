package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

var testHeaders = magnolialedge.HeaderProtocol{
	RequestID:        "Request-Id",
	Deadline:         "Deadline",
	ExpectedInstance: "Expected",
	Instance:         "Instance",
	Signature:        "Signature",
	Load:             "Load",
	NotRun:           "Not-Run",
	ParseLoad:        func(string) (magnolialedge.LoadReading, bool) { return magnolialedge.LoadReading{}, false },
	ParseLeaving:     func([]string) (bool, error) { return false, nil },
	ParseLimit:       func([]string) (magnolialedge.RateLimit, error) { return magnolialedge.RateLimit{}, nil },
}

// scriptedConn returns a connection to a server that reads one request, writes
// text verbatim, and then either closes the connection or keeps reading.
func scriptedConn(t *testing.T, text string, closes bool) *Conn {
	return scriptedConnThen(t, text, func(c net.Conn) {
		if !closes {
			_, _ = io.Copy(io.Discard, c)
		}
		_ = c.Close()
	})
}

// scriptedConnThen is like scriptedConn but calls then after writing text.
func scriptedConnThen(t *testing.T, text string, then func(net.Conn)) *Conn {
	t.Helper()
	return connTo(t, func(c *net.TCPConn) {
		buf := make([]byte, 64<<10)
		if _, err := c.Read(buf); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		then(c)
	})
}

// connTo returns a connection to a server that handles it with serve.
func connTo(t *testing.T, serve func(*net.TCPConn)) *Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		if c, err := l.Accept(); err == nil {
			serve(c.(*net.TCPConn))
		}
	}()
	netConn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = netConn.Close() })
	return newConn(netConn, magnolialedge.Registration{ID: "u", Address: l.Addr().String()}, testHeaders, time.Millisecond)
}

func roundTrip(c *Conn, r *Request) (*Response, Sent, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	return c.RoundTrip(ctx, r)
}

func getRequest() *Request {
	return &Request{ID: "7", Method: http.MethodGet, Target: "/", Host: "h", TimeLeft: time.Second}
}

const ownResponse = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok"

func TestConnIsReusableAfterCompleteResponse(t *testing.T) {
	c := scriptedConn(t, ownResponse, false)
	resp, sent, err := roundTrip(c, getRequest())
	require.NoError(t, err)
	require.True(t, sent.Written)
	require.Equal(t, "ok", string(resp.Body))
	require.True(t, resp.IsSigned)
	require.True(t, c.isReusable())
}

func TestForeignResponseIsSkipped(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\r\nRequest-Id: 6\r\nSignature: s\r\nContent-Length: 3\r\n\r\nold"
	c := scriptedConn(t, foreign+ownResponse, false)
	resp, _, err := roundTrip(c, getRequest())
	require.NoError(t, err)
	require.Equal(t, "ok", string(resp.Body))
	require.False(t, c.isReusable(), "a connection that carried another request's response must not be reused")
}

func TestConnIsNotReusableWithTrailingBytes(t *testing.T) {
	c := scriptedConn(t, ownResponse+"more", false)
	resp, _, err := roundTrip(c, getRequest())
	require.NoError(t, err)
	require.Equal(t, "ok", string(resp.Body))
	time.Sleep(20 * time.Millisecond)
	require.False(t, c.isReusable() && c.IsIdle())
}

func TestInformationalResponsesAreSkipped(t *testing.T) {
	c := scriptedConn(t, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+ownResponse, false)
	resp, _, err := roundTrip(c, getRequest())
	require.NoError(t, err)
	require.Equal(t, 200, resp.Status)
}

func TestResponseWithoutLengthEndsAtClose(t *testing.T) {
	c := scriptedConn(t, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nSignature: s\r\n\r\nall of it", true)
	resp, _, err := roundTrip(c, getRequest())
	require.NoError(t, err)
	require.Equal(t, "all of it", string(resp.Body))
	require.False(t, c.isReusable())
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 20\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nConte",
		"garbage",
	} {
		_, sent, err := roundTrip(scriptedConn(t, text, true), getRequest())
		require.Error(t, err, text)
		require.True(t, sent.Written)
	}
}

func TestConnIsClosedWhenRequestIsCanceled(t *testing.T) {
	c := scriptedConn(t, "", false)
	start := time.Now()
	_, _, err := roundTrip(c, getRequest())
	require.Error(t, err)
	require.Less(t, time.Since(start), 700*time.Millisecond)
	require.False(t, c.isReusable())
}

func TestKeepAliveHeaderSetsIdleTimeout(t *testing.T) {
	c := scriptedConn(t, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n", false)
	_, _, err := roundTrip(c, getRequest())
	require.NoError(t, err)
	require.Equal(t, 2*time.Second-idleMargin, c.idleTimeout)
}

func TestPoolSkipsConnClosedByUpstream(t *testing.T) {
	c := scriptedConn(t, ownResponse, true)
	_, _, err := roundTrip(c, getRequest())
	require.NoError(t, err)
	p := NewPool(PoolConfig{Headers: testHeaders})
	p.Put(c)
	time.Sleep(20 * time.Millisecond)
	_, ok := p.Get(c.Upstream)
	require.False(t, ok)
}

// Guards against requests over a connection to an earlier run of an upstream, which may
// still respond under the ID of the present one.
func TestPoolKeepsNoConnectionsOfAnEarlierRun(t *testing.T) {
	for _, change := range []func(*magnolialedge.Registration){
		func(r *magnolialedge.Registration) { r.Address = "127.0.0.1:2" },
		func(r *magnolialedge.Registration) { r.StartedAtUnixMs++ },
	} {
		c := scriptedConn(t, ownResponse, false)
		_, _, err := roundTrip(c, getRequest())
		require.NoError(t, err)
		p := NewPool(PoolConfig{Headers: testHeaders})
		p.Put(c)
		next := c.Upstream
		change(&next)
		_, ok := p.Get(next)
		require.False(t, ok)
		require.False(t, c.isReusable())
	}
	c := scriptedConn(t, ownResponse, false)
	_, _, err := roundTrip(c, getRequest())
	require.NoError(t, err)
	p := NewPool(PoolConfig{Headers: testHeaders})
	p.Put(c)
	draining := c.Upstream
	draining.Draining = true
	_, ok := p.Get(draining)
	require.True(t, ok)
}

func TestHealthResponseFromAnotherInstanceIsRejected(t *testing.T) {
	c := scriptedConn(t, "HTTP/1.1 200 OK\r\nInstance: v\r\nContent-Length: 0\r\n\r\n", false)
	_, err := c.CheckHealth(context.Background(), "h", "/health")
	require.ErrorIs(t, err, ErrWrongInstance)
	c = scriptedConn(t, "HTTP/1.1 200 OK\r\nRequest-Id: 5\r\nContent-Length: 0\r\n\r\n", false)
	_, err = c.CheckHealth(context.Background(), "h", "/health")
	require.ErrorIs(t, err, errNotHealthResponse)
}

// An upstream may respond before it has read a long body. The unread part of the
// body must not be followed by another request on the same connection.
func TestConnIsNotReusableAfterEarlyResponseToLargeBody(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	early := "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	c := scriptedConnThen(t, early, func(net.Conn) { <-done })
	req := getRequest()
	req.Method = http.MethodPost
	req.Body = make([]byte, 32<<20)
	req.HasBody = true
	resp, _, err := roundTrip(c, req)
	require.NoError(t, err)
	require.True(t, resp.NotRun)
	p := NewPool(PoolConfig{Headers: testHeaders})
	p.Put(c)
	_, ok := p.Get(c.Upstream)
	require.False(t, ok)
}

// A second copy of a response arrives late, when the connection is in use again for a
// health check. It must not count as the response to the check.
func TestLateCopyIsNotTakenForAHealthResponse(t *testing.T) {
	copyOfAnswer := "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok"
	c := scriptedConn(t, copyOfAnswer, false)
	_, err := c.CheckHealth(t.Context(), "h", "/health")
	require.ErrorIs(t, err, errNotHealthResponse)
	require.False(t, c.isReusable())
}

// A second copy of a health response arrives late, when the connection is in use
// again for a request. It must not be passed on.
func TestLateHealthResponseIsNotTakenForAResponse(t *testing.T) {
	c := scriptedConn(t, "HTTP/1.1 200 OK\r\nInstance: u\r\nContent-Length: 0\r\n\r\n", false)
	_, sent, err := roundTrip(c, getRequest())
	require.ErrorIs(t, err, errForeignResponse)
	require.True(t, sent.Written)
	require.False(t, c.isReusable())
}
