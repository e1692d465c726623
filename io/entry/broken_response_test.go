package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/io/call"
)

// Guards against broken responses of upstreams that reach callers, and against a panic for a status
// that http.ResponseWriter does not take.
func TestBrokenResponseReachesNoCaller(t *testing.T) {
	for name, response := range map[string]string{
		"000":                 "HTTP/1.1 000 No\r\nContent-Length: 6\r\n\r\nbroken",
		"000 with a response": "HTTP/1.1 000 No\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbroken",
		"600":                 "HTTP/1.1 600 No\r\nContent-Length: 6\r\n\r\nbroken",
		"version":             "HTTP/2.0 200 OK\r\nContent-Length: 6\r\n\r\nbroken",
		"blank in a name":     "HTTP/1.1 200 OK\r\nX Fo: v\r\nContent-Length: 6\r\n\r\nbroken",
		"blank after a name":  "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nbroken",
		"folded line":         "HTTP/1.1 200 OK\r\nX-Fo: a\r\n : v\r\nContent-Length: 6\r\n\r\nbroken",
		"endless head":        "HTTP/1.1 200 OK\r\nX-Fo: " + strings.Repeat("x", 1<<20),
		"malformed trailer":   "HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\nX Fo: v\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t, 1, magnolialedge.KeyLookupStore, respondRaw(response))
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				path := "/read"
				if method == http.MethodPost {
					path = "/pay"
				}
				resp, body := send(t, method, serviceURL(s, 0, path), "", "Idempotency-Key", newUUID())
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, body)
				require.NotContains(t, body, "broken")
				require.Equal(t, string(magnolialedge.OutcomeUnknown), resp.Header.Get(call.HeaderOutcome))
			}
		})
	}
}

// respondRaw returns a handler that writes a response as it is and closes the connection.
func respondRaw(response string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, response)
	})
}

// Guards against a request that is refused as one that crashes upstreams, although its upstream only
// sends broken responses: it lives.
func TestBrokenResponsesAreNoCrash(t *testing.T) {
	s := startSystem(t, 1, magnolialedge.KeyLookupStore, respondRaw("HTTP/1.1 200 OK\r\nX Fo: v\r\nContent-Length: 0\r\n\r\n"))
	for range 5 {
		resp, body := send(t, http.MethodGet, serviceURL(s, 0, "/read"), "")
		require.Equal(t, http.StatusBadGateway, resp.StatusCode, body)
	}
}
