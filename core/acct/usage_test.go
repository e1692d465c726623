package acct

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against one time series for each of many accounts, and against requests that are
// counted twice or not at all: 250 accounts share 100 labels.
func TestBusiestAccountsKeepTheirLabels(t *testing.T) {
	const maxLabels, steps = 100, 100_000
	u := NewUsage(maxLabels)
	shown := map[string]uint64{}
	rng := rand.New(rand.NewPCG(1, 2))
	for range steps {
		account := fmt.Sprint("a", int(250*rng.Float64()*rng.Float64()))
		other := shown[OtherLabel]
		c := u.Add(account)
		if c.Evicted != "" {
			require.Equal(t, shown[c.Evicted], c.Moved)
			delete(shown, c.Evicted)
			shown[OtherLabel] += c.Moved
		}
		shown[c.Label]++
		require.GreaterOrEqual(t, shown[OtherLabel], other)
		require.LessOrEqual(t, len(shown), maxLabels+1)
	}
	total := uint64(0)
	for _, n := range shown {
		total += n
	}
	require.Equal(t, uint64(steps), total)
	for i := range 50 {
		require.Contains(t, shown, fmt.Sprint("a", i), "the busiest accounts have labels")
	}
	u.Retain(func(string) bool { return false })
	require.Len(t, u.requests, maxLabels)
}
