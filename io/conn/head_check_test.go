package conn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// heads returns the heads that testdata/heads lists, one quoted head a line.
func heads(t *testing.T) []string {
	t.Helper()
	data, err := os.ReadFile("testdata/heads")
	require.NoError(t, err)
	var out []string
	for line := range strings.Lines(string(data)) {
		head, err := strconv.Unquote(strings.TrimSpace(line))
		require.NoError(t, err, line)
		out = append(out, head)
	}
	return out
}

// verdict checks a head that arrives in segments of n bytes.
func verdict(head string, n int) string {
	h := newHeadCheck()
	for rest := head; rest != ""; {
		segment := rest[:min(n, len(rest))]
		rest = rest[len(segment):]
		if _, err := h.check([]byte(segment)); err != nil {
			return err.Error()
		}
	}
	if !h.isComplete() {
		return "incomplete"
	}
	return "valid"
}

// Guards against heads that the two sides of a connection read differently. The verdict on each head
// does not depend on the segments in which it arrives.
func TestHeadCheck(t *testing.T) {
	var out strings.Builder
	for _, head := range heads(t) {
		want := verdict(head, len(head))
		for n := 1; n < len(head); n++ {
			require.Equal(t, want, verdict(head, n), "%q in segments of %d", head, n)
		}
		fmt.Fprintf(&out, "%q\n\t%s\n", head, want)
	}
	goldie.New(t).Assert(t, "heads", []byte(out.String()))
}

// Guards against responses of upstreams, peers and the platform that are used although their head is
// malformed, with another value of a field or another body than was sent.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for _, way := range ways {
		t.Run(way, func(t *testing.T) {
			for _, head := range heads(t) {
				address := startUpstream(t, func(c *net.TCPConn) {
					_, _ = c.Read(make([]byte, 4<<10))
					_, _ = io.WriteString(c, head)
				})
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", http.NoBody)
				require.NoError(t, err)
				resp, err := sendTo(req, address, way)
				if err == nil {
					_ = resp.Body.Close()
				}
				require.Equal(t, verdict(head, 1) == "valid", err == nil, "%q: %v", head, err)
			}
		})
	}
}

// Guards against a chunked response that is used although the trailer behind it is malformed.
func TestMalformedTrailerEndsNoResponse(t *testing.T) {
	for _, way := range ways {
		t.Run(way, func(t *testing.T) {
			for trailer, isValid := range map[string]bool{"": true, "X-Fo: v\r\n": true, "X Fo: v\r\n": false, "X-Fo : v\r\n": false, "X-Fo: a\x01b\r\n": false} {
				address := startUpstream(t, func(c *net.TCPConn) {
					_, _ = c.Read(make([]byte, 4<<10))
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTrailer: Y Fo\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+trailer+"\r\n")
				})
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", http.NoBody)
				require.NoError(t, err)
				resp, err := sendTo(req, address, way)
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.Equal(t, isValid, err == nil, "%q: %v", trailer, err)
				require.Equal(t, "ok", string(body))
				require.NoError(t, resp.Body.Close())
			}
		})
	}
}

// The limits on a head count informational responses and the final one together.
func TestHeadLimits(t *testing.T) {
	const start, end = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", "\r\n"
	padding := func(n int) string { return "X: " + strings.Repeat("x", n-len("X: \r\n")) + "\r\n" }
	fields := func(n int) string { return strings.Repeat("X: x\r\n", n) }
	const paddingBytes = maxResponseHeadBytes - len(start) - len(end)
	const fieldLines = maxResponseHeadLines - 4
	require.Equal(t, "valid", verdict(start+padding(paddingBytes)+end, 1000))
	require.Equal(t, ErrHeadTooLarge.Error(), verdict(start+padding(paddingBytes+1)+end, 1000))
	require.Equal(t, "valid", verdict(start+fields(fieldLines)+end, 1000))
	require.Equal(t, ErrHeadTooLarge.Error(), verdict(start+fields(fieldLines+1)+end, 1000))
}
