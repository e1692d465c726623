package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func at(ms int) time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(ms) * time.Millisecond)
}

// A rank that is no longer in use must not hold back the retries of the others.
func TestMostUrgentRankIsOneInUse(t *testing.T) {
	var r Ranks
	r.Record(at(0), Rank{Account: 0, Route: 2})
	require.False(t, r.HasSeveral(at(0)))
	r.Record(at(0), Rank{Account: 1, Route: 0})
	require.True(t, r.HasSeveral(at(0)))
	require.True(t, r.IsMostUrgent(at(0), Rank{Account: 0, Route: 2}))
	require.False(t, r.IsMostUrgent(at(0), Rank{Account: 1, Route: 0}))
	later := at(0).Add(rankMemory)
	require.True(t, r.IsMostUrgent(later, Rank{Account: 1, Route: 0}))
}

func TestMoreUrgentRateConverges(t *testing.T) {
	var r Ranks
	for i := range 500 {
		r.Record(at(10*i), Rank{Route: 0})
	}
	require.InDelta(t, 100, r.MoreUrgentRate(at(5000), Rank{Route: 1}), 5)
	require.Zero(t, r.MoreUrgentRate(at(5000), Rank{Route: 0}))
}

// The table must stay bounded however many ranks callers' routes have.
func TestRanksAreBounded(t *testing.T) {
	var r Ranks
	for i := range 1000 {
		r.Record(at(i), Rank{Route: i})
	}
	require.LessOrEqual(t, len(r.arrivals), maxRanks)
}
