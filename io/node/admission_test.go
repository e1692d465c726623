package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/platform/stand"
)

// Requests of two priorities arrive at 1.7 times what the upstreams can serve; the urgent
// ones alone need nearly all capacity. The others must be refused early and with a
// true reason, the urgent ones served, and the level must end within 1 s afterwards.
func TestLessUrgentRequestsAreRefusedWhileCapacityIsShort(t *testing.T) {
	tc := newAdmissionCluster(t)
	for _, u := range tc.upstreams {
		u.Register(tc.store, "draining")
	}
	u := stand.NewUpstream(stand.UpstreamConfig{ID: "v", Service: "other", Zone: "east-a", Slots: 4, WorkDuration: 50 * time.Millisecond})
	t.Cleanup(u.Close)
	u.Register(tc.store, "ready")
	urgent := strings.Replace(routeJSON("urgent", "/urgent/", "safe", 1000, "other"), `"priority":1`, `"priority":0`, 1)
	tc.routes = append(tc.routes, urgent, routeJSON("rest", "/rest/", "safe", 1000, "other"))
	tc.putConfig()
	require.Eventually(t, func() bool { r, _ := tc.send("GET", "/urgent/0", ""); return r.status == http.StatusOK }, 3*time.Second, 10*time.Millisecond)

	served, all := map[string]*atomic.Int64{"urgent": {}, "rest": {}}, 0
	results := make(chan error)
	for begun := time.Now(); time.Since(begun) < 3*time.Second; time.Sleep(14 * time.Millisecond) {
		for path, n := range served {
			all++
			go func() {
				resp, err := sendTo(context.Background(), http.DefaultClient, tc.entries[0].settings.CallerAddress, "GET", "/"+path+"/1", "", tc.nextID())
				if resp.status == http.StatusOK {
					n.Add(1)
				}
				results <- err
			}()
		}
	}
	for range all {
		require.NoError(t, <-results)
	}
	t.Logf("served %d urgent and %d other requests of %d each", served["urgent"].Load(), served["rest"].Load(), all/2)
	logs := tc.entries[0].logs.String()
	require.Contains(t, logs, "admissionLevel service=other accountPriority=0 priority=1")
	require.Contains(t, logs, "notAdmitted=true")
	require.Greater(t, served["urgent"].Load(), served["rest"].Load())
	time.Sleep(time.Second)
	resp, _ := tc.send("GET", "/rest/1", "")
	require.Equal(t, http.StatusOK, resp.status, fmt.Sprint("a level must end within 1 s after the load: ", resp.body))
}
