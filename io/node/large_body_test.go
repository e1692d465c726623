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

func TestLongAnswerIsPassedOnWhole(t *testing.T) {
	w := newWorld(t)
	for _, m := range []stand.ResponseMode{stand.LargeBody, stand.LargeChunkedBody} {
		w.setManner(m)
		a, id := w.call("GET", "/reads/long", "")
		require.Equal(t, http.StatusOK, a.status)
		require.NotEmpty(t, a.signature)
		require.Len(t, a.body, stand.LargeBodyBytes)
		require.Equal(t, 1, w.runs(id))
		require.True(t, strings.HasSuffix(a.body, "9abcdef"))
	}
	w.setManner(stand.RespondNormally)
	a, _ := w.call("GET", "/reads/short", "")
	require.Equal(t, http.StatusOK, a.status)
}

func TestLongAnswerThatBreaksOffDoesNotLookWhole(t *testing.T) {
	w := newWorld(t)
	w.setManner(stand.TruncateLargeBody)
	id := w.nextID()
	_, err := callAt(context.Background(), &http.Client{}, w.entries[0].settings.CallerAddress, "GET", "/reads/cut", "", id)
	require.Error(t, err)
	require.Eventually(t, func() bool {
		return strings.Contains(w.entries[0].logs.String(), "requestId="+id+" route=reads") && strings.Contains(w.entries[0].logs.String(), "result=cut")
	}, time.Second, 10*time.Millisecond)
}

// TestCallerThatLeavesALongAnswerFreesItsUpstream reads a part of the answer
// only.
func TestCallerThatLeavesALongAnswerFreesItsUpstream(t *testing.T) {
	w := newWorld(t)
	w.setManner(stand.LargeBody)
	for range 10 {
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, "GET", "http://"+w.entries[0].settings.CallerAddress+"/reads/long", nil)
		require.NoError(t, err)
		req.Host = host
		req.Header.Set("X-Request-Id", w.nextID())
		resp, err := (&http.Client{}).Do(req)
		require.NoError(t, err)
		_, err = io.CopyN(io.Discard, resp.Body, 1<<20)
		require.NoError(t, err)
		cancel()
		_ = resp.Body.Close()
	}
	w.setManner(stand.RespondNormally)
	require.Eventually(t, func() bool {
		a, _ := w.call("GET", "/reads/short", "")
		return a.status == http.StatusOK
	}, time.Second, 10*time.Millisecond)
}
