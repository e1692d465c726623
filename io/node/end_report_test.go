package node_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that lost its own links to others reporting that they have
// ended, so that callers are no longer steered to them.
func TestFalseReportOfAnEndIsNotBelieved(t *testing.T) {
	tc := newTestCluster(t)
	second := tc.addEntry("e2", "127.0.0.2")
	first := tc.entries[0]
	bothListed := func() bool { return len(first.resolve(t, "east")) == 2 }
	require.Eventually(t, bothListed, applyTimeout, 10*time.Millisecond)
	body := fmt.Sprintf(`{"name":"e2","startedAt":%d}`, time.Now().UnixMilli())
	peer := net.JoinHostPort(first.settings.IP, strconv.Itoa(first.settings.FirstPort))
	resp, err := http.Post("http://"+peer+"/v1/gone", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	for range 20 {
		require.True(t, bothListed(), "an entry that accepts connections has not ended")
		time.Sleep(20 * time.Millisecond)
	}
	require.True(t, second.isReady())
}
