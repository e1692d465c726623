package node_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/platform/stand"
)

func TestLargeResponseIsForwardedCompletely(t *testing.T) {
	tc := newTestCluster(t)
	for _, mode := range []stand.ResponseMode{stand.LargeBody, stand.LargeChunkedBody} {
		tc.setResponseMode(mode)
		resp, id := tc.send("GET", "/reads/long", "")
		require.Equal(t, http.StatusOK, resp.status)
		require.NotEmpty(t, resp.signature)
		require.Len(t, resp.body, stand.LargeBodyBytes)
		require.Equal(t, 1, tc.runCount(id))
		require.True(t, strings.HasSuffix(resp.body, "9abcdef"))
	}
	tc.setResponseMode(stand.RespondNormally)
	resp, _ := tc.send("GET", "/reads/short", "")
	require.Equal(t, http.StatusOK, resp.status)
}

func TestTruncatedLargeResponseIsReportedAsError(t *testing.T) {
	tc := newTestCluster(t)
	tc.setResponseMode(stand.TruncateLargeBody)
	id := tc.nextID()
	_, err := sendTo(context.Background(), &http.Client{}, tc.entries[0].settings.CallerAddress, "GET", "/reads/cut", "", id)
	require.Error(t, err)
	require.Eventually(t, func() bool {
		return strings.Contains(tc.entries[0].logs.String(), "requestId="+id+" route=reads") && strings.Contains(tc.entries[0].logs.String(), "result=cut")
	}, time.Second, 10*time.Millisecond)
}

// TestCallerDisconnectDuringLargeResponseReleasesUpstream closes the connection
// after the first part of the response. Each upstream has four slots, so requests
// would fail if the slots stayed occupied.
func TestCallerDisconnectDuringLargeResponseReleasesUpstream(t *testing.T) {
	tc := newTestCluster(t)
	tc.setResponseMode(stand.LargeBody)
	for range 10 {
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, "GET", "http://"+tc.entries[0].settings.CallerAddress+"/reads/long", nil)
		require.NoError(t, err)
		req.Host = host
		req.Header.Set("X-Request-Id", tc.nextID())
		resp, err := (&http.Client{}).Do(req)
		require.NoError(t, err)
		_, err = io.CopyN(io.Discard, resp.Body, 1<<20)
		require.NoError(t, err)
		cancel()
		_ = resp.Body.Close()
	}
	tc.setResponseMode(stand.RespondNormally)
	require.Eventually(t, func() bool {
		resp, _ := tc.send("GET", "/reads/short", "")
		return resp.status == http.StatusOK
	}, time.Second, 10*time.Millisecond)
}
