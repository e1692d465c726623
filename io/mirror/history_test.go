package mirror

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
	"magnolialedge/core/mirror"
)

// Guards against a subscriber that misses a change between its position and the first message
// of its stream, whatever the history has forgotten.
func TestHistoryTellsAllChangesAfterAPositionOrNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		p := magnolialedge.Position{Era: 1, Revision: 10}
		h.reset(p)
		var all []recordedChange
		for range rapid.IntRange(0, 60).Draw(t, "batches") {
			p.Revision += int64(rapid.IntRange(1, 5).Draw(t, "step"))
			var batch []magnolialedge.Item
			for i := range rapid.IntRange(0, 12).Draw(t, "items") {
				it := magnolialedge.Item{Key: fmt.Sprint(p.Revision, "-", i), Value: make([]byte, rapid.SampledFrom([]int{0, 10, 60_000}).Draw(t, "bytes"))}
				batch = append(batch, it)
				all = append(all, recordedChange{Item: it, position: p})
			}
			h.record(p, batch)
			require.LessOrEqual(t, len(h.changes), maxHistoryItems)
			require.LessOrEqual(t, h.bytes, maxHistoryBytes)
		}
		known := magnolialedge.Position{Era: 1, Revision: rapid.Int64Range(0, p.Revision+5).Draw(t, "known")}
		got, ok := h.after(known)
		if !ok {
			return
		}
		var expected []string
		for _, c := range all {
			if known.Before(c.position) {
				expected = append(expected, c.Key)
			}
		}
		var keys []string
		for _, it := range got {
			keys = append(keys, it.Key)
		}
		require.Equal(t, expected, keys)
	})
}

// Guards against backup streams that subscribers of an entry of an earlier release open again
// and again in calm operation, because that one passes confirmations on later.
func TestConfirmationsOfEarlierReleasesMayComeLater(t *testing.T) {
	timing := mirror.TimingFor(mirror.DefaultPropagation)
	now := time.Unix(100, 0)
	require.Zero(t, fromPeer(now, timing, "a", message{Relays: true}).allowance)
	earlierHeartbeat := mirror.DefaultPropagation / 5
	waited := earlierWatchWait + earlierHeartbeat
	require.Greater(t, fromPeer(now, timing, "a", message{}).allowance+timing.BackupDelay(), waited)
}
