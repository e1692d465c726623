package link

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// uploadConn is a net.Conn to an upstream that responds while a long request is still being written.
// The kernel reports a reset only to the first call that asks for it: here a Write takes it, and Read
// returns io.EOF.
type uploadConn struct {
	net.Conn
	response io.Reader
	// writeErr ends the write of the request's body. If it is nil, the connection works, and the write
	// ends when it is interrupted.
	writeErr error
	// failsFirst is set if the write fails before the end of the response is read, and not after it.
	failsFirst bool

	begun, failed, ended, interrupted chan struct{}
	once                              sync.Once
	interrupt                         sync.Once
}

func newUploadConn(response string, writeErr error, failsFirst bool) *uploadConn {
	return &uploadConn{
		response: strings.NewReader(response), writeErr: writeErr, failsFirst: failsFirst,
		begun: make(chan struct{}), failed: make(chan struct{}), ended: make(chan struct{}), interrupted: make(chan struct{}),
	}
}

func (c *uploadConn) Read(b []byte) (int, error) {
	n, err := c.response.Read(b)
	if err == nil {
		return n, nil
	}
	<-c.begun
	if c.failsFirst {
		<-c.failed
	}
	c.once.Do(func() { close(c.ended) })
	return n, err
}

func (c *uploadConn) Write(b []byte) (int, error) {
	if len(b) <= maxCoalescedBodyBytes {
		return len(b), nil
	}
	close(c.begun)
	if c.writeErr == nil {
		<-c.interrupted
		return 0, os.ErrDeadlineExceeded
	}
	if !c.failsFirst {
		<-c.ended
		// The call that took the reset has not returned when the end is read.
		time.Sleep(5 * time.Millisecond)
	}
	close(c.failed)
	return 0, c.writeErr
}

func (c *uploadConn) SetWriteDeadline(time.Time) error {
	c.interrupt.Do(func() { close(c.interrupted) })
	return nil
}

func (c *uploadConn) SetReadDeadline(time.Time) error { return nil }

func (c *uploadConn) Close() error { return nil }

func uploadRequest(n int) *Request {
	return &Request{ID: "7", Method: http.MethodPost, Target: "/", Host: "h", TimeLeft: 5 * time.Second, Body: make([]byte, n), HasBody: true}
}

// Guards against a response that the upstream broke off with a reset and that the caller receives as
// a complete one, because the write of the request took the error of the reset.
func TestResetDuringUploadIsNotTheEndOfABody(t *testing.T) {
	reset := &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
	const withLength = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nSignature: s\r\nContent-Length: 4\r\n\r\npart"
	for name, c := range map[string]struct {
		response   string
		writeErr   error
		failsFirst bool
		isComplete bool
	}{
		"reset before the end":           {signedHead + "\r\npart", reset, true, false},
		"reset told after the end":       {signedHead + "\r\npart", reset, false, false},
		"reset after a head alone":       {signedHead + "\r\n", reset, true, false},
		"reset before a long body's end": {signedHead + "\r\n" + strings.Repeat("x", maxBufferedBodyBytes+1000), reset, true, false},
		"reset of a refusal":             {"HTTP/1.1 503 Full\r\nRequest-Id: 7\r\nNot-Run: 1\r\n\r\npart", reset, true, false},
		"end without a reset":            {signedHead + "\r\nall of it", nil, false, true},
		"reset after the length":         {withLength, reset, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			conn := newConn(newUploadConn(c.response, c.writeErr, c.failsFirst), magnolialedge.Registration{ID: "u"}, testHeaders, time.Millisecond)
			resp, sent, err := conn.RoundTrip(t.Context(), uploadRequest(1<<20))
			require.True(t, sent.Written)
			if err == nil && resp.Stream != nil {
				_, err = io.Copy(io.Discard, resp.Stream)
				require.Equal(t, err == nil, resp.Stream.Close() == nil)
			}
			require.Equal(t, c.isComplete, err == nil, "%v", err)
			require.False(t, conn.isReusable())
		})
	}
}

// The same over sockets, where only some of the resets are told to the write.
func TestSocketResetDuringUploadIsNotTheEndOfABody(t *testing.T) {
	const rounds = 60
	random := rand.New(rand.NewPCG(1, 0))
	for i := range rounds {
		bodyBytes := 40 + random.IntN(300<<10)
		pause := time.Duration(random.IntN(3)) * time.Millisecond
		conn := uploadTo(t, func(tcp *net.TCPConn) {
			_, _ = fmt.Fprint(tcp, signedHead, "\r\n", strings.Repeat("x", bodyBytes))
			time.Sleep(pause)
			_ = tcp.SetLinger(0)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		resp, _, err := conn.RoundTrip(ctx, uploadRequest(4<<20))
		if err == nil && resp.Stream != nil {
			_, err = io.Copy(io.Discard, resp.Stream)
		}
		require.Error(t, err, "round %d, %d bytes of the body", i, bodyBytes)
		require.NoError(t, ctx.Err())
		cancel()
	}
}

// uploadTo returns a connection to an upstream that reads only the beginning of a request before it
// calls respond.
func uploadTo(t *testing.T, respond func(*net.TCPConn)) *Conn {
	t.Helper()
	return connTo(t, func(c *net.TCPConn) {
		defer c.Close()
		_ = c.SetReadBuffer(4 << 10)
		_, _ = c.Read(make([]byte, 1))
		respond(c)
	})
}

// An upstream may respond to a long request before it has read it. A response that it ends in order is
// complete, even if the request is still being written.
func TestResponseThatEndsDuringUploadIsComplete(t *testing.T) {
	const bodyBytes = 40 << 10
	for range 20 {
		ended := make(chan struct{})
		c := uploadTo(t, func(tcp *net.TCPConn) {
			_, _ = fmt.Fprint(tcp, signedHead, "\r\n", strings.Repeat("x", bodyBytes))
			_ = tcp.CloseWrite()
			<-ended
		})
		resp, _, err := c.RoundTrip(t.Context(), uploadRequest(4<<20))
		close(ended)
		require.NoError(t, err)
		require.Len(t, resp.Body, bodyBytes)
		require.False(t, c.isReusable())
	}
}
