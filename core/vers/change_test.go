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

// TestMain fixes the random seed, so that failures are reproducible.
func TestMain(m *testing.M) {
	seed.Main(m)
}

// TestVersionsDeliveredOutOfOrderConverge delivers versions to entries late,
// repeatedly and in random order, with restarts in between. Entries must never
// move to an older version, and must end with the version in the store.
func TestVersionsDeliveredOutOfOrderConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var store magnolialedge.DocumentVersion
		var sent []magnolialedge.DocumentVersion
		reportedAccepted := map[string]bool{}
		accepted := map[string]bool{}
		entries := make([]ActiveVersion, 3)
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				base := store.Revision - int64(rapid.IntRange(0, 2).Draw(t, "stale"))
				c := Change{ID: fmt.Sprint("c", n), BaseRevision: max(0, base)}
				decision, _ := Decide(store, c)
				if decision != DecisionWrite {
					reportedAccepted[c.ID] = false
					continue
				}
				store = NextVersion(store, c, now)
				accepted[c.ID] = true
				sent = append(sent, store)
				repeated, revision := Decide(store, c)
				require.Equal(t, DecisionAccepted, repeated)
				require.Equal(t, store.Revision, revision)
			case 1:
				if len(sent) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
				v := rapid.SampledFrom(sent).Draw(t, "version")
				before := entries[i].Version().Revision
				advanced := entries[i].Advance(v)
				require.Equal(t, v.Revision > before, advanced)
				require.Equal(t, max(before, v.Revision), entries[i].Version().Revision)
				require.True(t, accepted[entries[i].Version().ChangeID])
			case 2:
				i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
				entries[i] = ActiveVersion{}
			}
		}
		for id, want := range reportedAccepted {
			require.Equal(t, want, accepted[id])
		}
		for i := range entries {
			entries[i].Advance(store)
			require.Equal(t, store, entries[i].Version())
		}
	})
}

// TestChangeOlderThanRecentChangesIsTooOld guards against reporting an accepted
// change as a conflict once the stored version no longer lists it.
func TestChangeOlderThanRecentChangesIsTooOld(t *testing.T) {
	var store magnolialedge.DocumentVersion
	first := Change{ID: "first"}
	store = NextVersion(store, first, time.Time{})
	for i := range maxRecentChanges {
		store = NextVersion(store, Change{ID: fmt.Sprint(i), BaseRevision: store.Revision}, time.Time{})
	}
	decision, _ := Decide(store, first)
	require.Equal(t, DecisionTooOld, decision)
}

func TestRelaysIgnoreListOrder(t *testing.T) {
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
