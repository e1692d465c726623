package proc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
)

// TestMeasurementBudgetIsNeverExceeded spends from the limiters of up to the
// maximum number of entries, whose clocks jump and which restart at any time.
func TestMeasurementBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 12).Draw(t, "entries")
		bytes := rapid.Float64Range(0, 5000).Draw(t, "bytes")
		operations := rapid.Float64Range(0, 50).Draw(t, "operations")
		doc := magnolialedge.Document{
			Regions:           []magnolialedge.Region{{Name: "r", MaxEntries: entries}, {Name: "q", MaxEntries: 1}},
			MeasurementBudget: magnolialedge.MeasurementBudget{BytesPerSecond: bytes, OperationsPerSecond: operations},
		}
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		now := start
		limiters := make([]*MeasurementLimiter, entries)
		opened := make([]time.Time, entries)
		for i := range limiters {
			limiters[i] = NewMeasurementLimiter(doc, "r")
			limiters[i].Spend(now, "s", "r", Cost{})
			opened[i] = now
		}
		var spent Cost
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, entries-1).Draw(t, "entry")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				limiters[i] = NewMeasurementLimiter(doc, "r")
			case 1:
				limiters[i] = limiters[i].WithDocument(doc, now)
			}
			at := now.Add(-time.Duration(rapid.IntRange(0, 300).Draw(t, "clock lag")) * time.Millisecond)
			cost := Cost{Bytes: rapid.Float64Range(0, 400).Draw(t, "size"), Operations: 1}
			if limiters[i].Spend(at, "s", "r", cost) {
				spent.Bytes += cost.Bytes
				spent.Operations++
			}
			if limiters[i].Spend(at, "s", "q", cost) {
				t.Fatal("message to another region was allowed without a budget")
			}
		}
		elapsed := now.Sub(start).Seconds()
		if spent.Bytes > bytes*elapsed+1e-6 || spent.Operations > operations*elapsed+1e-6 {
			t.Fatalf("spent %+v in %.3f s, more than the budget", spent, elapsed)
		}
	})
}

// TestLowPriorityMessagesLeaveBudgetToOthers sends load reports between regions
// continuously. A report of a request that crashes upstreams must still be
// allowed.
func TestLowPriorityMessagesLeaveBudgetToOthers(t *testing.T) {
	doc := magnolialedge.Document{
		Regions:           []magnolialedge.Region{{Name: "r", MaxEntries: 8}, {Name: "q", MaxEntries: 8}},
		MeasurementBudget: magnolialedge.MeasurementBudget{CrossRegion: []magnolialedge.RegionPairBudget{{From: "r", To: "q", BytesPerSecond: 1500, OperationsPerSecond: 4}}},
	}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := NewMeasurementLimiter(doc, "r").WithDocument(doc, now)
	reports := 0
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		if l.SpendLowPriority(now, "s", "q", Cost{Bytes: 85}) {
			reports++
		}
	}
	require.NotZero(t, reports)
	require.True(t, l.Spend(now, "s", "q", Cost{Bytes: 440, Operations: 1}))
}

func TestRatioBudgetStaysWithinRatioAndInitialTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.Float64Range(0, 50).Draw(t, "percent")
		b := NewRatioBudget(percent)
		deposits, withdrawals := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "regular request") {
				b.Deposit()
				deposits++
			} else if b.Withdraw() {
				withdrawals++
			}
		}
		if float64(withdrawals) > float64(deposits)*percent/100+initialRatioTokens+1e-6 {
			t.Fatalf("%d withdrawals after %d deposits at %.1f%%", withdrawals, deposits, percent)
		}
	})
}

func TestRefundedRetryCanBeUsedAgain(t *testing.T) {
	b := RetryLimits{Ratio: 0.2, Extra: 16}.NewRetryBudget(8)
	require.True(t, b.Withdraw())
	require.True(t, b.Withdraw())
	require.False(t, b.Withdraw())
	b.Refund()
	require.True(t, b.Withdraw())
	require.False(t, b.Withdraw())
	for range 5 {
		b.Refund()
	}
	require.True(t, b.Withdraw())
	require.True(t, b.Withdraw())
	require.False(t, b.Withdraw(), "not more than the capacity")
}
