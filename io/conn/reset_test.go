package conn

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startUpstream starts an upstream that handles each connection with serve, and returns its
// address.
func startUpstream(t *testing.T, serve func(c *net.TCPConn)) string {
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
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// sendTo sends a request to an upstream in one of the ways in which this package does.
func sendTo(req *http.Request, address string, way string) (*http.Response, error) {
	d := NewDialer(DialerConfig{})
	if way == "transport" {
		return d.Transport("").RoundTrip(req)
	}
	p := NewPool(PoolConfig{Dialer: d})
	resp, _, err := p.Send(req, SendOptions{
		Destination:     Destination{Address: address, MaxConnections: 4},
		FreshConnection: way == "fresh",
		OnInterim:       func(int, textproto.MIMEHeader) error { return nil },
	})
	return resp, err
}

// ways are the values of the last argument of sendTo.
var ways = []string{"shared", "fresh", "transport"}

// Guards against a response that the upstream broke off with a reset and that is taken for a
// complete one, because the write of the request took the error of the reset.
func TestResetDuringUploadIsNotTheEndOfABody(t *testing.T) {
	const rounds = 100
	for _, way := range ways {
		t.Run(way, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 0))
			for i := range rounds {
				n := 40 + random.IntN(300<<10)
				pause := time.Duration(random.IntN(3)) * time.Millisecond
				address := startUpstream(t, func(c *net.TCPConn) {
					_ = c.SetReadBuffer(4 << 10)
					_, _ = c.Read(make([]byte, 1))
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", n))
					time.Sleep(pause)
					_ = c.SetLinger(0)
				})
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", io.NopCloser(bytes.NewReader(make([]byte, 4<<20))))
				require.NoError(t, err)
				resp, err := sendTo(req, address, way)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				require.Error(t, err, "round %d, %d bytes of the body", i, n)
			}
		})
	}
}
