package link

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// malformedFields are lines that are no field of a head, by what is wrong with them.
var malformedFields = map[string]string{
	"blank in a name":              "X Fo: v",
	"blank after a name":           "X-Fo : v",
	"tab after a name":             "X-Fo\t: v",
	"blank after Content-Length":   "Content-Length : 5",
	"blank in Content-Length":      "Content Length: 5",
	"blank after a coding":         "Transfer-Encoding : chunked",
	"blank in a coding's name":     "Transfer Encoding: chunked",
	"control byte in a name":       "X-\x01Fo: v",
	"delete in a name":             "X-\x7fFo: v",
	"zero byte in a value":         "X-Fo: a\x00b",
	"control byte in a value":      "X-Fo: a\x1bb",
	"carriage return in a value":   "X-Fo: a\rb",
	"carriage return in a name":    "X\r-Fo: v",
	"delimiter in a name":          "X(Fo): v",
	"byte outside ASCII in a name": "X-F\xf6: v",
	"no colon":                     "X-Fo v",
	"no name":                      ": v",
	"folded line":                  " folded",
	"folded line with a colon":     " : v",
	"line folded with a tab":       "\tX-Fo: v",
}

// headsWith returns heads of responses to getRequest that have a line at each place.
func headsWith(line string) []string {
	fields := []string{"HTTP/1.1 200 OK", "Request-Id: 7", "Signature: s"}
	var heads []string
	for i := 1; i <= len(fields); i++ {
		lines := append(append(append([]string{}, fields[:i]...), line), fields[i:]...)
		heads = append(heads, strings.Join(lines, "\r\n")+"\r\n")
	}
	return heads
}

// Guards against a response that is passed on although its head is malformed: with the line as it is,
// with another value of the line before, or with a body that is not the upstream's.
func TestHeadWithAMalformedFieldIsNoResponse(t *testing.T) {
	for name, line := range malformedFields {
		t.Run(name, func(t *testing.T) {
			for _, head := range headsWith(line) {
				for _, rest := range []string{"Content-Length: 2\r\n\r\nok", "\r\nhello", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
					requireNoResponse(t, head+rest)
					requireNoResponse(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+head+rest)
					requireNoResponse(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+ownResponse)
				}
			}
		})
	}
}

// The same for a head behind the response to another request, which has already been read from the
// connection.
func TestMalformedHeadBehindAnotherResponseIsNoResponse(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nRequest-Id: 6\r\nSignature: s\r\nContent-Length: 3\r\n\r\nold"
	for _, line := range malformedFields {
		requireNoResponse(t, foreign+headsWith(line)[2]+"Content-Length: 2\r\n\r\nok")
	}
}

// requireNoResponse requires that an upstream that sends text has not responded to a request, and
// that the connection is not used again.
func requireNoResponse(t *testing.T, text string) {
	t.Helper()
	c := scriptedConn(t, text, true)
	resp, sent, err := roundTrip(c, getRequest())
	require.Error(t, err, "%q", text)
	require.Nil(t, resp, "%q", text)
	require.True(t, sent.Written)
	require.False(t, c.isReusable(), "%q", text)
	require.NotContains(t, strings.Trim(err.Error(), "\n"), "\x00")
	require.NotRegexp(t, "[\x00-\x1f\x7f]", err.Error(), "%q", text)
}

// The same for a response to a health check, whose report must not be used.
func TestMalformedHealthResponseIsAnError(t *testing.T) {
	for _, line := range malformedFields {
		c := scriptedConn(t, "HTTP/1.1 200 OK\r\nInstance: u\r\n"+line+"\r\nContent-Length: 0\r\n\r\n", true)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		report, err := c.CheckHealth(ctx, "h", "/health")
		cancel()
		require.Error(t, err, "%q", line)
		require.Zero(t, report)
		require.False(t, c.isReusable())
	}
}

// Unusual heads that are valid are responses, however they are cut into segments.
func TestUnusualValidHeadsAreResponses(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200\r\nrequest-id:7\r\nSIGNATURE:\ts\t\r\n",
		"HTTP/1.0 200 \r\nRequest-Id: 7\r\nSignature: s\r\nEmpty:\r\n",
		"HTTP/1.1 200 OK\nRequest-Id: 7\nSignature: s\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nSignature: s\r\nX!#$%&'*+-.^_`|~9: (\"\xf6\xff\")\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 7\r\nSignature: s\r\n",
	} {
		resp, _, err := roundTrip(scriptedConn(t, head+"Content-Length: 2\r\n\r\nok", false), getRequest())
		require.NoError(t, err, "%q", head)
		require.Equal(t, http.StatusOK, resp.Status)
		require.Equal(t, "ok", string(resp.Body))
	}
}

// Guards against the body of a response that is passed on as the response: a status below 100 is taken
// for an informational one, behind which the response is expected.
func TestBodyOfAnInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "042", "099"} {
		for _, fields := range []string{"", "Request-Id: 7\r\nSignature: s\r\n", "Content-Length: 80\r\n"} {
			requireNoResponse(t, "HTTP/1.1 "+status+" No\r\n"+fields+"\r\n"+ownResponse)
			requireNoResponse(t, "HTTP/1.1 "+status+"\r\n"+fields+"\r\n")
		}
	}
}

// Guards against a response that is passed on although its status is none that HTTP defines.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"600", "666", "999", "+20", "-20", "20", "2000", "2 0", "", "2\x000", "OK"} {
		requireNoResponse(t, "HTTP/1.1 "+status+" No\r\nRequest-Id: 7\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Guards against a response that is passed on although it is of another version of HTTP, whose messages
// have other bounds (RFC 9112, 2.3).
func TestResponseOfAnotherVersionIsNoResponse(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HTTP/2", "HTTP/1.", "HTTP/1.10", "http/1.1", "HTTQ/1.1", "HTTP/1,1", "ICY", ""} {
		requireNoResponse(t, version+" 200 OK\r\nRequest-Id: 7\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok")
	}
}
