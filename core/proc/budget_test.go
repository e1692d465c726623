package proc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
)

// TestMeasuringBudgetIsNeverExceeded spends from the ledgers of any number of
// entries up to the greatest, whose clocks jump and which restart at any time.
func TestMeasuringBudgetIsNeverExceeded(t *testing.T) {
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
		ledgers := make([]*MeasurementLimiter, entries)
		opened := make([]time.Time, entries)
		for i := range ledgers {
			ledgers[i] = NewMeasurementLimiter(doc, "r")
			ledgers[i].Spend(now, "s", "r", Cost{})
			opened[i] = now
		}
		var spent Cost
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, entries-1).Draw(t, "entry")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				ledgers[i] = NewMeasurementLimiter(doc, "r")
			case 1:
				ledgers[i] = ledgers[i].WithDocument(doc, now)
			}
			at := now.Add(-time.Duration(rapid.IntRange(0, 300).Draw(t, "clock back")) * time.Millisecond)
			cost := Cost{Bytes: rapid.Float64Range(0, 400).Draw(t, "size"), Operations: 1}
			if ledgers[i].Spend(at, "s", "r", cost) {
				spent.Bytes += cost.Bytes
				spent.Operations++
			}
			if ledgers[i].Spend(at, "s", "q", cost) {
				t.Fatal("a message crossed regions without a budget")
			}
		}
		passed := now.Sub(start).Seconds()
		if spent.Bytes > bytes*passed+1e-6 || spent.Operations > operations*passed+1e-6 {
			t.Fatalf("spent %+v in %.3f s", spent, passed)
		}
	})
}

// TestReportsLeaveRoomForNews spends reports between regions all the time; news of
// a crashing request must still be paid for.
func TestReportsLeaveRoomForNews(t *testing.T) {
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

func TestShareBudgetAllowsItsShareAndAReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.Float64Range(0, 50).Draw(t, "percent")
		b := NewRatioBudget(percent)
		earned, spent := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "ordinary") {
				b.Deposit()
				earned++
			} else if b.Withdraw() {
				spent++
			}
		}
		if float64(spent) > float64(earned)*percent/100+initialRatioTokens+1e-6 {
			t.Fatalf("spent %d after %d at %.1f%%", spent, earned, percent)
		}
	})
}
