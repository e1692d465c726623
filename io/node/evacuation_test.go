package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/io/node"
	"magnolialedge/platform/stand"
)

// evacuationBound is the time until an evacuation must be in force. The settings of the test
// entries require every change to be in force within it.
const evacuationBound = time.Second

func (tc *testCluster) addZoneUpstream(id, zone string) *stand.Upstream {
	u := stand.NewUpstream(stand.UpstreamConfig{ID: id, Service: "svc", Zone: zone, Slots: 4, WorkDuration: 20 * time.Millisecond})
	tc.t.Cleanup(u.Close)
	u.Register(tc.store, "ready")
	tc.upstreams = append(tc.upstreams, u)
	return u
}

// contacts returns the number of requests and probes that upstreams have received.
func contacts(upstreams ...*stand.Upstream) int {
	n := 0
	for _, u := range upstreams {
		n += len(u.Arrivals()) + u.Probes()
	}
	return n
}

// restrictedRoute returns the JSON of a route that only the given regions may serve.
func restrictedRoute(name, prefix, regions string) string {
	return strings.TrimSuffix(routeJSON(name, prefix, "safe", 2000, "svc"), "}") + `,"allowed-regions":[` + regions + `]}`
}

// Load: callers send to entries of two zones while one zone is evacuated and another is five
// times slower. Guards against requests or probes that still reach the evacuated zone, and
// against refusals.
func TestZoneIsEvacuatedUnderLoadWhileAnotherIsSlow(t *testing.T) {
	tc := newTestCluster(t)
	evacuated := tc.upstreams[:2:2]
	slow := tc.addZoneUpstream("slow", "east-b")
	tc.addZoneUpstream("near", "east-b")
	tc.addZoneUpstream("far", "west-a")
	tc.addEntryWith("e2", "127.0.0.2", func(s *node.Settings) { s.Zone = "east-b" })
	time.Sleep(300 * time.Millisecond)
	sent := tc.startAttempts(differentRequests)
	time.Sleep(700 * time.Millisecond)
	slow.SetSlowdown(5)
	begun := time.Now()
	tc.store.BeginEvacuation("east-a")
	time.Sleep(evacuationBound)
	before := contacts(evacuated...)
	time.Sleep(1500 * time.Millisecond)
	require.Equal(t, before, contacts(evacuated...), "the zone gets requests or probes")
	served, n := sent.ratio(begun, time.Now(), tc.entries...)
	t.Logf("served %.4f of %d during the evacuation", served, n)
	require.Greater(t, n, 100)
	require.GreaterOrEqual(t, served, 0.98)
	tc.store.EndEvacuation("east-a")
	require.Eventually(t, func() bool { return contacts(evacuated...) > before+20 }, evacuationBound+time.Second, 10*time.Millisecond)
	for _, e := range tc.entries {
		require.Contains(t, e.logs.String(), "name=zoneEvacuated zone=east-a")
		require.Contains(t, e.logs.String(), "name=zoneReturned zone=east-a")
		require.NotContains(t, e.logs.String(), "name=upstreamsLost", "the entry takes the evacuation for lost links")
	}
}

// Load: requests for a service of which every zone is evacuated. Guards against requests that
// wait, are handed over, or get no Retry-After.
func TestServiceWithEveryZoneEvacuatedIsRefusedAtOnce(t *testing.T) {
	tc := newTestCluster(t)
	tc.addEntry("e2", "127.0.0.2")
	tc.store.BeginEvacuation("east-a")
	tc.store.BeginEvacuation("west-a")
	tc.store.BeginEvacuation("nowhere")
	time.Sleep(evacuationBound)
	for range 10 {
		start := time.Now()
		resp, id := tc.send("GET", "/reads/1", "")
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.NotEmpty(t, resp.retryAfter)
		require.Less(t, time.Since(start), 200*time.Millisecond)
		require.Zero(t, tc.runCount(id))
	}
	logs := tc.entries[0].logs.String()
	require.Contains(t, logs, "evacuated=2")
	require.NotContains(t, logs, "name=isolationChanged")
	require.Equal(t, 1, strings.Count(logs, "name=evacuationIgnored zone=nowhere"))
	tc.store.EndEvacuation("east-a")
	require.Eventually(t, func() bool { return tc.serves("/reads/2") }, evacuationBound, 10*time.Millisecond)
}

// Load: a zone is evacuated and returned ten times within a second. Guards against an entry
// that ends in another state than the last one.
func TestEvacuationThatEndsWithinASecond(t *testing.T) {
	tc := newTestCluster(t)
	for range 10 {
		tc.store.BeginEvacuation("east-a")
		time.Sleep(30 * time.Millisecond)
		tc.store.BeginEvacuation("east-a")
		tc.store.EndEvacuation("east-a")
		time.Sleep(30 * time.Millisecond)
		tc.store.EndEvacuation("east-a")
	}
	require.Eventually(t, func() bool { return tc.serves("/reads/1") }, evacuationBound, 10*time.Millisecond)
	tc.store.BeginEvacuation("east-a")
	require.Eventually(t, func() bool { return !tc.serves("/reads/1") }, evacuationBound, 10*time.Millisecond)
}

// Load: the first requests of an entry that starts during an evacuation, and requests while
// the store is away. Guards against an entry that learns or keeps the evacuation too late.
func TestEvacuationHoldsAtAStartAndWithoutTheStore(t *testing.T) {
	tc := newTestCluster(t)
	evacuated := tc.upstreams[:2:2]
	tc.addZoneUpstream("near", "east-b")
	tc.store.BeginEvacuation("east-a")
	time.Sleep(evacuationBound)
	before := contacts(evacuated...)
	tc.addEntry("e2", "127.0.0.2")
	for range 20 {
		require.True(t, tc.serves("/reads/1"))
	}
	tc.store.SetFault(stand.FaultReset)
	for range 60 {
		require.True(t, tc.serves("/reads/1"))
	}
	tc.store.SetFault(stand.FaultNone)
	time.Sleep(300 * time.Millisecond)
	require.True(t, tc.serves("/reads/1"))
	require.Equal(t, before, contacts(evacuated...))
}

// Load: a zone is switched off during its evacuation, while requests are in flight there.
// Guards against an entry that takes their loss for crashes, and refuses the request
// afterwards, or for lost links.
func TestZoneThatIsSwitchedOffDuringItsEvacuation(t *testing.T) {
	tc := newTestCluster(t)
	evacuated := tc.upstreams[:2:2]
	tc.setResponseMode(stand.HangDuringRun)
	for range 6 {
		go func() {
			_, _ = sendTo(t.Context(), http.DefaultClient, tc.entries[0].settings.CallerAddress, "POST", "/writes/popular", "x", tc.nextID())
		}()
	}
	require.Eventually(t, func() bool { return contactsOf(evacuated) >= 6 }, time.Second, 5*time.Millisecond)
	tc.addZoneUpstream("near", "east-b")
	tc.store.BeginEvacuation("east-a")
	require.Eventually(t, func() bool { return strings.Contains(tc.entries[0].logs.String(), "name=zoneEvacuated") }, evacuationBound, time.Millisecond)
	probes := evacuated[0].Probes() + evacuated[1].Probes()
	setPartition(tc.entries, stand.PartitionReset, evacuated...)
	require.Eventually(t, func() bool { return strings.Contains(tc.entries[0].logs.String(), "name=upstreamLost ") }, time.Second, 5*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	for range 10 {
		resp, _ := tc.send("POST", "/writes/popular", "x")
		require.Equal(t, http.StatusOK, resp.status)
	}
	require.Equal(t, probes, evacuated[0].Probes()+evacuated[1].Probes())
	logs := tc.entries[0].logs.String()
	require.NotContains(t, logs, "name=upstreamCrashed")
	require.NotContains(t, logs, "name=upstreamsLost")
}

// Load: requests while the store returns from copies of before and during an evacuation.
// Guards against an entry that does not do what the restored store says within the 5 s that an
// evacuation may take.
func TestEvacuationsOfARestoredStore(t *testing.T) {
	tc := newTestCluster(t)
	before := tc.store.Copy()
	tc.store.BeginEvacuation("east-a")
	require.Eventually(t, func() bool { return !tc.serves("/reads/1") }, evacuationBound, 10*time.Millisecond)
	during := tc.store.Copy()
	tc.store.EndEvacuation("east-a")
	require.Eventually(t, func() bool { return tc.serves("/reads/1") }, evacuationBound, 10*time.Millisecond)
	tc.restoreFromCopy(during)
	require.Eventually(t, func() bool { return !tc.serves("/reads/1") }, 5*time.Second, 10*time.Millisecond)
	tc.restoreFromCopy(before)
	require.Eventually(t, func() bool { return tc.serves("/reads/1") }, 5*time.Second, 10*time.Millisecond)
	tc.store.BeginEvacuation("east-a")
	require.Eventually(t, func() bool { return !tc.serves("/reads/1") }, evacuationBound, 10*time.Millisecond)
}

// Load: requests of routes that only some regions may serve, while the regions fail one after
// the other. Guards against requests outside the allowed regions.
func TestRestrictedRoutesStayInTheirRegions(t *testing.T) {
	tc := newTestCluster(t)
	east := tc.upstreams[:2:2]
	west := tc.addZoneUpstream("west", "west-a")
	tc.routes = []string{restrictedRoute("west", "/west/", `"west"`), restrictedRoute("both", "/both/", `"east","west"`), restrictedRoute("north", "/north/", `"north"`)}
	tc.putConfig()
	require.Eventually(t, func() bool { return tc.serves("/west/1") }, applyTimeout, 10*time.Millisecond)
	runs := func(u ...*stand.Upstream) int { return contactsOf(u) }
	for range 20 {
		before := runs(east...)
		require.True(t, tc.serves("/west/1"))
		require.Equal(t, before, runs(east...))
	}
	resp, _ := tc.send("GET", "/north/1", "")
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	require.NotEmpty(t, resp.retryAfter)
	require.Contains(t, tc.entries[0].logs.String(), "disallowed=3")
	setPartition(tc.entries, stand.PartitionReset, east...)
	for range 20 {
		require.True(t, tc.serves("/both/1"), "one of two regions is lost")
	}
	setPartition(tc.entries, stand.PartitionReset, append(east, west)...)
	require.Eventually(t, func() bool { return !tc.serves("/both/1") }, time.Second, 5*time.Millisecond)
	start := time.Now()
	resp, _ = tc.send("GET", "/both/1", "")
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	require.Less(t, time.Since(start), 300*time.Millisecond, "both regions are lost")
}

func contactsOf(upstreams []*stand.Upstream) int {
	n := 0
	for _, u := range upstreams {
		n += len(u.Arrivals())
	}
	return n
}

// Load: requests wait for the only upstream of a region while the route is moved to another
// region. Guards against requests that run by the version before.
func TestWaitingRequestIsCheckedAgain(t *testing.T) {
	tc := newTestCluster(t)
	for _, u := range tc.upstreams {
		u.SetSlowdown(60)
	}
	west := tc.addZoneUpstream("west", "west-a")
	tc.routes = []string{restrictedRoute("moved", "/moved/", `"east"`)}
	tc.putConfig()
	require.Eventually(t, func() bool { return tc.isInForce(tc.version) }, applyTimeout, 5*time.Millisecond)
	const requests = 24
	statuses := make(chan int, requests)
	for range requests {
		go func() {
			resp, _ := sendTo(t.Context(), http.DefaultClient, tc.entries[0].settings.CallerAddress, "GET", "/moved/1", "", tc.nextID())
			statuses <- resp.status
		}()
	}
	time.Sleep(100 * time.Millisecond)
	sentEast := contactsOf(tc.upstreams[:2])
	require.Less(t, sentEast, requests, "some must wait")
	tc.routes = []string{restrictedRoute("moved", "/moved/", `"west"`)}
	tc.putConfig()
	require.Eventually(t, func() bool { return tc.isInForce(tc.version) }, applyTimeout, time.Millisecond)
	atChange := contactsOf(tc.upstreams[:2])
	for range requests {
		<-statuses
	}
	require.Equal(t, atChange, contactsOf(tc.upstreams[:2]), "no request runs by the version before")
	require.NotZero(t, contactsOf([]*stand.Upstream{west}))
}

// Load: requests of a restricted route at an entry that reaches no upstream. Guards against a
// helper outside the allowed regions.
func TestRestrictedRequestIsHandedOnlyToAllowedRegions(t *testing.T) {
	tc := newTestCluster(t)
	tc.addZoneUpstream("west", "west-a")
	tc.routes = append(tc.routes, restrictedRoute("west", "/west/", `"west"`))
	tc.putConfig()
	tc.addEntry("e2", "127.0.0.2")
	helper := tc.addEntryWith("e3", "127.0.0.3", func(s *node.Settings) { s.Zone, s.Region = "west-a", "west" })
	time.Sleep(500 * time.Millisecond)
	tc.entries[0].partition.Set(stand.PartitionReset)
	tc.awaitIsolation(tc.entries[0])
	for i := range 10 {
		resp, id := tc.send("GET", fmt.Sprintf("/west/%d", i), "")
		require.Equal(t, http.StatusOK, resp.status)
		require.Eventually(t, func() bool { return strings.Contains(helper.logs.String(), "requestId="+id) }, time.Second, 5*time.Millisecond)
		require.NotContains(t, tc.entries[1].logs.String(), "requestId="+id)
	}
	require.Contains(t, helper.logs.String(), "regions=west")
}
