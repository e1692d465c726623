package node_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
