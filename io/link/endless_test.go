package link

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/io/conn"
	"magnolialedge/io/limit"
)

// signedHead is the head of a valid response to getRequest without a body length.
const signedHead = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nSignature: s\r\n"

// endlessConn returns a connection to a server that answers with start and then
// repeats text until the connection is closed. The number of bytes that it has
// written is added to written.
func endlessConn(t *testing.T, start, text string, written *atomic.Int64) *Conn {
	return scriptedConnThen(t, start, func(c net.Conn) {
		defer c.Close()
		chunk := []byte(strings.Repeat(text, 1+(16<<10)/len(text)))
		for {
			n, err := c.Write(chunk)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
}

// An upstream sends bytes without end that are no response, in the head or in the
// body. The attempt must fail long before its deadline and without holding many
// bytes in memory.
func TestEndlessBytesEndTheAttempt(t *testing.T) {
	for name, c := range map[string]struct{ start, text string }{
		"status line":             {"", "x"},
		"header line":             {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines":            {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunk extension":         {signedHead + "Transfer-Encoding: chunked\r\n\r\n5;", "x"},
		"body without signature":  {"HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n\r\n", "x"},
		"body of another request": {"HTTP/1.1 200 OK\r\nRequest-Id: 8\r\nSignature: s\r\n\r\n", "x"},
		"body of a rejection":     {"HTTP/1.1 503 Full\r\nRequest-Id: 7\r\nNot-Run: 1\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			conn := endlessConn(t, c.start, c.text, &written)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, sent, err := conn.RoundTrip(ctx, getRequest())
			require.Error(t, err)
			require.True(t, sent.Written)
			require.NoError(t, ctx.Err(), "the attempt must end before its deadline")
			require.False(t, conn.isReusable())
		})
	}
}

// TestEndlessServerErrorIsNotHeld guards against server errors that are held whole because a retry
// may follow. Long before its deadline, the attempt ends with a stream, which can be broken off.
func TestEndlessServerErrorIsNotHeld(t *testing.T) {
	for name, c := range map[string]struct {
		memory  int64
		maxHeld int
	}{
		"enough memory": {1 << 20, maxBufferedBodyBytes},
		"little memory": {20 << 10, 8 << 10},
		"no memory":     {1, firstBodyBytes},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			conn := endlessConn(t, "HTTP/1.1 500 No\r\nRequest-Id: 7\r\nSignature: s\r\n\r\n", "x", &written)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			h := limit.NewHolder(limit.HolderConfig{MaxBytes: c.memory})
			req := getRequest()
			req.Memory = h.NewShare()
			resp, _, err := conn.RoundTrip(ctx, req)
			require.NoError(t, err)
			require.NoError(t, ctx.Err(), "the attempt must end before its deadline")
			require.LessOrEqual(t, len(resp.Body), c.maxHeld)
			require.LessOrEqual(t, h.HeldBytes(), c.memory)
			require.NotNil(t, resp.Stream)
			require.ErrorIs(t, resp.Stream.Close(), ErrStreamClosed)
			require.False(t, conn.isReusable())
			req.Memory.Close()
			require.Zero(t, h.HeldBytes())
		})
	}
}

// Many requests at once meet an endless head. The memory in use must stay far below
// that of a small instance.
func TestEndlessHeadsNeedLittleMemory(t *testing.T) {
	const requests = 50
	const maxBytesPerRequest = 1 << 20
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var written atomic.Int64
	for range requests {
		_, _, err := endlessConn(t, "HTTP/1.1 200 OK\r\nA: ", "x", &written).RoundTrip(t.Context(), getRequest())
		require.ErrorIs(t, err, conn.ErrHeadTooLarge)
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(requests*maxBytesPerRequest))
}

// A health check ends with the limit of the head, too.
func TestEndlessHeadEndsAHealthCheck(t *testing.T) {
	var written atomic.Int64
	c := endlessConn(t, "HTTP/1.1 200 OK\r\nA: ", "x", &written)
	_, err := c.CheckHealth(t.Context(), "h", "/health")
	require.ErrorIs(t, err, conn.ErrHeadTooLarge)
	require.False(t, c.isReusable())
}

// Garbage that arrives a byte at a time never completes a head. The attempt ends
// with its deadline at the latest and the connection is closed.
func TestDrippedGarbageEndsWithTheDeadline(t *testing.T) {
	for name, start := range map[string]string{"status line": "", "field": "HTTP/1.1 200 OK\r\nA: "} {
		t.Run(name, func(t *testing.T) {
			requireDripsEnd(t, start)
		})
	}
}

func requireDripsEnd(t *testing.T, start string) {
	upstreamClosed := make(chan struct{})
	conn := scriptedConnThen(t, start, func(c net.Conn) {
		defer close(upstreamClosed)
		defer c.Close()
		for {
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, sent, err := conn.RoundTrip(ctx, getRequest())
	require.Error(t, err)
	require.True(t, sent.Written)
	require.False(t, conn.isReusable())
	select {
	case <-upstreamClosed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection to the upstream was not closed")
	}
}

// A response is followed by bytes without end. The response is complete, and the
// connection is not used again.
func TestEndlessBytesAfterAResponseEndTheConnection(t *testing.T) {
	var written atomic.Int64
	conn := endlessConn(t, signedHead+"Content-Length: 2\r\n\r\nok", "x", &written)
	resp, _, err := conn.RoundTrip(t.Context(), getRequest())
	require.NoError(t, err)
	require.Equal(t, "ok", string(resp.Body))
	require.Eventually(t, func() bool { return !conn.isReusable() || !conn.IsIdle() }, time.Second, time.Millisecond)
	pool := NewPool(PoolConfig{})
	pool.Put(conn)
	_, ok := pool.Get(conn.Upstream)
	require.False(t, ok)
}

// The caller of a body without end has left. The connection is closed and the
// goroutines that read it end.
func TestEndlessBodyEndsWhenItsCallerLeaves(t *testing.T) {
	var written atomic.Int64
	conn := endlessConn(t, signedHead+"\r\n", "x", &written)
	resp, _, err := conn.RoundTrip(t.Context(), getRequest())
	require.NoError(t, err)
	require.NotNil(t, resp.Stream)
	copied := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, resp.Stream)
		copied <- err
	}()
	time.Sleep(20 * time.Millisecond)
	resp.Stream.Abort()
	select {
	case err := <-copied:
		require.Error(t, err)
	case <-time.After(2 * time.Second):
		t.Fatal("reading did not end")
	}
	require.Error(t, resp.Stream.Close())
	require.False(t, conn.isReusable())
}
