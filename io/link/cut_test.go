package link

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a response of which the upstream sent only a part of the head before it
// closed the connection, and that is taken for a complete one with an empty body.
func TestHeadCutAtAnyByteIsAnError(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nSignature: s\r\n"
	for _, head := range []string{
		start + "\r\n",
		start + "Content-Length: 0\r\n\r\n",
		start + "Content-Length: 20\r\n\r\n",
		start + "Transfer-Encoding: chunked\r\n\r\n",
		start + "Connection: close\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nRequest-Id: 7\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + start + "\r\n",
	} {
		for cut := range len(head) {
			_, sent, err := roundTrip(scriptedConn(t, head[:cut], true), getRequest())
			require.Error(t, err, "%q", head[:cut])
			require.True(t, sent.Written)
		}
	}
}

// The same for a response to a health check, which would prove that the upstream is alive.
func TestHealthResponseCutAtAnyByteIsAnError(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nInstance: u\r\n\r\n", "HTTP/1.1 200 OK\r\nInstance: u\r\nContent-Length: 0\r\n\r\n"} {
		for cut := range len(head) {
			c := scriptedConn(t, head[:cut], true)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			_, err := c.CheckHealth(ctx, "h", "/health")
			cancel()
			require.Error(t, err, "%q", head[:cut])
			require.False(t, c.isReusable())
		}
	}
}
