package proc

import (
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// isolate marks the entries that match as reaching no upstream.
func isolate(all []magnolialedge.Instance, match func(magnolialedge.Instance) bool) {
	for i := range all {
		all[i].Isolated = match(all[i])
	}
}

func namesOf(all []magnolialedge.Instance) []string {
	out := []string{}
	for _, in := range all {
		out = append(out, in.Name)
	}
	return out
}

func placeOf(in magnolialedge.Instance) Place {
	return Place{Region: in.Region, Zone: in.Zone}
}

// Load pattern: a zone of 35 of 315 entries reaches no upstream. Its callers use the
// region, and the entries that its callers still use hand requests to the same ones.
func TestIsolatedZoneIsServedByItsRegion(t *testing.T) {
	all := nineZones(35)
	isolate(all, func(in magnolialedge.Instance) bool { return in.Zone == "z4" })
	inUse := steered(t, all)
	for _, in := range inUse {
		require.Equal(t, "r1", in.Region)
		require.NotEqual(t, "z4", in.Zone)
	}
	for _, self := range all {
		if self.Zone != "z4" {
			continue
		}
		helpers := RankHelpers(all, self.Name, placeOf(self), "host")
		require.Len(t, helpers, 2*helpersPerPlace)
		require.Equal(t, namesOf(inUse), namesOf(helpers[:2]))
	}
}

// Load pattern: three zones of nine, which are a region, reach no upstream. Callers and
// handed requests go to other regions, spread over the hosts.
func TestIsolatedRegionIsServedByOthers(t *testing.T) {
	all := nineZones(35)
	isolate(all, func(in magnolialedge.Instance) bool { return in.Region == "r1" })
	used := map[string]int{}
	for _, host := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		live, n := Steer(all, Place{Region: "r1", Zone: "z4"}, host, 0)
		require.Equal(t, 2, n)
		require.Equal(t, namesOf(live[:n]), namesOf(RankHelpers(all, "z4-e9", Place{Region: "r1", Zone: "z4"}, host)[:2]))
		for _, in := range live[:n] {
			require.NotEqual(t, "r1", in.Region)
			used[in.Name]++
		}
	}
	require.GreaterOrEqual(t, len(used), 8)
}

// Load pattern: all entries of a zone, or of a region, lose their links at the same time,
// and do not know of each other yet. The helpers of each must not all be among them.
func TestHelpersAreInSeveralPlaces(t *testing.T) {
	all := nineZones(35)
	helpers := RankHelpers(all, "z4-e9", Place{Region: "r1", Zone: "z4"}, "host")
	require.Len(t, helpers, 3*helpersPerPlace)
	for i, in := range helpers {
		require.NotEqual(t, "z4-e9", in.Name)
		require.Equal(t, i < helpersPerPlace, in.Zone == "z4")
		require.Equal(t, i < 2*helpersPerPlace, in.Region == "r1")
	}
}

func TestHelpersAreThoseToWhichCallersAreSteered(t *testing.T) {
	for _, perZone := range []int{1, 2, 7} {
		all := nineZones(perZone)
		for _, host := range []string{"a", "b", "c"} {
			helpers := RankHelpers(all, "none", Place{Region: "r1", Zone: "z4"}, host)
			for i, match := range []func(magnolialedge.Instance) bool{
				func(in magnolialedge.Instance) bool { return in.Zone == "z4" },
				func(in magnolialedge.Instance) bool { return in.Region == "r1" && in.Zone != "z4" },
				func(in magnolialedge.Instance) bool { return in.Region != "r1" },
			} {
				var live []magnolialedge.Instance
				for _, in := range all {
					if match(in) {
						live = append(live, in)
					}
				}
				n := min(helpersPerPlace, len(live))
				require.Equal(t, namesOf(sortForService(live, host)[:n]), namesOf(helpers[:n]), "place %d", i)
				helpers = helpers[n:]
			}
			require.Empty(t, helpers)
		}
	}
}

func TestIsolatedEntriesAreUsedWhenAllAre(t *testing.T) {
	all := nineZones(35)
	isolate(all, func(magnolialedge.Instance) bool { return true })
	for _, in := range steered(t, all) {
		require.Equal(t, "z4", in.Zone)
	}
	require.Empty(t, RankHelpers(all, "z4-e0", Place{Region: "r1", Zone: "z4"}, "host"))
}

func TestIsolatedEntriesHoldNoLimits(t *testing.T) {
	all := nineZones(35)
	r := magnolialedge.Registration{ID: "u", Service: "svc", Zone: "z4"}
	for _, holder := range quotaHolders(all, r, Place{Region: "r1", Zone: "z4"}, []string{testHost}) {
		isolate(all, func(in magnolialedge.Instance) bool { return in.Name == holder })
		require.NotContains(t, quotaHolders(all, r, Place{Region: "r1", Zone: "z4"}, []string{testHost}), holder)
	}
}

func BenchmarkRankHelpersOf312Entries(b *testing.B) {
	all := nineZones(35)[:312]
	isolate(all, func(in magnolialedge.Instance) bool { return in.Zone == "z4" })
	for b.Loop() {
		RankHelpers(all, "z4-e1", Place{Region: "r1", Zone: "z4"}, testHost)
	}
}
