package node_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/platform/stand"
)

const (
	// limitWindow is the time over which the requests to a limited upstream count.
	limitWindow = 4 * time.Second
	// limitSlack and limitExtra are by how much the requests in a window may exceed
	// the limit: a factor and a number.
	limitSlack = 1.5
	limitExtra = 5
	// limitGrace is the time after an upstream first announced its limit from which it
	// must be kept.
	limitGrace = 3 * time.Second
)

// maxArrivals returns the largest number of requests that an upstream received in any
// limitWindow that starts at from or later, and the total since then.
func maxArrivals(u *stand.Upstream, from time.Time) (most, total int) {
	var times []time.Time
	for _, a := range u.Arrivals() {
		if !a.At.Before(from) {
			times = append(times, a.At)
		}
	}
	for i, start := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(start) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most, len(times)
}

// startReads sends idempotent requests to all entries from the given number of workers
// per entry until the test ends.
func (tc *testCluster) startReads(workers int) {
	var group sync.WaitGroup
	for _, e := range tc.entries {
		for range workers {
			group.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				for tc.t.Context().Err() == nil {
					_, _ = sendTo(tc.t.Context(), client, e.settings.CallerAddress, "GET", "/reads/1", "", tc.nextID())
				}
			})
		}
	}
	tc.t.Cleanup(group.Wait)
}

// Guards against an upstream that receives more requests from all entries together than
// the limit that it announces allows.
func TestEntriesTogetherKeepTheLimitOfAnUpstream(t *testing.T) {
	const limit = 3.0
	tc := newTestCluster(t)
	tc.addEntry("e2", "127.0.0.2")
	tc.addEntry("e3", "127.0.0.3")
	time.Sleep(500 * time.Millisecond)
	tc.startReads(2)
	time.Sleep(500 * time.Millisecond)
	limited := tc.upstreams[0]
	limited.SetLimit("3")
	from := time.Now().Add(limitGrace)
	time.Sleep(limitGrace + 2*limitWindow)
	most, total := maxArrivals(limited, from)
	require.LessOrEqual(t, most, int(limitSlack*limit*limitWindow.Seconds()+limitExtra))
	require.GreaterOrEqual(t, total, int(limit*limitWindow.Seconds()), "half of what the upstream takes")
	limited.SetLimit("")
	ended := time.Now()
	require.Eventually(t, func() bool {
		most, _ := maxArrivals(limited, ended)
		return most > 10*int(limit)
	}, 2*limitWindow, 100*time.Millisecond, "requests return when the limit ends")
}
