package proc

import (
	"slices"

	"magnolialedge"
)

// maxHelpers limits the entries that RankHelpers returns.
const maxHelpers = 6

// RankHelpers returns the entries that may serve requests of a host in place of the entry
// named self at place, best first: those to which callers are steered in its zone, in its
// region, or anywhere, since these know the load of the upstreams best. Entries that are
// leaving or reach no upstream cannot help.
func RankHelpers(all []magnolialedge.Instance, self string, place Place, host string) []magnolialedge.Instance {
	others := slices.DeleteFunc(slices.Clone(all), func(in magnolialedge.Instance) bool {
		return in.Name == self || in.Leaving || in.Isolated
	})
	var out []magnolialedge.Instance
	for _, p := range []Place{place, {Region: place.Region}, {}} {
		if len(out) == maxHelpers {
			break
		}
		ranked, _ := Steer(others, p, host, 0)
		out = appendNew(out, ranked)
	}
	return out
}

// appendNew appends the instances that out does not contain, until it has maxHelpers.
func appendNew(out, more []magnolialedge.Instance) []magnolialedge.Instance {
	for _, in := range more {
		if len(out) == maxHelpers {
			break
		}
		if !slices.ContainsFunc(out, func(x magnolialedge.Instance) bool { return x.Name == in.Name }) {
			out = append(out, in)
		}
	}
	return out
}
