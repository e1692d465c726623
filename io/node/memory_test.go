package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/io/node"
	"magnolialedge/platform/stand"
)

// heldBytes returns what an entry holds on behalf of requests, by holder.
func (e *testEntry) heldBytes(t *testing.T) map[string]int64 {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/v1/dump", e.settings.IP, e.metricsPort))
	require.NoError(t, err)
	defer resp.Body.Close()
	var dump struct {
		HeldBytes map[string]int64 `json:"heldBytes"`
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&dump))
	return dump.HeldBytes
}

// TestHeldMemoryIsReleasedOnEveryPath guards against reservations that are not released after a
// retry, a hedge, a reset, a handover, a truncated or refused body, or a caller that leaves. Each
// leaves less memory for later requests.
func TestHeldMemoryIsReleasedOnEveryPath(t *testing.T) {
	tc := newTestCluster(t)
	e := tc.addEntryWith("e2", "127.0.0.2", func(s *node.Settings) { s.MemoryMB = 8 })
	modes := []stand.ResponseMode{
		stand.RespondNormally, stand.RespondError, stand.RejectRequest, stand.HangDuringRun, stand.ResetAfterRun, stand.TruncateBody,
		stand.LargeBody, stand.LargeChunkedBody, stand.TruncateLargeBody, stand.EndlessError,
	}
	r := rand.New(rand.NewPCG(1, 1))
	held := int64(0)
	for round := range 12 {
		for _, u := range tc.upstreams {
			u.SetResponseMode(modes[r.IntN(len(modes))])
		}
		if round == 8 {
			e.partition.Set(stand.PartitionReset)
		}
		var group sync.WaitGroup
		for i := range 24 {
			patience := time.Duration(1+r.IntN(400)) * time.Millisecond
			body := strings.Repeat("x", r.IntN(100_000))
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				method, path := "GET", "/reads/1"
				if i%2 == 0 {
					method, path = "POST", "/writes/1"
				}
				_, _ = sendTo(ctx, &http.Client{Transport: &http.Transport{}}, e.settings.CallerAddress, method, path, body, tc.nextID())
			})
		}
		for _, n := range e.heldBytes(t) {
			held = max(held, n)
		}
		group.Wait()
	}
	require.Positive(t, held)
	isReleased := func() bool {
		for _, e := range tc.entries {
			for _, n := range e.heldBytes(t) {
				if n != 0 {
					return false
				}
			}
		}
		return true
	}
	require.Eventually(t, isReleased, 5*time.Second, 20*time.Millisecond, "held: %v", e.heldBytes(t))
}

// TestLongServerErrorIsRetriedOrPassedOn guards against a server error that cannot be held and
// that neither the caller gets nor another upstream replaces.
func TestLongServerErrorIsRetriedOrPassedOn(t *testing.T) {
	tc := newTestCluster(t)
	status := func(method, path string) int {
		req, err := http.NewRequest(method, "http://"+tc.entries[0].settings.CallerAddress+path, nil)
		require.NoError(t, err)
		req.Host = host
		req.Header.Set("X-Request-Id", tc.nextID())
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		if resp.StatusCode == http.StatusInternalServerError {
			require.NotEmpty(t, resp.Header.Get("X-Response-Signature"))
			_, err = io.CopyN(io.Discard, resp.Body, 1<<20)
			require.NoError(t, err)
		}
		return resp.StatusCode
	}
	tc.upstreams[0].SetResponseMode(stand.EndlessError)
	for range 6 {
		require.Equal(t, http.StatusOK, status("GET", "/reads/1"))
	}
	tc.setResponseMode(stand.EndlessError)
	require.Equal(t, http.StatusInternalServerError, status("POST", "/writes/1"))
	require.Equal(t, http.StatusInternalServerError, status("GET", "/reads/1"))
}
