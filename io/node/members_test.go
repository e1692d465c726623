package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/core/alive"
	"magnolialedge/core/proc"
)

func testInstance(name, region string) magnolialedge.Instance {
	return magnolialedge.Instance{Name: name, Region: region, CallerAddress: name + ":1", PeerAddress: name + ":2"}
}

func listingItem(t *testing.T, in magnolialedge.Instance) magnolialedge.Item {
	t.Helper()
	value, err := json.Marshal(in)
	require.NoError(t, err)
	return magnolialedge.Item{Key: membersPrefix + in.Name, Value: value, Revision: 1}
}

// memberViews returns, for each named entry of a region, the members as that
// entry knows them.
func memberViews(t *testing.T, region string, names ...string) map[string]*members {
	t.Helper()
	views := map[string]*members{}
	for _, self := range names {
		m := newMembers(testInstance(self, region))
		for _, other := range names {
			m.applyItem(listingItem(t, testInstance(other, region)))
		}
		m.applyItem(listingItem(t, testInstance("elsewhere", "west")))
		views[self] = m
	}
	return views
}

func TestOneEntryPerRegionWatchesStoreAndOthersFollow(t *testing.T) {
	views := memberViews(t, "east", "a", "b", "c", "d")
	watchers, secondRanked := 0, 0
	first := ""
	for _, m := range views {
		switch sources := m.sources(); len(sources) {
		case 0:
			watchers++
		case 1:
			secondRanked++
			first = sources[0]
		default:
			require.Len(t, sources, 2)
		}
	}
	require.Equal(t, 1, watchers)
	require.Equal(t, 1, secondRanked)
	for _, m := range views {
		if sources := m.sources(); len(sources) > 0 {
			require.Equal(t, first, sources[0])
		}
	}
}

func TestLeavingEntryIsExcludedFromSourcesAndAddresses(t *testing.T) {
	views := memberViews(t, "east", "a", "b", "c")
	m := views["a"]
	before := callerAddresses(m.steered("shop.example", proc.Place{Region: "east"}, nil))
	require.Len(t, before, 2)
	for _, name := range []string{"b", "c"} {
		leaving := testInstance(name, "east")
		leaving.Leaving = true
		m.applyItem(listingItem(t, leaving))
	}
	require.Equal(t, []string{"a:1"}, callerAddresses(m.steered("shop.example", proc.Place{Region: "east"}, nil)))
	require.Empty(t, m.sources())
}

func TestRegionWithoutEntriesGetsAddressesOfOtherRegions(t *testing.T) {
	views := memberViews(t, "east", "a", "b")
	require.NotEmpty(t, callerAddresses(views["a"].steered("shop.example", proc.Place{Region: "north"}, nil)))
}

func TestUnlistedEntryStillReturnsItsOwnAddress(t *testing.T) {
	m := newMembers(testInstance("a", "east"))
	require.Equal(t, []string{"a:1"}, callerAddresses(m.steered("shop.example", proc.Place{Region: "east"}, nil)))
	m.setLeaving()
	require.Empty(t, callerAddresses(m.steered("shop.example", proc.Place{Region: "east"}, nil)))
}

func TestMalformedMemberIsIgnored(t *testing.T) {
	m := newMembers(testInstance("a", "east"))
	require.True(t, m.applyItem(magnolialedge.Item{Key: membersPrefix + "b", Value: []byte("{"), Revision: 2}))
	require.False(t, m.applyItem(magnolialedge.Item{Key: "other/b", Revision: 2}))
	require.Len(t, m.list(), 1)
}

// While the store is unreachable, entries may be restarted one after the other,
// and the store's list still shows their state from before the outage.
func TestSelfReportOverridesStaleStoreListing(t *testing.T) {
	views := memberViews(t, "east", "a", "b")
	m := views["a"]
	leaving := testInstance("b", "east")
	leaving.Leaving = true
	m.recordSelfReport(leaving)
	require.Equal(t, []string{"a:1"}, callerAddresses(m.steered("shop.example", proc.Place{Region: "east"}, nil)))
	restarted := testInstance("b", "east")
	restarted.StartedAt = 5
	m.recordSelfReport(restarted)
	m.recordSelfReport(leaving)
	require.Len(t, callerAddresses(m.steered("shop.example", proc.Place{Region: "east"}, nil)), 2)
}

func TestEndedEntryIsExcludedUntilItRestarts(t *testing.T) {
	m := newMembers(magnolialedge.Instance{Name: "e1", Region: "east"})
	putListing := func(startedAt int64) {
		value, err := json.Marshal(magnolialedge.Instance{Name: "e2", Region: "east", StartedAt: startedAt})
		require.NoError(t, err)
		m.applyItem(magnolialedge.Item{Key: membersPrefix + "e2", Value: value})
	}
	require.False(t, m.markEnded(endReport{Name: "e2", StartedAt: 5}))
	putListing(5)
	require.Len(t, m.list(), 2)
	require.True(t, m.markEnded(endReport{Name: "e2", StartedAt: 5}))
	require.False(t, m.markEnded(endReport{Name: "e2", StartedAt: 5}))
	require.Len(t, m.list(), 1)
	putListing(5)
	require.Len(t, m.list(), 1)
	m.recordSelfReport(magnolialedge.Instance{Name: "e2", Region: "east", StartedAt: 6})
	require.Len(t, m.list(), 2)
	require.False(t, m.markEnded(endReport{Name: "e2", StartedAt: 5}))
	require.Len(t, m.list(), 2)
}

func TestEntryIgnoresReportOfItsOwnEnd(t *testing.T) {
	m := newMembers(magnolialedge.Instance{Name: "e1", Region: "east", StartedAt: 5})
	m.applyItem(magnolialedge.Item{Key: membersPrefix + "e1", Value: []byte(`{"name":"e1","startedAt":5}`)})
	require.False(t, m.markEnded(endReport{Name: "e1", StartedAt: 5}))
	require.Len(t, m.list(), 1)
}

// silence makes entries count as silent at m.
func silence(m *members, names ...string) {
	m.silent = func() map[string]alive.State {
		out := map[string]alive.State{}
		for _, name := range names {
			out[name] = alive.State{Name: name, IsSilent: true}
		}
		return out
	}
	m.nameable = func(all []magnolialedge.Instance) []magnolialedge.Instance {
		return slices.DeleteFunc(all, func(in magnolialedge.Instance) bool { return slices.Contains(names, in.Name) })
	}
}

// Load pattern: an entry loses power without any sign. Callers of each region
// are steered to others although its lease still runs, and to it again once it is heard. Responses name
// silent entries rather than none.
func TestCallersAreSteeredAwayFromSilentEntry(t *testing.T) {
	m := newMembers(testInstance("a", "east"))
	for _, name := range []string{"a", "b", "c"} {
		m.applyItem(listingItem(t, testInstance(name, "east")))
	}
	m.applyItem(listingItem(t, testInstance("d", "west")))
	east, west := proc.Place{Region: "east"}, proc.Place{Region: "west"}
	named := func(place proc.Place, regions []string) []string {
		return callerAddresses(m.steered("shop.example", place, regions))
	}
	lost := "b"
	if !slices.Contains(named(east, nil), "b:1") {
		lost = "c"
	}
	silence(m, lost)
	require.Len(t, named(east, nil), 2)
	require.NotContains(t, named(east, nil), lost+":1")
	require.Len(t, m.list(), 4, "a silent entry stays a member")
	silence(m)
	require.Contains(t, named(east, nil), lost+":1")
	silence(m, "d")
	require.NotContains(t, named(west, nil), "d:1", "callers of a region without entries are steered to another one")
	require.Equal(t, []string{"d:1"}, named(west, []string{"west"}), "a response is never empty because of a silence")
}

// Load pattern: the store is away for all of a region's entries. Few of them may call
// it; the others wait for these. If an entry that may does not respond, the next one
// takes its place.
func TestFewEntriesWatchTheStoreWhileTheSourcesHaveLostIt(t *testing.T) {
	names := []string{}
	for i := range 30 {
		names = append(names, fmt.Sprintf("e%02d", i))
	}
	watchers := func(unreachable string) []string {
		var out []string
		for _, name := range names {
			m := newMembers(testInstance(name, "east"))
			for _, other := range names {
				m.applyItem(listingItem(t, testInstance(other, "east")))
			}
			silence(m, unreachable)
			if m.mayWatch() {
				out = append(out, name)
				continue
			}
			require.Len(t, m.sources(), sourcesPerRegion)
			require.Len(t, m.spareSources(), watchersPerRegion-sourcesPerRegion)
			require.NotContains(t, append(m.sources(), m.spareSources()...), unreachable+":2")
		}
		return out
	}
	all := watchers("")
	require.Len(t, all, watchersPerRegion)
	require.GreaterOrEqual(t, len(watchers(all[0])), watchersPerRegion)
}

func TestEntryThatDidNotEndIsListedAgain(t *testing.T) {
	m := newMembers(magnolialedge.Instance{Name: "e1", Region: "east"})
	in := testInstance("e2", "east")
	in.StartedAt = 5
	m.applyItem(listingItem(t, in))
	report := endReport{Name: "e2", StartedAt: 5}
	_, ended := m.findEnded(report)
	require.False(t, ended)
	require.True(t, m.markEnded(report))
	found, ended := m.findEnded(report)
	require.True(t, ended)
	require.Equal(t, "e2:2", found.PeerAddress)
	m.unmarkEnded(report)
	require.Len(t, m.list(), 2)
	in.StartedAt = 6
	m.applyItem(listingItem(t, in))
	_, ended = m.findEnded(report)
	require.False(t, ended, "another run")
}
