package proc

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// BenchmarkKeyMemory reports the memory per key of a full table with responses
// of 200 bytes.
func BenchmarkKeyMemory(b *testing.B) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		k := NewKeyTable(KeyTableConfig{Peer: "a", Start: start})
		now := start.Add(time.Minute)
		for i := range DefaultKeyCapacity {
			key := newTestKey(now)
			binary.BigEndian.PutUint32(key.ID[12:], uint32(i))
			d, err := k.Begin(now, key, 1)
			require.NoError(b, err)
			k.Confirm(key.ID, d.Owner)
			k.End(key.ID, d.Owner, magnolialedge.OutcomeRan, &StoredResponse{Status: 200, Body: make([]byte, 200)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/DefaultKeyCapacity, "B/key")
		runtime.KeepAlive(k)
	}
}
