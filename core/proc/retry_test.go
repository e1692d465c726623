package proc

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRetryBudgetsTogetherStayWithinLimits lets random numbers of entries retry
// as often as their budgets allow, including the case that all of them accumulate
// budget over several periods and then retry in the same period.
func TestRetryBudgetsTogetherStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := RetryLimits{Ratio: 0.2, Extra: rapid.Float64Range(40, 250).Draw(t, "extra")}
		entries := rapid.IntRange(1, int(limits.Extra)).Draw(t, "entries")
		budgets := make([]*RatioBudget, entries)
		for i := range budgets {
			budgets[i] = limits.NewRetryBudget(entries)
		}
		for range rapid.IntRange(1, 6).Draw(t, "periods") {
			requests := rapid.IntRange(0, 5000).Draw(t, "requests")
			failing := rapid.Bool().Draw(t, "failing")
			retries := 0
			for i := range requests {
				b := budgets[i%entries]
				b.Deposit()
				withdraw := b.Withdraw
				if i%3 > 0 {
					withdraw = b.WithdrawUnreserved
				}
				for failing && withdraw() {
					retries++
				}
			}
			require.LessOrEqual(t, float64(retries), limits.Ratio*float64(requests)+limits.Extra)
		}
	})
}

func TestRetryBudgetOfLargeFleetAllowsOneRetry(t *testing.T) {
	limits := RetryLimits{Ratio: 0.2, Extra: 50}
	require.True(t, limits.NewRetryBudget(1000).Withdraw())
}

func TestSetCapacityDiscardsTokens(t *testing.T) {
	limits := RetryLimits{Ratio: 0.2, Extra: 60}
	b := limits.NewRetryBudget(1)
	b.SetCapacity(limits.CapacityPerEntry(60))
	require.True(t, b.Withdraw())
	require.False(t, b.Withdraw())
}

// Upstreams of a service reject over half of what arrives: every request wants a retry.
// First come, first served, the most urgent third would get a third of the retries.
func TestLastThirdOfRetriesIsReserved(t *testing.T) {
	for _, entries := range []int{8, 120} {
		b := RetryLimits{Ratio: 0.2, Extra: 50}.NewRetryBudget(entries)
		urgent, others := 0, 0
		for i := range 30_000 {
			b.Deposit()
			switch {
			case i%3 == 0 && b.Withdraw():
				urgent++
			case i%3 > 0 && b.WithdrawUnreserved():
				others++
			}
		}
		require.GreaterOrEqual(t, float64(urgent), float64(urgent+others)/3, "%d entries", entries)
		require.LessOrEqual(t, float64(others), 30_000*0.2*retryRatioUsed*2/3+10, "%d entries", entries)
	}
}

// Retries of less value must use the budget that no one else wants, but for its last third.
func TestUnreservedRetriesLeaveThird(t *testing.T) {
	b := RetryLimits{Ratio: 0.2, Extra: 48}.NewRetryBudget(8)
	taken := 0
	for b.WithdrawUnreserved() {
		taken++
	}
	require.Equal(t, 4, taken)
	require.True(t, b.Withdraw())
}
