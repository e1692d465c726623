package acct

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Random kills, pauses, cuts, losses and loads must never exceed the hard bound.
func TestRandomFaultsNeverExceedTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.5, 3, 20, 170}).Draw(t, "rate")
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "entries"), rate)
		s.load(rate*rapid.Float64Range(0.5, 8).Draw(t, "factor"), 20*time.Second, s.uneven())
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			e := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")]
			o := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(t, "other")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				if !e.dead {
					s.kill(e, time.Duration(rapid.IntRange(10, 3000).Draw(t, "ms"))*time.Millisecond)
				}
			case 1:
				e.pausedUntil = s.now.Add(time.Duration(rapid.IntRange(10, 5000).Draw(t, "ms")) * time.Millisecond)
			case 2:
				s.isCut = func(a, b *simEntry) bool { return a != b && (a == e || b == e || a == o || b == o) }
			case 3:
				s.isCut = func(a, b *simEntry) bool { return a.index%2 != b.index%2 }
			case 4:
				s.isCut = func(a, b *simEntry) bool { return false }
			case 5:
				s.lossRatio = rapid.Float64Range(0, 0.4).Draw(t, "loss")
			}
			s.runFor(time.Duration(rapid.IntRange(10, 3000).Draw(t, "after")) * time.Millisecond)
		}
		requireBound(t, s)
	})
}
