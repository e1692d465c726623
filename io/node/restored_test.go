package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/platform"
	"magnolialedge/platform/stand"
)

// restoreFromCopy takes the store away for a moment and returns it from a copy.
func (tc *testCluster) restoreFromCopy(c stand.Copy) {
	tc.store.SetFault(stand.FaultReset)
	time.Sleep(300 * time.Millisecond)
	tc.store.Restore(c)
	tc.store.SetFault(stand.FaultNone)
}

// serves reports whether every entry serves requests to a path.
func (tc *testCluster) serves(path string) bool {
	for _, e := range tc.entries {
		resp, err := sendTo(tc.t.Context(), http.DefaultClient, e.settings.CallerAddress, "GET", path, "", tc.nextID())
		if err != nil || resp.status != http.StatusOK {
			return false
		}
	}
	return true
}

// isInForce reports whether every entry has logged that it applied a version.
func (tc *testCluster) isInForce(version int) bool {
	for _, e := range tc.entries {
		if !strings.Contains(e.logs.String(), fmt.Sprintf("name=routingInForce version=%d ", version)) {
			return false
		}
	}
	return true
}

// Guards against a version of the routes that never comes into force because a store
// that was restored from a copy gives it a lower revision than that of the version
// before.
func TestChangeAfterTheStoreIsRestoredComesIntoForce(t *testing.T) {
	tc := newTestCluster(t)
	tc.addEntry("e2", "127.0.0.2")
	copied := tc.store.Copy()
	for range 20 {
		tc.upstreams[0].Register(tc.store, "ready")
	}
	tc.putConfig()
	require.Eventually(t, func() bool { return tc.isInForce(tc.version) }, applyTimeout, 10*time.Millisecond)
	tc.restoreFromCopy(copied)
	tc.routes = append(tc.routes, routeJSON("added", "/added/", "safe", 1000, "svc"))
	tc.putConfig()
	require.Eventually(t, func() bool { return tc.serves("/added/1") }, 2*applyTimeout, 20*time.Millisecond)
}

// Guards against an entry that is missing from the restored store, because its lease
// was granted after the copy and its ID has been given to another entry since.
func TestEntryIsListedAgainInARestoredStore(t *testing.T) {
	tc := newTestCluster(t)
	require.Eventually(t, func() bool { return tc.store.Has("members/e1") }, applyTimeout, 5*time.Millisecond)
	copied := tc.store.Copy()
	tc.addEntry("e2", "127.0.0.2")
	require.Eventually(t, func() bool { return tc.store.Has("members/e2") }, applyTimeout, 5*time.Millisecond)
	tc.restoreFromCopy(copied)
	other := platform.OpenStore(tc.store.Address(), http.DefaultTransport.(*http.Transport), nil)
	_, err := other.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return tc.store.Has("members/e1") && tc.store.Has("members/e2") }, 2*time.Second, 5*time.Millisecond)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		require.True(t, tc.store.Has("members/e1") && tc.store.Has("members/e2"))
	}
}

// Guards against requests to an upstream whose drain or removal the copy lacks.
func TestUpstreamThatLeftStaysOutWhenTheStoreIsRestored(t *testing.T) {
	tc := newTestCluster(t)
	removed := tc.addUpstream("u3")
	time.Sleep(300 * time.Millisecond)
	copied := tc.store.Copy()
	removed.Deregister(tc.store)
	tc.upstreams[0].Register(tc.store, "draining")
	time.Sleep(500 * time.Millisecond)
	tc.restoreFromCopy(copied)
	drained, left := len(tc.upstreams[0].Runs()), len(removed.Runs())
	l := startLoad(tc, func() string { return tc.entries[0].settings.CallerAddress }, 8)
	time.Sleep(3 * time.Second)
	l.stopAndCheck(t)
	require.Len(t, tc.upstreams[0].Runs(), drained)
	require.Len(t, removed.Runs(), left)
}

// Guards against an entry that starts from the copy alone and serves an older version
// than the one in force at the others.
func TestNewEntryStartsWithTheVersionThatTheCopyLacks(t *testing.T) {
	tc := newTestCluster(t)
	copied := tc.store.Copy()
	tc.routes = append(tc.routes, routeJSON("added", "/added/", "safe", 1000, "svc"))
	tc.putConfig()
	require.Eventually(t, func() bool { return tc.isInForce(tc.version) && tc.store.Has("members/e1") }, applyTimeout, 10*time.Millisecond)
	tc.restoreFromCopy(copied)
	require.Eventually(t, func() bool { return tc.store.Has("members/e1") }, applyTimeout, 10*time.Millisecond)
	tc.addEntry("e2", "127.0.0.2")
	require.True(t, tc.serves("/added/1"))
}

// Guards against a fleet that starts as a whole from the copy and does not apply what the
// operator writes again at lower revisions.
func TestAllEntriesStartFromARestoredStore(t *testing.T) {
	tc := newTestCluster(t)
	copied := tc.store.Copy()
	for range 20 {
		tc.upstreams[0].Register(tc.store, "ready")
	}
	tc.routes = append(tc.routes, routeJSON("added", "/added/", "safe", 1000, "svc"))
	tc.putConfig()
	require.Eventually(t, func() bool { return tc.isInForce(tc.version) }, applyTimeout, 10*time.Millisecond)
	tc.entries[0].stop()
	<-tc.entries[0].stopped
	tc.entries = nil
	tc.restoreFromCopy(copied)
	tc.addEntry("e2", "127.0.0.2")
	tc.addEntry("e3", "127.0.0.3")
	tc.putConfig()
	require.Eventually(t, func() bool { return tc.serves("/added/1") && tc.isInForce(tc.version) }, applyTimeout, 20*time.Millisecond)
	require.Eventually(t, func() bool { return tc.store.Has("members/e2") && tc.store.Has("members/e3") }, applyTimeout, 5*time.Millisecond)
}
