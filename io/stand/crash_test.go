package stand

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func crashCount(s *System) int64 {
	var n int64
	for _, r := range s.UpstreamRecords() {
		n += r.Crashes
	}
	return n
}

// TestCrashingRequestCrashesFewUpstreams sends a request that crashes every upstream
// that runs it through each entry in turn, 200 ms apart. Entries must report the
// losses to each other, so that the request crashes at most three upstreams in total.
func TestCrashingRequestCrashesFewUpstreams(t *testing.T) {
	s := startSampleSystem(t, func(cfg *SystemConfig) {
		cfg.EntriesPerRegion = 3
		cfg.CrossRegionDelay = 20 * time.Millisecond
	})
	time.Sleep(4 * time.Second)
	caller := NewLoadGenerator(LoadConfig{Callers: 1}).callers[0]
	request := Request{Service: "asset-history", Method: "GET", Path: "/crash", Tag: "t", Timeout: time.Second, Header: http.Header{HeaderCrash: {"1"}}}
	for i, entry := range s.CallerAddresses("") {
		resp := caller.Send(context.Background(), entry, "crash", request)
		require.NoError(t, resp.Err)
		t.Log(i, entry, resp.Kind, resp.Outcome, crashCount(s))
		time.Sleep(200 * time.Millisecond)
	}
	require.LessOrEqual(t, crashCount(s), int64(3))
}
