package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newShortGate returns a gate at 5 s, of an entry that gets 100 urgent and 50 other
// requests a second and has been able to send sent requests a second, while requests wait.
func newShortGate(sent int) *Gate {
	g := &Gate{}
	for ms := range 5000 {
		if ms == 4000 {
			g.RecordWaiting(at(ms), 1)
		}
		if ms%10 == 0 {
			g.Record(at(ms), Rank{})
		}
		if ms%20 == 0 {
			g.Record(at(ms), Rank{Route: 1})
		}
		if ms%(1000/sent) == 0 {
			g.RecordStart(at(ms))
		}
	}
	return g
}

func less(ahead int) Request {
	return Request{Rank: Rank{Route: 1}, Ahead: ahead, MaxWait: 250 * time.Millisecond}
}

// A burst of 1.7 times: the urgent requests take all capacity, and others would wait in
// vain.
func TestGateRefusesWhatWouldWaitInVain(t *testing.T) {
	g := newShortGate(90)
	require.False(t, g.Admits(at(5000), less(0)))
	require.True(t, g.Admits(at(5000), Request{Rank: Rank{}, Ahead: 1000, MaxWait: time.Millisecond}), "the most urgent rank must not be refused")
	require.Equal(t, Rank{Route: 1}, g.Level(at(5000)).Rank)
}

// A wave that leaves some capacity: only requests whose turn would come too late are
// refused.
func TestGateAdmitsWhatCanBeServed(t *testing.T) {
	g := newShortGate(125)
	require.True(t, g.Admits(at(5000), less(1)))
	require.False(t, g.Admits(at(5000), less(20)))
}

// The load rises from a tenth of the capacity within 300 ms. The moving average of the
// sent requests follows late, which must not refuse requests that can be served.
func TestGateFollowsRisingLoad(t *testing.T) {
	g := &Gate{}
	g.Record(at(0), Rank{})
	g.RecordWaiting(at(0), 1)
	for ms := range 300 {
		if ms%10 == 0 {
			g.RecordStart(at(ms))
		}
	}
	require.True(t, g.Admits(at(300), less(15)))
}

// Capacity is back: no admission level may stay for longer than a second.
func TestLevelEndsWithinSecond(t *testing.T) {
	g := newShortGate(90)
	require.False(t, g.Admits(at(5000), less(0)))
	g.RecordWaiting(at(5001), 0)
	require.True(t, g.Admits(at(5002), less(0)))
	require.False(t, g.Level(at(6000)).IsRefusing)
}

// Whatever comes in which order, a gate refuses neither the most urgent rank nor any
// request before the shortage has lasted for minShortage.
func TestGateRefusesOnlyInShortage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &Gate{}
		now, shortSince := at(0), time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			rank := Rank{Account: rapid.IntRange(0, 1).Draw(t, "account"), Route: rapid.IntRange(0, 2).Draw(t, "route")}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				g.RecordStart(now)
			case 1:
				g.Record(now, rank)
			case 2:
				n := rapid.IntRange(0, 2).Draw(t, "waiting")
				g.RecordWaiting(now, n)
				if n == 0 {
					shortSince = time.Time{}
				} else if shortSince.IsZero() {
					shortSince = now
				}
			case 3:
				if g.Admits(now, Request{Rank: rank, Ahead: rapid.IntRange(0, 9).Draw(t, "ahead"), MaxWait: 250 * time.Millisecond}) {
					continue
				}
				require.False(t, g.IsMostUrgent(now, rank))
				require.False(t, shortSince.IsZero())
				require.GreaterOrEqual(t, now.Sub(shortSince), minShortage)
			}
		}
	})
}
