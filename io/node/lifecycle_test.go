package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/platform/stand"
)

const applyTimeout = 2 * time.Second

func TestNewConfigVersionIsAppliedAndOlderVersionIgnored(t *testing.T) {
	tc := newTestCluster(t)
	tc.routes = append(tc.routes, routeJSON("added", "/added/", "safe", 1000, "svc"))
	tc.putConfig()
	require.Eventually(t, func() bool {
		resp, _ := tc.send("GET", "/added/1", "")
		return resp.status == http.StatusOK
	}, applyTimeout, 10*time.Millisecond)
	tc.version = 0
	tc.routes = tc.routes[:2]
	tc.putConfig()
	time.Sleep(500 * time.Millisecond)
	resp, _ := tc.send("GET", "/added/1", "")
	require.Equal(t, http.StatusOK, resp.status)
}

func TestTrafficSplitFollowsWeights(t *testing.T) {
	tc := newTestCluster(t)
	other := tc.addServiceUpstream("u3", "other")
	tc.routes = append(tc.routes, fmt.Sprintf(`{"name":"split","host":%q,"prefix":"/split/","route-type":"safe","timeout-ms":1000,"aim-ms":300,"traffic-split":[{"service":"svc","weight":75},{"service":"other","weight":25}],"max-attempts":2}`, host))
	tc.putConfig()
	require.Eventually(t, func() bool {
		resp, _ := tc.send("GET", "/split/1", "")
		return resp.status == http.StatusOK
	}, applyTimeout, 10*time.Millisecond)
	// A request with a body must not count twice in the weights, when its header and when its
	// body has been read.
	for _, r := range [][2]string{{"GET", ""}, {"POST", "body"}} {
		before := len(other.Runs())
		for range 40 {
			resp, _ := tc.send(r[0], "/split/1", r[1])
			require.Equal(t, http.StatusOK, resp.status)
		}
		require.InDelta(t, 10, len(other.Runs())-before, 1)
	}
}

func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	tc := newTestCluster(t)
	tc.upstreams[0].Register(tc.store, "draining")
	time.Sleep(400 * time.Millisecond)
	before := len(tc.upstreams[0].Runs())
	for range 10 {
		resp, _ := tc.send("GET", "/reads/1", "")
		require.Equal(t, http.StatusOK, resp.status)
	}
	require.Len(t, tc.upstreams[0].Runs(), before)
}

func TestMalformedRegistrationIsIgnored(t *testing.T) {
	tc := newTestCluster(t)
	for key, value := range map[string]string{
		"servers/bad1": "{",
		"servers/bad2": `{"service":7}`,
		"servers/bad3": `{"service":"svc","address":"nowhere","zone":"east-a","slots":1,"state":"ready","cold-left-ms":0,"seq":1}`,
		"servers/bad4": `{"service":"svc","address":"127.0.0.1:1","zone":"east-a","slots":1,"state":"asleep","cold-left-ms":0,"seq":1}`,
	} {
		tc.store.Put(key, []byte(value))
	}
	require.Eventually(t, func() bool {
		return strings.Count(tc.entries[0].logs.String(), "name=itemUnusable") == 4
	}, 2*time.Second, 10*time.Millisecond)
	for range 6 {
		resp, _ := tc.send("GET", "/reads/1", "")
		require.Equal(t, http.StatusOK, resp.status)
	}
}

func TestRequestsAreServedDuringStoreOutage(t *testing.T) {
	for _, fault := range []stand.Fault{stand.FaultUnavailable, stand.FaultReset, stand.FaultHang, stand.FaultLostReply} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			tc := newTestCluster(t)
			tc.store.SetFault(fault)
			time.Sleep(1500 * time.Millisecond)
			resp, _ := tc.send("GET", "/reads/1", "")
			require.Equal(t, http.StatusOK, resp.status)
			tc.routes = append(tc.routes, routeJSON("added", "/added/", "safe", 1000, "svc"))
			tc.putConfig()
			tc.store.Compact()
			tc.store.SetFault(stand.FaultNone)
			require.Eventually(t, func() bool {
				resp, _ := tc.send("GET", "/added/1", "")
				return resp.status == http.StatusOK
			}, 2*applyTimeout, 20*time.Millisecond)
		})
	}
}

func TestEntryIsListedAgainAfterLeaseExpiresDuringOutage(t *testing.T) {
	tc := newTestCluster(t)
	require.Eventually(t, func() bool { return tc.store.Has("members/e1") }, applyTimeout, 5*time.Millisecond)
	tc.store.SetFault(stand.FaultHang)
	time.Sleep(time.Second)
	tc.store.ExpireLeases()
	require.False(t, tc.store.Has("members/e1"))
	tc.store.SetFault(stand.FaultNone)
	require.Eventually(t, func() bool { return tc.store.Has("members/e1") }, 2*applyTimeout, 20*time.Millisecond)
}

// TestDelistedEntryIsListedAgainImmediately expires the lease while the store is
// reachable, so that the entry learns of it only from the change.
func TestDelistedEntryIsListedAgainImmediately(t *testing.T) {
	tc := newTestCluster(t)
	for range 3 {
		require.Eventually(t, func() bool { return tc.store.Has("members/e1") }, applyTimeout, 5*time.Millisecond)
		tc.store.ExpireLeases()
		require.Eventually(t, func() bool { return tc.store.Has("members/e1") }, 700*time.Millisecond, 5*time.Millisecond)
	}
}

// loadGenerator sends requests to an entry continuously until it is stopped, and
// collects those that received no complete response.
type loadGenerator struct {
	stop     context.CancelFunc
	group    sync.WaitGroup
	mu       sync.Mutex
	failures []string
	served   int
}

func startLoad(tc *testCluster, address func() string, workers int) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{stop: cancel}
	for i := range workers {
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			client := &http.Client{Transport: &http.Transport{}}
			for j := 0; ctx.Err() == nil; j++ {
				l.sendOne(client, address(), fmt.Sprintf("load-%d-%d", i, j))
			}
		}()
	}
	return l
}

func (l *loadGenerator) sendOne(c *http.Client, address, id string) {
	resp, err := sendTo(context.Background(), c, address, "POST", "/writes/1", "x", id)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil && strings.Contains(err.Error(), "connection refused"):
	case err != nil:
		l.failures = append(l.failures, id+": "+err.Error())
	case resp.status == http.StatusOK:
		l.served++
	case resp.status != http.StatusServiceUnavailable:
		l.failures = append(l.failures, fmt.Sprintf("%s: status %d", id, resp.status))
	}
}

func (l *loadGenerator) stopAndCheck(t *testing.T) {
	l.stop()
	l.group.Wait()
	require.Empty(t, l.failures)
	require.Positive(t, l.served)
}

func TestGracefulStopInterruptsNoRequest(t *testing.T) {
	tc := newTestCluster(t)
	second := tc.addEntry("e2", "127.0.0.2")
	bothListed := func() bool { return len(tc.entries[0].resolve(t, "east")) == 2 }
	require.Eventually(t, bothListed, applyTimeout, 10*time.Millisecond)
	var mu sync.Mutex
	address := second.settings.CallerAddress
	l := startLoad(tc, func() string { mu.Lock(); defer mu.Unlock(); return address }, 6)
	time.Sleep(200 * time.Millisecond)
	second.stop()
	require.Eventually(t, func() bool {
		list := tc.entries[0].resolve(t, "east")
		return len(list) == 1 && list[0] == tc.entries[0].settings.CallerAddress
	}, time.Second, 10*time.Millisecond)
	require.False(t, second.isReady())
	time.Sleep(time.Second)
	mu.Lock()
	address = tc.entries[0].settings.CallerAddress
	mu.Unlock()
	<-second.stopped
	l.stopAndCheck(t)
	require.Contains(t, second.logs.String(), "name=stopped")
	require.NotContains(t, second.logs.String(), "name=stopForced")
}

func TestKilledUpstreamGetsNoFurtherRequests(t *testing.T) {
	tc := newTestCluster(t)
	for range 4 {
		tc.send("GET", "/reads/1", "")
	}
	tc.upstreams[0].Close()
	for range 10 {
		resp, _ := tc.send("POST", "/writes/1", "x")
		require.Equal(t, http.StatusOK, resp.status)
	}
}
