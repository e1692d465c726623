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

// Guards against a version of the routes that contradicts itself and comes into force, so that
// the corrected one of the same version is ignored.
func TestContradictoryRoutesAreNotAppliedAndMayBeCorrected(t *testing.T) {
	tc := newTestCluster(t)
	good := tc.routes
	rejected := func() int { return strings.Count(tc.entries[0].logs.String(), "name=versionRejected") }
	for i, contradiction := range []string{
		routeJSON("added", "/added/", "safe", 1000, "missing"),
		routeJSON("again", "/reads/", "safe", 1000, "other"),
	} {
		tc.routes = append(good[:len(good):len(good)], contradiction)
		tc.putConfig()
		require.Eventually(t, func() bool { return rejected() == i+1 }, applyTimeout, 5*time.Millisecond)
		resp, _ := tc.send("GET", "/reads/1", "")
		require.Equal(t, http.StatusOK, resp.status)
	}
	tc.version -= 2
	tc.routes = append(good[:len(good):len(good)], routeJSON("added", "/added/", "safe", 1000, "svc"))
	tc.putConfig()
	require.Eventually(t, func() bool { return tc.serves("/added/1") }, applyTimeout, 5*time.Millisecond)
	require.Equal(t, 2, rejected())
}

// Guards against an odd entry among the registrations that ends an entry, stops it from
// following the store, or is used: deeply nested, with numbers too large, or with a port out of
// range.
func TestOddRegistrationsLeaveTheOthersInUse(t *testing.T) {
	tc := newTestCluster(t)
	tc.addEntry("e2", "127.0.0.2")
	odd := tc.addServiceUpstream("odd", "other")
	format := `{"service":"svc","address":%q,"zone":"east-a","slots":%s,"state":"ready","cold-left-ms":%s,"seq":%s,"born":%s%s}`
	values := []string{strings.Repeat("[", 300_000)}
	for _, fields := range [][]any{
		{"127.0.0.1:70000", "4", "0", "1", "1", ""},
		{"127.0.0.1:0", "4", "0", "1", "1", ""},
		{odd.Address(), "9000000000000000000", "0", "1", "1", ""},
		{odd.Address(), "99999999999999999999", "0", "1", "1", ""},
		{odd.Address(), "4", "1e300", "1", "1", ""},
		{odd.Address(), "4", "0", "1e30", "1", ""},
		{odd.Address(), "4", "0", "1", "9000000000000000000", ""},
		{odd.Address(), "4", "0", "1", "1", `,"more":` + strings.Repeat("[", 300_000) + strings.Repeat("]", 300_000)},
	} {
		values = append(values, fmt.Sprintf(format, fields...))
	}
	for i, value := range values {
		tc.store.Put(fmt.Sprint("servers/odd-", i), []byte(value))
	}
	tc.routes = append(tc.routes, routeJSON("added", "/added/", "safe", 1000, "svc"))
	tc.putConfig()
	require.Eventually(t, func() bool { return tc.serves("/added/1") }, 2*applyTimeout, 5*time.Millisecond)
	for range 20 {
		require.True(t, tc.serves("/reads/1"))
	}
	require.Empty(t, odd.Runs())
	for _, e := range tc.entries {
		require.Equal(t, len(values), strings.Count(e.logs.String(), "name=itemUnusable"))
	}
}

// Guards against a final 404 on a route that was added while the entry reaches neither the store
// nor another entry: it cannot know, and must say so.
func TestUnknownRouteIsNotDeniedByAnEntryThatLostTheStore(t *testing.T) {
	tc := newTestCluster(t)
	resp, _ := tc.send("GET", "/added/1", "")
	require.Equal(t, http.StatusNotFound, resp.status)
	tc.store.SetFault(stand.FaultHang)
	time.Sleep(2 * time.Second)
	resp, id := tc.send("GET", "/added/1", "")
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	require.NotEmpty(t, resp.retryAfter)
	require.Zero(t, tc.runCount(id))
	tc.store.SetFault(stand.FaultNone)
	require.Eventually(t, func() bool {
		resp, _ := tc.send("GET", "/added/1", "")
		return resp.status == http.StatusNotFound
	}, applyTimeout, 20*time.Millisecond)
}
