package proc

import "magnolialedge"

// helpersPerPlace is the number of helpers in the same zone, in the rest of the region, and
// in other regions. All entries of a zone or region may have lost the same links.
const helpersPerPlace = 2

// RankHelpers returns the entries that may serve requests of a host in place of the entry
// named self at place, best first: those to which callers are steered in its zone, then in
// the rest of its region, then elsewhere, since these know the load of the upstreams best.
// Entries that are leaving or reach no upstream cannot help.
func RankHelpers(all []magnolialedge.Instance, self string, place Place, host string) []magnolialedge.Instance {
	var out []magnolialedge.Instance
	for _, isIn := range []func(magnolialedge.Instance) bool{
		func(in magnolialedge.Instance) bool { return in.Region == place.Region && in.Zone == place.Zone },
		func(in magnolialedge.Instance) bool { return in.Region == place.Region && in.Zone != place.Zone },
		func(in magnolialedge.Instance) bool { return in.Region != place.Region },
	} {
		var live []magnolialedge.Instance
		for _, in := range all {
			if isIn(in) && in.Name != self && !in.Leaving && !in.Isolated {
				live = append(live, in)
			}
		}
		sortForService(live, host)
		out = append(out, live[:min(helpersPerPlace, len(live))]...)
	}
	return out
}
