package limit

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBudgetHoldsForAllHolders guards against holders that together hold more than the budget,
// and against bytes that are not given back.
func TestBudgetHoldsForAllHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxBytes, maxOwn = 1000, 600
		b := NewBudget(maxBytes)
		holders := []*Holder{NewHolder(HolderConfig{Budget: b, MaxBytes: maxOwn}), NewHolder(HolderConfig{Budget: b})}
		var shares []*Share
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch i := rapid.IntRange(0, 3).Draw(t, "step"); {
			case i == 0 || len(shares) == 0:
				shares = append(shares, holders[rapid.IntRange(0, 1).Draw(t, "holder")].NewShare())
			case i == 1:
				shares[rapid.IntRange(0, len(shares)-1).Draw(t, "share")].Close()
			default:
				shares[rapid.IntRange(0, len(shares)-1).Draw(t, "share")].Reserve(rapid.Int64Range(0, 500).Draw(t, "bytes"))
			}
			require.LessOrEqual(t, b.held.Load(), int64(maxBytes))
			require.LessOrEqual(t, holders[0].HeldBytes(), int64(maxOwn))
			require.Equal(t, b.held.Load(), holders[0].HeldBytes()+holders[1].HeldBytes())
		}
		for _, s := range shares {
			s.Close()
			require.False(t, s.Reserve(1), "a closed share reserves bytes that nobody releases")
		}
		require.Zero(t, b.held.Load())
	})
}

func TestSharesAreSafeForConcurrentUse(t *testing.T) {
	h := NewHolder(HolderConfig{MaxBytes: 100})
	var group sync.WaitGroup
	for range 50 {
		s := h.NewShare()
		group.Go(func() { s.Reserve(7) })
		group.Go(func() { s.Close() })
		group.Go(func() { s.Close() })
	}
	group.Wait()
	require.Zero(t, h.HeldBytes())
}
