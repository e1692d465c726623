package stand

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// startSampleSystem starts a system with the gandaki sample document, one entry
// per region and no delay between regions. It applies change to the configuration
// if change is not nil.
func startSampleSystem(t *testing.T, change func(*SystemConfig)) *System {
	t.Helper()
	doc, err := SampleDocument("gandaki")
	require.NoError(t, err)
	cfg := SystemConfig{
		Document:         doc,
		EntriesPerRegion: 1,
		Upstream:         UpstreamBehaviour{MeanServiceTimeMs: 2},
		QueuePerSlot:     4,
		CrashDuration:    500 * time.Millisecond,
		Seed:             1,
	}
	if change != nil {
		change(&cfg)
	}
	s, err := StartSystem(cfg)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func runCount(s *System, key string) int {
	n := 0
	for _, r := range s.UpstreamRecords() {
		for _, run := range r.Runs {
			if run.Key == key {
				n++
			}
		}
	}
	return n
}

func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

func permitRequest(key string) Request {
	return Request{
		Service: "permit-ledger",
		Method:  "POST",
		Path:    "/permits/7/close",
		Key:     key,
		Tag:     "tag-" + key,
		Body:    []byte("closed"),
		Timeout: 2 * time.Second,
	}
}

// TestNonIdempotentRequestsRunOnce checks that every request of a mixed load succeeds
// and that each non-idempotent request to permit-ledger runs exactly once.
func TestNonIdempotentRequestsRunOnce(t *testing.T) {
	s := startSampleSystem(t, nil)
	load := NewLoadGenerator(LoadConfig{
		EntryAddresses: s.CallerAddresses(""),
		Services:       []string{"asset-history", "permit-ledger"},
		Rate:           200,
		Duration:       time.Second,
		Callers:        4,
		KeyedPercent:   20,
		KeyedPath:      "/permits/7/close",
		Timeout:        2 * time.Second,
		Seed:           1,
	})
	result := load.Run(context.Background())
	require.Equal(t, result.Sent, result.OK, "%+v", result)
	require.Zero(t, result.Mismatched)
	for _, k := range result.Keyed {
		if k.Service == "permit-ledger" {
			require.True(t, k.Ran)
			require.Equal(t, 1, runCount(s, k.Key))
		}
	}
}

// TestResendThroughAnotherEntryReplaysResponse checks that a request that is sent
// through each entry with the same key runs only once.
func TestResendThroughAnotherEntryReplaysResponse(t *testing.T) {
	s := startSampleSystem(t, nil)
	caller := NewLoadGenerator(LoadConfig{Callers: 1}).callers[0]
	key := newKey()
	for i, entry := range s.CallerAddresses("") {
		resp := caller.Send(context.Background(), entry, "attempt", permitRequest(key))
		require.NoError(t, resp.Err)
		require.Equal(t, 200, resp.Status, "attempt %d: %+v", i, resp)
		require.True(t, resp.MatchesRequest)
	}
	require.Equal(t, 1, runCount(s, key))
}
