package admit

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// All entries lost power, and 100 callers of each of two priorities come within 20 ms to
// an entry that can serve 100 a second. With one Retry-After for all they would come
// back together.
func TestReturnsAreSpreadByPriority(t *testing.T) {
	r := NewReturnSchedule(1)
	returns := [2][]time.Duration{}
	for i := range 200 {
		now := at(0).Add(time.Duration(i) * 100 * time.Microsecond)
		rank := 1 - i%2
		wait := r.Plan(now, Rank{Route: rank}, 50*time.Millisecond, 100)
		returns[rank] = append(returns[rank], now.Add(wait).Sub(at(0)))
	}
	for rank, all := range returns {
		slices.Sort(all)
		for i := range all {
			next, found := slices.BinarySearch(all, all[i]+200*time.Millisecond)
			require.LessOrEqual(t, next-i, 30, "priority %d at %v (%v): 20 can be served in 200 ms", rank, all[i], found)
		}
	}
	median := func(all []time.Duration) time.Duration { return all[len(all)/2] }
	require.Less(t, median(returns[0]), median(returns[1]))
}

// Once the returns have come, they no longer delay others.
func TestPastReturnsAreForgotten(t *testing.T) {
	r := NewReturnSchedule(1)
	for range 100 {
		r.Plan(at(0), Rank{}, 50*time.Millisecond, 100)
	}
	later := at(0).Add(maxReturn)
	require.Less(t, r.Plan(later, Rank{}, 50*time.Millisecond, 100), 150*time.Millisecond)
	r.forgetBefore(slotOf(later.Add(time.Hour)))
	require.Empty(t, r.planned)
}

// Whatever is planned, the time is between the earliest and the longest one, and a run
// with the same seed gives the same times.
func TestReturnsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewReturnSchedule(3), NewReturnSchedule(3)
		now := at(0)
		for range rapid.IntRange(1, 100).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			rank := Rank{Route: rapid.IntRange(0, 2).Draw(t, "route")}
			earliest := time.Duration(rapid.IntRange(50, 2500).Draw(t, "earliest")) * time.Millisecond
			rate := rapid.Float64Range(0, 50).Draw(t, "rate")
			wait := a.Plan(now, rank, earliest, rate)
			require.Equal(t, wait, b.Plan(now, rank, earliest, rate))
			require.GreaterOrEqual(t, wait, earliest)
			require.LessOrEqual(t, wait, max(earliest, maxReturn))
			require.LessOrEqual(t, len(a.planned), int(maxReturn/returnSlot)+1)
		}
	})
}
