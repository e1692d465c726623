package vers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
	"magnolialedge/io/seed"
)

// TestMain fixes the seed, so that each run takes the same steps.
func TestMain(m *testing.M) {
	seed.Main(m)
}

// TestEntriesThatHearOfVersionsInAnyOrderEndWithTheNaiveOnes compares entries
// that get versions late, repeated and in any order with the naive version, in
// which each entry reads the store itself.
func TestEntriesThatHearOfVersionsInAnyOrderEndWithTheNaiveOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var store magnolialedge.DocumentVersion
		var sent []magnolialedge.DocumentVersion
		told := map[string]bool{}
		accepted := map[string]bool{}
		holders := make([]ActiveVersion, 3)
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				base := store.Revision - int64(rapid.IntRange(0, 2).Draw(t, "stale"))
				c := Change{ID: fmt.Sprint("c", n), BaseRevision: max(0, base)}
				ruling, _ := Decide(store, c)
				if ruling != DecisionWrite {
					told[c.ID] = false
					continue
				}
				store = NextVersion(store, c, now)
				accepted[c.ID] = true
				sent = append(sent, store)
				settled, revision := Decide(store, c)
				require.Equal(t, DecisionAccepted, settled)
				require.Equal(t, store.Revision, revision)
			case 1:
				if len(sent) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(holders)-1).Draw(t, "entry")
				v := rapid.SampledFrom(sent).Draw(t, "version")
				before := holders[i].Version().Revision
				took := holders[i].Advance(v)
				require.Equal(t, v.Revision > before, took)
				require.Equal(t, max(before, v.Revision), holders[i].Version().Revision)
				require.True(t, accepted[holders[i].Version().ChangeID])
			case 2:
				i := rapid.IntRange(0, len(holders)-1).Draw(t, "entry")
				holders[i] = ActiveVersion{}
			}
		}
		for id, yes := range told {
			require.Equal(t, yes, accepted[id])
		}
		for i := range holders {
			holders[i].Advance(store)
			require.Equal(t, store, holders[i].Version())
		}
	})
}

func TestChangeThatIsTooOldIsNotCalledRefused(t *testing.T) {
	var store magnolialedge.DocumentVersion
	first := Change{ID: "first"}
	store = NextVersion(store, first, time.Time{})
	for i := range maxRecentChanges {
		store = NextVersion(store, Change{ID: fmt.Sprint(i), BaseRevision: store.Revision}, time.Time{})
	}
	ruling, _ := Decide(store, first)
	require.Equal(t, DecisionTooOld, ruling)
}

func TestRelaysAreTheSameFromAnyOrderOfTheList(t *testing.T) {
	list := []magnolialedge.Instance{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "c", Region: "r"}, {Name: "d", Region: "q"}}
	want := Relays(list, "r")
	require.Len(t, want, 2)
	list[0], list[2] = list[2], list[0]
	require.Equal(t, want, Relays(list, "r"))
	for i := range list {
		list[i].Leaving = list[i].Name == want[0].Name
	}
	require.NotContains(t, Relays(list, "r"), want[0])
}
