package conn

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// startBreakingUpstream starts an upstream that responds to the first request of
// each connection and closes the connection after it has read the second. It counts
// the requests read and returns its address.
func startBreakingUpstream(t *testing.T, requests *atomic.Int64) string {
	t.Helper()
	return startUpstream(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		requests.Add(1)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		if _, err := http.ReadRequest(r); err == nil {
			requests.Add(1)
		}
	})
}

// The transport must not send a request again when a reused connection breaks after
// the request was written, because the upstream may have run it. By default it does
// so if the request has no body, and a safe method or an idempotency key.
func TestFreshSendWritesRequestOnce(t *testing.T) {
	for _, method := range []string{"POST", "GET", "DELETE"} {
		for _, header := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
			var requests atomic.Int64
			p := NewPool(PoolConfig{Dialer: NewDialer(DialerConfig{})})
			opts := SendOptions{Destination: Destination{Address: startBreakingUpstream(t, &requests), MaxConnections: 4}, FreshConnection: true}
			for i := range 2 {
				req, err := http.NewRequest(method, "http://"+opts.Destination.Address+"/", strings.NewReader(""))
				require.NoError(t, err)
				req.Header.Set(header, "k")
				resp, trace, err := p.Send(req, opts)
				require.True(t, trace.HasWritten())
				if i == 1 {
					require.Error(t, err)
					break
				}
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
			}
			require.EqualValues(t, 2, requests.Load(), "%s with %s", method, header)
		}
	}
}

// A request whose connection could not be opened must count as not written.
func TestTraceReportsUnwrittenRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	p := NewPool(PoolConfig{Dialer: NewDialer(DialerConfig{})})
	req, err := http.NewRequest("POST", "http://"+address+"/", strings.NewReader("x"))
	require.NoError(t, err)
	_, trace, err := p.Send(req, SendOptions{Destination: Destination{Address: address, MaxConnections: 4}, FreshConnection: true})
	require.Error(t, err)
	require.False(t, trace.HasWritten())
}
