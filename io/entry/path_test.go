package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	got := make(chan http.Header, 1)
	s := startSystem(t, 1, magnolialedge.KeyLookupStore, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Clone()
		w.Header().Set("Connection", "X-Response-Hop")
		w.Header().Set("X-Response-Hop", "1")
		w.Header().Set("X-End", "2")
	}))
	resp, _ := send(t, "GET", serviceURL(s, 0, "/a"), "", "Connection", "X-Hop, close", "X-Hop", "1", "X-End", "1", "Keep-Alive", "5",
		"Request-Id", "mine", "Request-Timeout-Ms", "2000")
	seen := <-got
	require.Empty(t, seen.Get("X-Hop"))
	require.Empty(t, seen.Get("Keep-Alive"))
	require.Equal(t, "1", seen.Get("X-End"))
	require.Equal(t, "mine", seen.Get("Request-Id"))
	var timeoutMs int
	_, err := fmt.Sscan(seen.Get("Request-Timeout-Ms"), &timeoutMs)
	require.NoError(t, err)
	require.InDelta(t, 1900, timeoutMs, 100)
	require.Equal(t, "mine", resp.Header.Get("Request-Id"))
	require.Empty(t, resp.Header.Get("X-Response-Hop"))
	require.Equal(t, "2", resp.Header.Get("X-End"))
	require.Equal(t, "ran", resp.Header.Get("Request-Outcome"))
}

func TestChunkedBodyAndTrailersAreForwarded(t *testing.T) {
	s := startSystem(t, 1, magnolialedge.KeyLookupStore, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Trailer", "X-Sum")
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body)
		w.(http.Flusher).Flush()
		w.Header().Set("X-Sum", fmt.Sprint(len(body), r.Trailer.Get("X-In")))
	}))
	for _, size := range []int{10, 300 << 10} {
		body := strings.Repeat("b", size)
		req, err := http.NewRequest("PUT", serviceURL(s, 0, "/a"), io.NopCloser(strings.NewReader(body)))
		require.NoError(t, err)
		req.Trailer = http.Header{"X-In": {"in"}}
		req.ContentLength = -1
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		got, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, body, string(got))
		require.Equal(t, fmt.Sprint(size, "in"), resp.Trailer.Get("X-Sum"))
	}
}

func TestHeadAnd304HaveNoBody(t *testing.T) {
	s := startSystem(t, 1, magnolialedge.KeyLookupStore, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/304" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("Content-Length", "1234")
		w.WriteHeader(http.StatusOK)
	}))
	resp, body := send(t, "HEAD", serviceURL(s, 0, "/a"), "")
	require.EqualValues(t, 1234, resp.ContentLength)
	require.Empty(t, body)
	resp, body = send(t, "GET", serviceURL(s, 0, "/304"), "")
	require.Equal(t, http.StatusNotModified, resp.StatusCode)
	require.Empty(t, body)
}

func TestInterimResponsesAreForwarded(t *testing.T) {
	s := startSystem(t, 1, magnolialedge.KeyLookupStore, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</style.css>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		_, _ = io.WriteString(w, "done")
	}))
	var hints []string
	trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
		hints = append(hints, fmt.Sprint(code, h.Get("Link")))
		return nil
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), "GET", serviceURL(s, 0, "/a"), nil)
	require.NoError(t, err)
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, []string{"103</style.css>; rel=preload"}, hints)
	require.Empty(t, resp.Header.Get("Link"))
}

func TestLargeResponseIsStreamedAndTruncationReachesCaller(t *testing.T) {
	s := startSystem(t, 1, magnolialedge.KeyLookupStore, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), 1<<20))
		if r.URL.Path == "/cut" {
			panic(http.ErrAbortHandler)
		}
	}))
	_, body := send(t, "GET", serviceURL(s, 0, "/whole"), "")
	require.Len(t, body, 1<<20)
	resp, err := http.Get(serviceURL(s, 0, "/cut"))
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
}

func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	canceled := make(chan struct{})
	s := startSystem(t, 1, magnolialedge.KeyLookupStore, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(canceled)
	}))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", serviceURL(s, 0, "/a"), nil)
	require.NoError(t, err)
	_, err = http.DefaultTransport.RoundTrip(req)
	require.Error(t, err)
	select {
	case <-canceled:
	case <-time.After(2 * time.Second):
		t.Fatal("the upstream request was not cancelled within 2 s")
	}
}

// TestMalformedRequestsReachNoUpstream guards against request smuggling and rule bypass: the
// entry must reject requests that it and an upstream could parse differently, and requests
// that lack a valid idempotency key.
func TestMalformedRequestsReachNoUpstream(t *testing.T) {
	var received atomic.Int64
	s := startSystem(t, 1, magnolialedge.KeyLookupStore, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received.Add(1)
	}))
	for name, text := range map[string]string{
		"two lengths":         "POST /s/echo/a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"length and chunked":  "POST /s/echo/a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"space before colon":  "GET /s/echo/a HTTP/1.1\r\nHost: h\r\nX : 1\r\n\r\n",
		"two hosts":           "GET /s/echo/a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
		"no host":             "GET /s/echo/a HTTP/1.1\r\n\r\n",
		"invalid escape":      "GET /s/echo/%zz HTTP/1.1\r\nHost: h\r\n\r\n",
		"negative length":     "POST /s/echo/a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
		"unknown service":     "GET /s/nobody/a HTTP/1.1\r\nHost: h\r\n\r\n",
		"no service":          "GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n",
		"invalid timeout":     "GET /s/echo/a HTTP/1.1\r\nHost: h\r\nRequest-Timeout-Ms: soon\r\n\r\n",
		"large header":        "GET /s/echo/a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 80<<10) + "\r\n\r\n",
		"key missing":         "POST /s/echo/pay HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
		"key malformed":       "POST /s/echo/pay HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nIdempotency-Key: 7\r\n\r\n",
		"key of version 4":    "POST /s/echo/pay HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nIdempotency-Key: 0c7fbb6a-1b55-4d3e-9d37-2f6c2d9c8f11\r\n\r\n",
		"key from the future": "POST /s/echo/pay HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nIdempotency-Key: 7fffffff-ffff-7000-8000-000000000000\r\n\r\n",
		"key too old":         "POST /s/echo/pay HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nIdempotency-Key: 01000000-0000-7000-8000-000000000000\r\n\r\n",
		"escaped rule path":   "POST /s/echo/%70ay HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
		"rule path with ..":   "POST /s/echo/x/../pay HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			resp := sendRaw(t, s.Entries[0].Self().CallerAddress, text)
			require.GreaterOrEqual(t, resp.StatusCode, 400)
			require.Less(t, resp.StatusCode, 500)
			require.Zero(t, received.Load())
		})
	}
}

// TestUnknownTransferCodingsReturn501 checks the status that RFC 9112, section 6.1, requires.
// The HTTP library sends it before any handler sees the request.
func TestUnknownTransferCodingsReturn501(t *testing.T) {
	s := startSystem(t, 1, magnolialedge.KeyLookupStore, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("an upstream received a request")
	}))
	for _, coding := range []string{"chunked, chunked", "xchunked", "identity"} {
		text := "POST /s/echo/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding + "\r\n\r\n0\r\n\r\n"
		require.Equal(t, http.StatusNotImplemented, sendRaw(t, s.Entries[0].Self().CallerAddress, text).StatusCode)
	}
}

func TestErrorResponseBodyMatchesItsHeaders(t *testing.T) {
	s := startSystem(t, 1, magnolialedge.KeyLookupStore, http.NotFoundHandler())
	resp, body := send(t, "POST", serviceURL(s, 0, "/pay"), "")
	var got map[string]any
	require.NoError(t, json.Unmarshal([]byte(body), &got))
	require.Equal(t, "keyMissing", got["kind"])
	require.Equal(t, "notRun", got["outcome"])
	require.Equal(t, got["kind"], resp.Header.Get("Request-Kind"))
	require.Equal(t, got["outcome"], resp.Header.Get("Request-Outcome"))
	require.Equal(t, resp.Header.Get("Request-Id"), got["requestId"])
}

func TestErrorKindsOfOverloadedSlowAndUnreachableUpstreams(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closedAddress := l.Addr().String()
	require.NoError(t, l.Close())
	s := startSystem(t, 1, magnolialedge.KeyLookupStore, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			<-r.Context().Done()
		}
		w.Header().Set("Request-Outcome", "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	resp, _ := send(t, "POST", serviceURL(s, 0, "/pay"), "", "Idempotency-Key", newUUID())
	require.Equal(t, "overloaded", resp.Header.Get("Request-Kind"))
	require.Equal(t, "notRun", resp.Header.Get("Request-Outcome"))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	start := time.Now()
	resp, _ = send(t, "POST", serviceURL(s, 0, "/late"), "", "Request-Timeout-Ms", "200")
	require.Equal(t, "deadlineExceeded", resp.Header.Get("Request-Kind"))
	require.Equal(t, "unknown", resp.Header.Get("Request-Outcome"))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Less(t, time.Since(start), time.Second)
	submitDocument(t, s, singleServiceDocument(magnolialedge.KeyLookupStore, closedAddress))
	resp, _ = send(t, "POST", serviceURL(s, 0, "/pay"), "", "Idempotency-Key", newUUID())
	require.Equal(t, "noUpstream", resp.Header.Get("Request-Kind"))
	require.Equal(t, "notRun", resp.Header.Get("Request-Outcome"))
}
