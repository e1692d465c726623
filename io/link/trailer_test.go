package link

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a chunked response that is passed on as complete although the trailer behind it has a
// malformed field (RFC 9112, 7.1.2). Folded lines in trailers are joined by net/http, as RFC 9112, 5.2
// allows; trailers are not passed on.
func TestMalformedTrailerEndsNoResponse(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	long := "40001\r\n" + strings.Repeat("x", 0x40001) + "\r\n"
	for name, line := range malformedFields {
		if strings.Contains(name, "folded") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			requireNoResponse(t, signedHead+chunked+"0\r\n"+line+"\r\n\r\n")
			requireNoResponse(t, signedHead+chunked+"0\r\nX-Fo: v\r\n"+line+"\r\n\r\n")
			c := scriptedConn(t, signedHead+chunked+long+"0\r\n"+line+"\r\n\r\n", true)
			resp, _, err := roundTrip(c, getRequest())
			require.NoError(t, err)
			require.NotNil(t, resp.Stream)
			_, err = io.Copy(io.Discard, resp.Stream)
			require.Error(t, err)
			require.Error(t, resp.Stream.Close())
			require.False(t, c.isReusable())
		})
	}
	c := scriptedConn(t, signedHead+chunked+"0\r\nX-Fo: v\r\n\r\n", false)
	resp, _, err := roundTrip(c, getRequest())
	require.NoError(t, err)
	require.Equal(t, "ok", string(resp.Body))
	require.NotContains(t, resp.Header, "X-Fo")
	require.True(t, c.isReusable())
}
