package stand

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// startSmall starts a system of the gandaki sample without delays.
func startSmall(t *testing.T, change func(*SystemConfig)) *System {
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

func runsOf(s *System, key string) int {
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

func permit(key string) Request {
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

func TestIdempotentAndNonIdempotentRequest(t *testing.T) {
	s := startSmall(t, nil)
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
			require.Equal(t, 1, runsOf(s, k.Key))
		}
	}
}

func TestResendThroughAnotherEntryReplaysTheAnswer(t *testing.T) {
	s := startSmall(t, nil)
	caller := NewLoadGenerator(LoadConfig{Callers: 1}).callers[0]
	key := newKey()
	for i, entry := range s.CallerAddresses("") {
		reply := caller.Send(context.Background(), entry, "attempt", permit(key))
		require.NoError(t, reply.Err)
		require.Equal(t, 200, reply.Status, "attempt %d: %+v", i, reply)
		require.True(t, reply.MatchesRequest)
	}
	require.Equal(t, 1, runsOf(s, key))
}
