package stand

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func crashesOf(s *System) int64 {
	var n int64
	for _, r := range s.UpstreamRecords() {
		n += r.Crashes
	}
	return n
}

// TestCrashingRequestTakesFewUpstreams sends one request that crashes each
// upstream that runs it through every entry in turn, 200 ms apart.
func TestCrashingRequestTakesFewUpstreams(t *testing.T) {
	s := startSmall(t, func(cfg *SystemConfig) {
		cfg.EntriesPerRegion = 3
		cfg.CrossRegionDelay = 20 * time.Millisecond
	})
	time.Sleep(4 * time.Second)
	caller := NewLoadGenerator(LoadConfig{Callers: 1}).callers[0]
	request := Request{Service: "asset-history", Method: "GET", Path: "/crash", Tag: "t", Timeout: time.Second, Header: http.Header{HeaderCrash: {"1"}}}
	for i, entry := range s.CallerAddresses("") {
		reply := caller.Send(context.Background(), entry, "crash", request)
		require.NoError(t, reply.Err)
		t.Log(i, entry, reply.Kind, reply.Outcome, crashesOf(s))
		time.Sleep(200 * time.Millisecond)
	}
	require.LessOrEqual(t, crashesOf(s), int64(3))
}
