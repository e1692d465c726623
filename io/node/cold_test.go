package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/platform/stand"
)

const (
	testColdPerSecond = 3.7
	// coldBound is testColdPerSecond times the default overage, plus the default slack.
	coldBound = 13
	testCold  = 3 * time.Second
)

// maxArrivalsInASecond returns the largest number of requests that an upstream received in
// any second between two times, and the total between them.
func maxArrivalsInASecond(u *stand.Upstream, from, to time.Time) (most, total int) {
	var times []time.Time
	for _, a := range u.Arrivals() {
		if !a.At.Before(from) && a.At.Before(to) {
			times = append(times, a.At)
		}
	}
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most, len(times)
}

func (tc *testCluster) addColdUpstream(id string) *stand.Upstream {
	u := stand.NewUpstream(stand.UpstreamConfig{
		ID: id, Service: "svc", Zone: "east-a", Slots: 4, WorkDuration: 20 * time.Millisecond, Incarnation: time.Now().UnixMilli(),
		Cold: stand.ColdConfig{Duration: testCold, CrashAbove: coldBound},
	})
	tc.t.Cleanup(u.Close)
	u.Register(tc.store, "ready")
	tc.upstreams = append(tc.upstreams, u)
	return u
}

// Load pattern: three entries under load learn of an upstream that starts cold, and that is
// later cold again and says so only in health responses. It crashes above the bound.
func TestColdUpstreamReceivesFewRequestsFromAllEntries(t *testing.T) {
	tc := newTestCluster(t)
	tc.coldPerSecond = testColdPerSecond
	tc.putConfig()
	tc.addEntry("e2", "127.0.0.2")
	tc.addEntry("e3", "127.0.0.3")
	// Entries share no limit for 2 s after their start, and later entries grow for 2 s.
	time.Sleep(4 * time.Second)
	tc.startReads(6)
	from := time.Now()
	u := tc.addColdUpstream("cold")
	time.Sleep(testCold)
	most, total := maxArrivalsInASecond(u, from, from.Add(testCold))
	require.LessOrEqual(t, most, coldBound)
	require.GreaterOrEqual(t, total, 1, "it gets some requests")
	require.Zero(t, u.ProbesSince(from)-u.ProbesSince(from.Add(testCold)), "no probe while it is cold")
	require.False(t, u.HasCrashed())
	require.Eventually(t, func() bool {
		_, total := maxArrivalsInASecond(u, from.Add(testCold), time.Now())
		return total > 3*coldBound
	}, 4*time.Second, 50*time.Millisecond, "it gets more when it is warm")
}

// Guards against an entry that goes on as before because only another one has read that an
// upstream is cold.
func TestHealthResponseTellsAllEntriesThatAnUpstreamIsCold(t *testing.T) {
	tc := newTestCluster(t)
	tc.coldPerSecond = testColdPerSecond
	tc.putConfig()
	tc.addEntry("e2", "127.0.0.2")
	time.Sleep(500 * time.Millisecond)
	// An entry may use only one of them, so that both say it.
	for _, u := range tc.upstreams {
		u.SetCold(20 * time.Second)
	}
	for range 20 {
		_, _ = sendTo(t.Context(), http.DefaultClient, tc.entries[0].settings.CallerAddress, "GET", "/reads/1", "", tc.nextID())
		time.Sleep(20 * time.Millisecond)
	}
	for i, from := range []string{"from=response", "from=peer"} {
		require.Eventually(t, func() bool {
			for line := range strings.Lines(tc.entries[i].logs.String()) {
				if strings.Contains(line, "name=upstreamCold ") && strings.Contains(line, from) {
					return true
				}
			}
			return false
		}, 2*time.Second, 20*time.Millisecond, tc.entries[i].logs.String())
	}
}

// Guards against a report that a release without cold limits takes for an announced limit
// or its end, and against a dump or metric that does not show a cold upstream.
func TestReportOfAColdUpstreamSaysNothingOfAnAnnouncedLimit(t *testing.T) {
	tc := newTestCluster(t)
	tc.coldPerSecond = testColdPerSecond
	tc.putConfig()
	e := tc.addEntry("e2", "127.0.0.2")
	ask := func(method string, port int, path, body string) (int, string) {
		req, err := http.NewRequestWithContext(t.Context(), method, fmt.Sprintf("http://%s:%d%s", e.settings.IP, port, path), strings.NewReader(body))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(text)
	}
	report := func(body string) int {
		status, _ := ask(http.MethodPost, e.settings.FirstPort, "/v1/limit", body)
		return status
	}
	require.Equal(t, http.StatusBadRequest, report(`{"upstream":"u1","startedAt":1,"perSecond":-1}`), "as a reader without coldMs")
	require.Equal(t, http.StatusBadRequest, report(`{"upstream":"u1","startedAt":1,"perSecond":-1,"coldMs":-5}`))
	require.Equal(t, http.StatusBadRequest, report(`{"upstream":"u1","startedAt":1,"perSecond":-1,"coldMs":3600001}`))
	require.Equal(t, http.StatusNoContent, report(`{"upstream":"u1","startedAt":1,"perSecond":-1,"coldMs":60000}`))
	_, dump := ask(http.MethodGet, e.metricsPort, "/v1/dump", "")
	require.Contains(t, dump, `"cold":[{"upstream":"u1","service":"svc"`)
	_, metrics := ask(http.MethodGet, e.metricsPort, "/metrics", "")
	require.Contains(t, metrics, "magnolialedge_upstreams_cold 1")
	require.Contains(t, metrics, "magnolialedge_upstream_limits 0")
}
