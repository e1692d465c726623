package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
