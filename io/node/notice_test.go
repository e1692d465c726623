package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/platform/stand"
)

// arrivalsSince returns the number of requests that an upstream has received since a time.
func arrivalsSince(u *stand.Upstream, from time.Time) int {
	n := 0
	for _, a := range u.Arrivals() {
		if !a.At.Before(from) {
			n++
		}
	}
	return n
}

// Guards against requests to an upstream that says in its responses that it is leaving,
// while the store still lists it as ready or lists it again.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	tc := newTestCluster(t)
	tc.startReads(8)
	time.Sleep(300 * time.Millisecond)
	leaving := tc.upstreams[0]
	leaving.SetLeaving(true)
	time.Sleep(500 * time.Millisecond)
	from := time.Now()
	leaving.Register(tc.store, "ready")
	time.Sleep(500 * time.Millisecond)
	leaving.Deregister(tc.store)
	time.Sleep(500 * time.Millisecond)
	leaving.Register(tc.store, "ready")
	time.Sleep(time.Second)
	require.Zero(t, arrivalsSince(leaving, from))
}

// Guards against an upstream that is left out because of an earlier upstream, or an
// earlier run, that left.
func TestUpstreamThatStartsAgainAfterLeavingIsUsed(t *testing.T) {
	tc := newTestCluster(t)
	tc.upstreams[0].SetLeaving(true)
	tc.startReads(8)
	time.Sleep(500 * time.Millisecond)
	again := stand.NewUpstream(stand.UpstreamConfig{ID: "u1", Service: "svc", Zone: "east-a", Slots: 4, WorkDuration: 20 * time.Millisecond, Incarnation: 2})
	t.Cleanup(again.Close)
	again.Register(tc.store, "ready")
	require.Eventually(t, func() bool { return len(again.Arrivals()) > 0 }, applyTimeout, 10*time.Millisecond)
}

// Guards against requests and probes to an upstream that asked this entry to back off,
// and against a wave of them afterwards.
func TestUpstreamIsLeftAloneForItsRetryAfter(t *testing.T) {
	tc := newTestCluster(t)
	tc.startReads(8)
	time.Sleep(300 * time.Millisecond)
	pausing := tc.upstreams[0]
	pausing.SetRetryAfter("2.5")
	pausing.SetResponseMode(stand.RejectRequest)
	time.Sleep(500 * time.Millisecond)
	from := time.Now()
	require.NotEmpty(t, pausing.Arrivals())
	time.Sleep(1700 * time.Millisecond)
	require.Zero(t, arrivalsSince(pausing, from))
	require.Zero(t, pausing.ProbesSince(from))
	require.Eventually(t, func() bool { return arrivalsSince(pausing, from) > 0 }, 3*time.Second, time.Millisecond)
	returned := time.Now()
	time.Sleep(time.Second)
	require.LessOrEqual(t, arrivalsSince(pausing, returned), 1, "the first request is rejected again, and no other passes with it")
}

// Load pattern: all upstreams of a service ask the entry to back off. Requests are
// refused at once, with the earliest time at which an upstream takes them again.
func TestAllUpstreamsWantNoRequests(t *testing.T) {
	tc := newTestCluster(t)
	tc.setResponseMode(stand.RejectRequest)
	tc.upstreams[0].SetRetryAfter("30")
	tc.upstreams[1].SetRetryAfter("10")
	for range 4 {
		_, _ = tc.send("GET", "/reads/1", "")
	}
	start := time.Now()
	resp, _ := tc.send("POST", "/writes/1", "x")
	require.Less(t, time.Since(start), 200*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	seconds, err := time.ParseDuration(resp.retryAfter + "s")
	require.NoError(t, err)
	require.InDelta(t, 10, seconds.Seconds(), 1)
}
