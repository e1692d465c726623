package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a popular read being refused everywhere because upstreams went down for
// other reasons while they ran it.
func TestPopularRequestIsServedWhileUpstreamsGoDown(t *testing.T) {
	tc := newTestCluster(t)
	tc.routes = []string{routeJSON("reads", "/reads/", "safe", 4000, "svc")}
	tc.putConfig()
	for i := 3; i <= 5; i++ {
		tc.addUpstream(fmt.Sprintf("u%d", i))
	}
	for _, u := range tc.upstreams {
		u.SetSlowdown(5)
	}
	tc.addEntry("e2", "127.0.0.2")
	time.Sleep(500 * time.Millisecond)
	sent := tc.startAttempts(func(int) string { return "/reads/popular" })
	time.Sleep(time.Second)
	begun := time.Now()
	for _, u := range tc.upstreams[:2] {
		u.Close()
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	served, n := sent.ratio(begun, time.Now(), tc.entries...)
	t.Logf("served %.3f of %d", served, n)
	require.Greater(t, served, 0.95)
}
