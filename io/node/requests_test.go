package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/io/node"
	"magnolialedge/platform/stand"
)

func TestRequestIsForwardedAndResponseReturned(t *testing.T) {
	tc := newTestCluster(t)
	resp, id := tc.send("GET", "/reads/7?x=1%202", "")
	require.Equal(t, http.StatusOK, resp.status)
	require.Contains(t, resp.body, "GET /reads/7?x=1%202 0")
	require.NotEmpty(t, resp.signature)
	require.Equal(t, id, resp.id)
	resp, _ = tc.send("POST", "/writes/7", "hello")
	require.Contains(t, resp.body, "POST /writes/7 5")
	resp, _ = tc.send("GET", "/nothing/7", "")
	require.Equal(t, http.StatusNotFound, resp.status)
}

func TestNonIdempotentRequestIsNotRetriedAfterLostResponse(t *testing.T) {
	tc := newTestCluster(t)
	tc.setResponseMode(stand.ResetAfterRun)
	resp, id := tc.send("POST", "/writes/1", "x")
	require.Equal(t, http.StatusBadGateway, resp.status)
	require.Equal(t, 1, tc.runCount(id))
}

func TestSafeRequestIsRetriedAfterLostResponse(t *testing.T) {
	tc := newTestCluster(t)
	tc.upstreams[0].SetResponseMode(stand.ResetAfterRun)
	for range 6 {
		resp, id := tc.send("GET", "/reads/1", "")
		require.Equal(t, http.StatusOK, resp.status)
		require.LessOrEqual(t, tc.runCount(id), 2)
	}
}

func TestRejectedRequestIsNotRunAndGetsRetryAfter(t *testing.T) {
	tc := newTestCluster(t)
	tc.setResponseMode(stand.RejectRequest)
	for _, method := range []string{"GET", "POST"} {
		path := map[string]string{"GET": "/reads/1", "POST": "/writes/1"}[method]
		start := time.Now()
		resp, id := tc.send(method, path, map[string]string{"POST": "x"}[method])
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.NotEmpty(t, resp.retryAfter)
		require.Zero(t, tc.runCount(id))
		require.Less(t, time.Since(start), 900*time.Millisecond)
	}
}

func TestRejectedNonIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	tc := newTestCluster(t)
	tc.upstreams[0].SetResponseMode(stand.RejectRequest)
	for range 6 {
		resp, id := tc.send("POST", "/writes/1", "x")
		require.Equal(t, http.StatusOK, resp.status)
		require.Equal(t, 1, tc.runCount(id))
	}
}

func TestSuccessWithoutSignatureIsBadGateway(t *testing.T) {
	tc := newTestCluster(t)
	tc.setResponseMode(stand.OmitSignature)
	resp, id := tc.send("POST", "/writes/1", "x")
	require.Equal(t, http.StatusBadGateway, resp.status)
	require.Equal(t, 1, tc.runCount(id))
}

func TestTruncatedResponseIsBadGateway(t *testing.T) {
	tc := newTestCluster(t)
	tc.setResponseMode(stand.TruncateBody)
	resp, id := tc.send("POST", "/writes/1", "x")
	require.Equal(t, http.StatusBadGateway, resp.status)
	require.Equal(t, 1, tc.runCount(id))
}

func TestDuplicateResponseIsDiscarded(t *testing.T) {
	tc := newTestCluster(t)
	tc.setResponseMode(stand.DuplicateResponse)
	for i := range 12 {
		path := fmt.Sprintf("/reads/%d", i)
		resp, id := tc.send("GET", path, "")
		require.Equal(t, http.StatusOK, resp.status)
		require.Contains(t, resp.body, path+" ")
		require.Equal(t, id, resp.id)
	}
}

func TestRouteTimeoutIsEnforced(t *testing.T) {
	tc := newTestCluster(t)
	tc.setResponseMode(stand.HangDuringRun)
	start := time.Now()
	resp, _ := tc.send("POST", "/writes/1", "x")
	require.Equal(t, http.StatusGatewayTimeout, resp.status)
	require.InDelta(t, 1.0, time.Since(start).Seconds(), 0.3)
}

func TestCallerDisconnectCancelsUpstreamRequests(t *testing.T) {
	tc := newTestCluster(t)
	tc.setResponseMode(stand.HangDuringRun)
	c, err := net.Dial("tcp", tc.entries[0].settings.CallerAddress)
	require.NoError(t, err)
	requestFormat := "GET /reads/%d HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: left-%d\r\nX-Deadline-Ms: 2000\r\n\r\n"
	for i := range 3 {
		_, err = fmt.Fprintf(c, requestFormat, i, i)
		require.NoError(t, err)
	}
	allRun := func() bool {
		return tc.runCount("left-0") > 0 && tc.runCount("left-1") > 0 && tc.runCount("left-2") > 0
	}
	require.Eventually(t, allRun, time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	canceled := func() int { return tc.upstreams[0].CanceledRequests() + tc.upstreams[1].CanceledRequests() }
	require.Eventually(t, func() bool { return canceled() >= 3 }, 500*time.Millisecond, time.Millisecond)
}

func TestPipelinedRequestsRunConcurrentlyAndRespondInOrder(t *testing.T) {
	tc := newTestCluster(t)
	tc.upstreams[0].SetSlowdown(8)
	tc.upstreams[1].SetSlowdown(8)
	c, err := net.Dial("tcp", tc.entries[0].settings.CallerAddress)
	require.NoError(t, err)
	defer c.Close()
	var requests strings.Builder
	for i := range 5 {
		fmt.Fprintf(&requests, "GET /reads/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: p%d\r\nX-Deadline-Ms: 2000\r\n\r\n", i, host, i)
	}
	start := time.Now()
	_, err = io.WriteString(c, requests.String())
	require.NoError(t, err)
	r := bufio.NewReader(c)
	for i := range 5 {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Contains(t, string(body), fmt.Sprintf("/reads/%d ", i))
	}
	require.Less(t, time.Since(start), 700*time.Millisecond)
}

func TestMalformedAndOversizedRequestsAreRejected(t *testing.T) {
	tc := newTestCluster(t)
	address := tc.entries[0].settings.CallerAddress
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"oversized head", "GET /reads/1 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", 431},
		{"oversized body", "POST /writes/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100001\r\n\r\n", 413},
		{"unfinished head", "GET /reads/1 HTTP/1.1\r\nHost: ", 408},
		{"malformed head", "nonsense\r\n\r\n", 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, c.text)
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, c.status, resp.StatusCode)
			require.True(t, resp.Close)
		})
	}
}

func TestChunkedBodyIsForwardedCompletely(t *testing.T) {
	tc := newTestCluster(t)
	conn, err := net.Dial("tcp", tc.entries[0].settings.CallerAddress)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /writes/1 HTTP/1.1\r\nHost: "+host+"\r\nX-Request-Id: c\r\nX-Deadline-Ms: 900\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "POST /writes/1 11")
}

func TestEarlyResponseToLargeBodyDoesNotCorruptLaterRequests(t *testing.T) {
	tc := newTestCluster(t)
	tc.setResponseMode(stand.RejectRequest)
	big := strings.Repeat("x", 90_000)
	for range 3 {
		resp, _ := tc.send("POST", "/writes/1", big)
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
	}
	tc.setResponseMode(stand.RespondNormally)
	require.Eventually(t, func() bool {
		resp, _ := tc.send("POST", "/writes/1", big)
		return resp.status == http.StatusOK && strings.Contains(resp.body, "90000")
	}, 2*time.Second, 20*time.Millisecond)
}

func TestHungUpstreamDoesNotBlockSafeRequests(t *testing.T) {
	tc := newTestCluster(t)
	tc.upstreams[0].SetResponseMode(stand.HangDuringRun)
	for range 4 {
		start := time.Now()
		resp, _ := tc.send("GET", "/reads/1", "")
		require.Equal(t, http.StatusOK, resp.status)
		require.Less(t, time.Since(start), 900*time.Millisecond)
	}
}

func TestReusedAddressDoesNotRunRequestsOfFormerUpstream(t *testing.T) {
	tc := newTestCluster(t)
	other := tc.addServiceUpstream("u3", "other")
	tc.store.Put("servers/ghost", []byte(fmt.Sprintf(`{"service":"svc","address":%q,"zone":"east-a","version":"v1","slots":4,"state":"ready","cold-left-ms":0,"seq":1,"born":1}`, other.Address())))
	time.Sleep(200 * time.Millisecond)
	for range 8 {
		resp, _ := tc.send("POST", "/writes/1", "x")
		require.Equal(t, http.StatusOK, resp.status)
	}
	require.Empty(t, other.Runs())
}

func TestConcurrentCallersGetTheirOwnResponses(t *testing.T) {
	tc := newTestCluster(t)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	errs := make(chan error, 16)
	for i := range 16 {
		go func() {
			for j := range 20 {
				path := fmt.Sprintf("/reads/%d-%d", i, j)
				resp, err := sendTo(context.Background(), client, tc.entries[0].settings.CallerAddress, "GET", path, "", fmt.Sprintf("many-%d-%d", i, j))
				if err == nil && resp.status == http.StatusOK && !strings.Contains(resp.body, path+" ") {
					err = fmt.Errorf("requested %s but received %s", path, resp.body)
				}
				if err != nil {
					errs <- err
					return
				}
			}
			errs <- nil
		}()
	}
	for range 16 {
		require.NoError(t, <-errs)
	}
}

// TestProbesStayWithinBudget sends far more requests than the budget allows
// probes.
func TestProbesStayWithinBudget(t *testing.T) {
	const perSec = 8
	tc := newTestCluster(t)
	e := tc.addEntryWith("e2", "127.0.0.2", func(s *node.Settings) { s.MaxProbesPerSec = perSec })
	before := tc.upstreams[0].Probes() + tc.upstreams[1].Probes()
	start := time.Now()
	for time.Since(start) < 3*time.Second {
		resp, err := sendTo(context.Background(), http.DefaultClient, e.settings.CallerAddress, "GET", "/reads/1", "", tc.nextID())
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.status)
	}
	probes := tc.upstreams[0].Probes() + tc.upstreams[1].Probes() - before
	require.LessOrEqual(t, probes, 2*perSec*3)
}
