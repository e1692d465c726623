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

// breaker is an upstream that answers the first request of each connection and
// breaks the connection after it has read the second.
func breaker(t *testing.T, read *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				read.Add(1)
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				if _, err := http.ReadRequest(r); err == nil {
					read.Add(1)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func TestRequestThatRunsOnceIsWrittenOnce(t *testing.T) {
	for _, method := range []string{"POST", "GET", "DELETE"} {
		for _, header := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
			var read atomic.Int64
			p := NewPool(PoolConfig{Dialer: NewDialer(DialerConfig{})})
			sending := SendOptions{Destination: Destination{Address: breaker(t, &read), MaxConnections: 4}, FreshConnection: true}
			for i := range 2 {
				req, err := http.NewRequest(method, "http://"+sending.Destination.Address+"/", strings.NewReader(""))
				require.NoError(t, err)
				req.Header.Set(header, "k")
				resp, use, err := p.Send(req, sending)
				require.True(t, use.HasWritten())
				if i == 1 {
					require.Error(t, err)
					break
				}
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
			}
			require.EqualValues(t, 2, read.Load(), "%s with %s", method, header)
		}
	}
}

func TestRequestThatWasNeverWrittenIsKnown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	p := NewPool(PoolConfig{Dialer: NewDialer(DialerConfig{})})
	req, err := http.NewRequest("POST", "http://"+address+"/", strings.NewReader("x"))
	require.NoError(t, err)
	_, use, err := p.Send(req, SendOptions{Destination: Destination{Address: address, MaxConnections: 4}, FreshConnection: true})
	require.Error(t, err)
	require.False(t, use.HasWritten())
}
