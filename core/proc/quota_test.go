package proc

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
)

const testHost = "shop.example"

var quotaStart = time.Unix(1_800_000_000, 0)

func quotaAt(ms int) time.Time {
	return quotaStart.Add(time.Duration(ms) * time.Millisecond)
}

func fraction(f float64) magnolialedge.QuotaShare {
	return magnolialedge.QuotaShare{Fraction: f, ExploreInterval: time.Minute}
}

func TestQuotaStartsEmptyAndKeepsItsRate(t *testing.T) {
	q := NewQuota(quotaAt(0), 4, fraction(0.5))
	require.False(t, q.IsAvailable(quotaAt(499)))
	sent := 0
	for ms := 0; ms < 10_000; ms += 10 {
		if q.IsAvailable(quotaAt(ms)) {
			q.Take(quotaAt(ms))
			sent++
		}
	}
	require.InDelta(t, 20, sent, 1)
}

// Guards against two entries that use the same share for a moment, because they learn
// at different times which of them has it.
func TestLargerShareTakesEffectLater(t *testing.T) {
	q := NewQuota(quotaAt(0), 10, fraction(0))
	q.SetShare(quotaAt(100), fraction(0.5))
	q.SetShare(quotaAt(100+int(shareGrowthDelay.Milliseconds())-1), fraction(0.5))
	require.Zero(t, q.Rate())
	q.SetShare(quotaAt(100+int(shareGrowthDelay.Milliseconds())), fraction(0.5))
	require.Equal(t, 5.0, q.Rate())
	q.SetShare(quotaAt(2200), fraction(0.25))
	require.Equal(t, 2.5, q.Rate())
}

// Guards against an entry that leaves an upstream out for good, because the message that
// its limit has ended was lost.
func TestEntryWithoutShareExplores(t *testing.T) {
	q := NewQuota(quotaAt(0), 10, fraction(0))
	require.False(t, q.IsOpen(quotaAt(59_999)))
	require.True(t, q.IsOpen(quotaAt(60_000)))
	require.True(t, q.IsAvailable(quotaAt(60_000)))
	q.Take(quotaAt(60_000))
	require.False(t, q.IsAvailable(quotaAt(60_001)))
	require.False(t, q.IsOpen(quotaAt(60_001)))
}

// Guards against a quota whose holders no caller is steered to.
func TestHoldersAreTheEntriesThatCallersUse(t *testing.T) {
	all := nineZones(8)
	place := Place{Region: "r1", Zone: "z4"}
	r := magnolialedge.Registration{ID: "u", Service: "svc", Zone: "z4"}
	live, count := Steer(all, place, testHost, 0)
	steeredTo := []string{}
	for _, in := range live[:count] {
		steeredTo = append(steeredTo, in.Name)
	}
	holders := quotaHolders(all, r, place, []string{testHost})
	require.ElementsMatch(t, steeredTo, holders)
	var equals []magnolialedge.Instance
	for i := range 10 {
		equals = append(equals, magnolialedge.Instance{Name: fmt.Sprint("e", i), Region: "r1"})
	}
	require.Len(t, quotaHolders(equals, r, place, []string{"a", "b", "c", "d", "e", "f"}), maxQuotaHolders)
	require.NotEmpty(t, quotaHolders(all, r, Place{Region: "lost"}, nil))
}

// An entry in a simulation. It knows of each change of the members after a delay.
type quotaEntry struct {
	quota *Quota
	// joined and left are the times at which the entry starts and stops, in ms; 0 stands
	// for a start long before.
	joined, left int
	// delay is the time after which the entry knows of a change, in ms.
	delay int
}

// view returns the entries as e knows them at ms.
func (e *quotaEntry) view(all []*quotaEntry, ms int) []magnolialedge.Instance {
	var out []magnolialedge.Instance
	for i, other := range all {
		known := ms - e.delay
		isKnown := (other.joined == 0 || other.joined <= known) && known < other.left
		if e == other || isKnown {
			out = append(out, magnolialedge.Instance{Name: fmt.Sprint("e", i), Region: "r"})
		}
	}
	return out
}

// Entries join and leave at random times, and know of it after random delays of up to
// most of shareGrowthDelay. All of them always have requests to send. In no 4 s may the
// upstream receive more than one and a half times its limit and 5.
func TestEntriesTogetherKeepALimitWhileMembersChange(t *testing.T) {
	const window, end = 4000, 16_000
	r := magnolialedge.Registration{ID: "u", Service: "svc"}
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.1, 20).Draw(t, "limit")
		hosts := []string{testHost, "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "hosts")]
		var all []*quotaEntry
		for range rapid.IntRange(1, 8).Draw(t, "entries") {
			e := &quotaEntry{left: end, delay: rapid.IntRange(0, 1800).Draw(t, "delay")}
			if rapid.Bool().Draw(t, "joins") {
				e.joined = rapid.IntRange(1, end).Draw(t, "joined")
			} else if rapid.Bool().Draw(t, "leaves") {
				e.left = rapid.IntRange(1, end).Draw(t, "left")
			}
			all = append(all, e)
		}
		var sent []int
		for ms := 0; ms < end; ms += 100 {
			for i, e := range all {
				if ms < e.joined || ms >= e.left {
					continue
				}
				share := ShareQuota(e.view(all, ms), fmt.Sprint("e", i), r, Place{Region: "r"}, hosts)
				if e.joined > 0 && ms-e.joined < int(MemberSettleTime.Milliseconds()) {
					share.Fraction = 0
				}
				if e.quota == nil {
					e.quota = NewQuota(quotaAt(ms), limit, share)
				}
				e.quota.SetShare(quotaAt(ms), share)
				for e.quota.IsOpen(quotaAt(ms)) && e.quota.IsAvailable(quotaAt(ms)) {
					e.quota.Take(quotaAt(ms))
					sent = append(sent, ms)
				}
			}
		}
		for i, from := range sent {
			n, _ := slices.BinarySearch(sent[i:], from+window)
			require.LessOrEqual(t, float64(n), 1.5*limit*window/1000+5, "limit %g from %d ms", limit, from)
		}
	})
}
