package proc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestEntriesInUseKeepTheBoundOnReadings lets a third of the entries, as steering
// leaves it, ask as often as they are allowed to, in fleets of any size.
func TestEntriesInUseKeepTheBoundOnReadings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := ProbeLimits{PerUpstreamPerSecond: rapid.Float64Range(1, 100).Draw(t, "bound")}
		entries := rapid.IntRange(3, 120).Draw(t, "entries")
		upstreams := rapid.IntRange(1, 60).Draw(t, "upstreams")
		begun := time.Unix(0, 0)
		taken := 0
		length := time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
		for range entries / probeBudgetSkew {
			b := NewProbeBudget(limits, begun)
			b.Resize(begun, entries, upstreams)
			for now := begun; now.Before(begun.Add(length)); now = now.Add(100 * time.Millisecond) {
				for b.Spend(now) {
					taken++
				}
			}
		}
		require.LessOrEqual(t, float64(taken), limits.PerUpstreamPerSecond*float64(upstreams)*length.Seconds())
	})
}

func TestReadingsWithoutABoundAreFree(t *testing.T) {
	b := NewProbeBudget(ProbeLimits{}, time.Unix(0, 0))
	require.True(t, b.Spend(time.Unix(0, 0)))
}
