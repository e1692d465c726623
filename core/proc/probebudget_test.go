package proc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestProbeBudgetsTogetherStayWithinLimit lets a third of the entries, as under
// steering, send as many probes as their budgets allow, with random numbers of
// entries and upstreams.
func TestProbeBudgetsTogetherStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := ProbeLimits{PerUpstreamPerSecond: rapid.Float64Range(1, 100).Draw(t, "limit")}
		entries := rapid.IntRange(3, 120).Draw(t, "entries")
		upstreams := rapid.IntRange(1, 60).Draw(t, "upstreams")
		start := time.Unix(0, 0)
		probes := 0
		duration := time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
		for range entries / probeBudgetSkew {
			b := NewProbeBudget(limits, start)
			b.Resize(start, entries, upstreams)
			for now := start; now.Before(start.Add(duration)); now = now.Add(100 * time.Millisecond) {
				for b.Spend(now) {
					probes++
				}
			}
		}
		require.LessOrEqual(t, float64(probes), limits.PerUpstreamPerSecond*float64(upstreams)*duration.Seconds())
	})
}

func TestProbeBudgetWithoutLimitAllowsProbes(t *testing.T) {
	b := NewProbeBudget(ProbeLimits{}, time.Unix(0, 0))
	require.True(t, b.Spend(time.Unix(0, 0)))
}
