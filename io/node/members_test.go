package node

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

func member(name, region string) magnolialedge.Instance {
	return magnolialedge.Instance{Name: name, Region: region, CallerAddress: name + ":1", PeerAddress: name + ":2"}
}

func announced(t *testing.T, in magnolialedge.Instance) magnolialedge.Item {
	t.Helper()
	value, err := json.Marshal(in)
	require.NoError(t, err)
	return magnolialedge.Item{Key: membersPrefix + in.Name, Value: value, Revision: 1}
}

// fleetOf returns the view that each of the named entries of a region has.
func fleetOf(t *testing.T, region string, names ...string) map[string]*members {
	t.Helper()
	views := map[string]*members{}
	for _, self := range names {
		m := newMembers(member(self, region))
		for _, other := range names {
			m.applyItem(announced(t, member(other, region)))
		}
		m.applyItem(announced(t, member("elsewhere", "west")))
		views[self] = m
	}
	return views
}

func TestOneEntryOfARegionWatchesAndTheOthersFollowIt(t *testing.T) {
	views := fleetOf(t, "east", "a", "b", "c", "d")
	watchers, seconds := 0, 0
	first := ""
	for _, m := range views {
		switch sources := m.sources(); len(sources) {
		case 0:
			watchers++
		case 1:
			seconds++
			first = sources[0]
		default:
			require.Len(t, sources, 2)
		}
	}
	require.Equal(t, 1, watchers)
	require.Equal(t, 1, seconds)
	for _, m := range views {
		if sources := m.sources(); len(sources) > 0 {
			require.Equal(t, first, sources[0])
		}
	}
}

func TestLeavingEntryIsNeitherSourceNorAddress(t *testing.T) {
	views := fleetOf(t, "east", "a", "b", "c")
	m := views["a"]
	before := m.addresses("shop.example", "east")
	require.Len(t, before, 2)
	for _, name := range []string{"b", "c"} {
		left := member(name, "east")
		left.Leaving = true
		m.applyItem(announced(t, left))
	}
	require.Equal(t, []string{"a:1"}, m.addresses("shop.example", "east"))
	require.Empty(t, m.sources())
}

func TestRegionWithoutEntriesIsServedByOthers(t *testing.T) {
	views := fleetOf(t, "east", "a", "b")
	require.NotEmpty(t, views["a"].addresses("shop.example", "north"))
}

func TestEntryWhoseListingLapsedStillNamesItself(t *testing.T) {
	m := newMembers(member("a", "east"))
	require.Equal(t, []string{"a:1"}, m.addresses("shop.example", "east"))
	m.setLeaving()
	require.Empty(t, m.addresses("shop.example", "east"))
}

func TestUnreadableMemberIsLeftOut(t *testing.T) {
	m := newMembers(member("a", "east"))
	require.True(t, m.applyItem(magnolialedge.Item{Key: membersPrefix + "b", Value: []byte("{"), Revision: 2}))
	require.False(t, m.applyItem(magnolialedge.Item{Key: "other/b", Revision: 2}))
	require.Len(t, m.list(), 1)
}

// Pattern: entries are restarted one after the other while the store is down, so
// that its list is that of before.
func TestEntryIsBelievedAboutItselfWhileTheStoreIsAway(t *testing.T) {
	views := fleetOf(t, "east", "a", "b")
	m := views["a"]
	left := member("b", "east")
	left.Leaving = true
	m.recordSelfReport(left)
	require.Equal(t, []string{"a:1"}, m.addresses("shop.example", "east"))
	again := member("b", "east")
	again.StartedAt = 5
	m.recordSelfReport(again)
	m.recordSelfReport(left)
	require.Len(t, m.addresses("shop.example", "east"), 2)
}

func TestEntryThatHasEndedLeavesTheAnswersUntilItStartsAgain(t *testing.T) {
	m := newMembers(magnolialedge.Instance{Name: "e1", Region: "east"})
	listed := func(startedAt int64) {
		value, err := json.Marshal(magnolialedge.Instance{Name: "e2", Region: "east", StartedAt: startedAt})
		require.NoError(t, err)
		m.applyItem(magnolialedge.Item{Key: membersPrefix + "e2", Value: value})
	}
	require.False(t, m.markEnded(endReport{Name: "e2", StartedAt: 5}))
	listed(5)
	require.Len(t, m.list(), 2)
	require.True(t, m.markEnded(endReport{Name: "e2", StartedAt: 5}))
	require.False(t, m.markEnded(endReport{Name: "e2", StartedAt: 5}))
	require.Len(t, m.list(), 1)
	listed(5)
	require.Len(t, m.list(), 1)
	m.recordSelfReport(magnolialedge.Instance{Name: "e2", Region: "east", StartedAt: 6})
	require.Len(t, m.list(), 2)
	require.False(t, m.markEnded(endReport{Name: "e2", StartedAt: 5}))
	require.Len(t, m.list(), 2)
}

func TestEntryIsNotTakenForEndedByItself(t *testing.T) {
	m := newMembers(magnolialedge.Instance{Name: "e1", Region: "east", StartedAt: 5})
	m.applyItem(magnolialedge.Item{Key: membersPrefix + "e1", Value: []byte(`{"name":"e1","startedAt":5}`)})
	require.False(t, m.markEnded(endReport{Name: "e1", StartedAt: 5}))
	require.Len(t, m.list(), 1)
}
