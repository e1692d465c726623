package conn

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endlessHeads are the beginnings of responses and the text that is repeated behind them without end.
var endlessHeads = map[string]struct{ start, text string }{
	"status line":             {"HTTP/1.1 200 ", "x"},
	"name":                    {"HTTP/1.1 200 OK\r\n", "x"},
	"value":                   {"HTTP/1.1 200 OK\r\nX-Fo: ", "x"},
	"fields":                  {"HTTP/1.1 200 OK\r\n", "X-Fo: v\r\n"},
	"fields of one letter":    {"HTTP/1.1 200 OK\r\n", "A:\r\n"},
	"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"chunk extension":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
	"trailer":                 {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Fo: v\r\n"},
}

// startEndlessUpstream starts an upstream that responds with start, and then with text without end.
func startEndlessUpstream(t *testing.T, start, text string) string {
	part := []byte(strings.Repeat(text, 1+(16<<10)/len(text)))
	return startUpstream(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 4<<10))
		_, err := io.WriteString(c, start)
		for err == nil {
			_, err = c.Write(part)
		}
	})
}

// Guards against an upstream, peer or platform service that sends a head without end, whose bytes are
// kept until the process runs out of memory. An instance with 284 MB has hundreds of calls at a time.
func TestEndlessHeadNeedsLittleMemory(t *testing.T) {
	const calls, maxBytesPerCall = 20, 1 << 20
	for name, c := range endlessHeads {
		for _, way := range ways {
			t.Run(name+" "+way, func(t *testing.T) {
				address := startEndlessUpstream(t, c.start, c.text)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				allocated := allocatedBytes()
				for range calls {
					req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", http.NoBody)
					require.NoError(t, err)
					resp, err := sendTo(req, address, way)
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					}
					require.Error(t, err)
				}
				require.NoError(t, ctx.Err(), "the calls must end before their deadline")
				require.Less(t, allocatedBytes()-allocated, uint64(calls*maxBytesPerCall))
			})
		}
	}
}

// The same for the gateway through which upstreams of a region are reached.
func TestEndlessHeadOfAGatewayNeedsLittleMemory(t *testing.T) {
	const calls, maxBytesPerCall = 10, 1 << 20
	for name, c := range endlessHeads {
		if !strings.Contains(c.start, "chunked") {
			t.Run(name, func(t *testing.T) {
				d := NewDialer(DialerConfig{Gateways: map[string]string{"r": startEndlessUpstream(t, c.start, c.text)}})
				allocated := allocatedBytes()
				for range calls {
					_, err := d.Dial(t.Context(), "r", "127.0.0.1:1")
					require.Error(t, err)
				}
				require.Less(t, allocatedBytes()-allocated, uint64(calls*maxBytesPerCall))
			})
		}
	}
}

// allocatedBytes returns the bytes that the process has allocated so far.
func allocatedBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
