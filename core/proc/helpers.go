package proc

import "magnolialedge"

// helpersPerPlace is the number of helpers in the same zone, in the rest of the region, and
// in other regions. All entries of a zone or region may have lost the same links.
const helpersPerPlace = 2

// helperPlaces is the number of places in which helpers are looked for.
const helperPlaces = 3

// RankHelpers returns the entries that may serve requests of a host in place of the entry
// named self at place, best first: those to which callers are steered in its zone, then in
// the rest of its region, then elsewhere, since these know the load of the upstreams best.
// Entries that are leaving or reach no upstream cannot help.
func RankHelpers(all []magnolialedge.Instance, self string, place Place, host string) []magnolialedge.Instance {
	var best [helperPlaces]bestInstances
	for i := range all {
		in := &all[i]
		if in.Name == self || in.Leaving || in.Isolated {
			continue
		}
		best[placeIndex(in, place)].add(in, host)
	}
	var out []magnolialedge.Instance
	for i := range best {
		for _, k := range best[i].keys[:best[i].count] {
			out = append(out, *k.Instance)
		}
	}
	return out
}

// placeIndex returns 0 for an instance in the zone of place, 1 for one in the rest of its
// region, and 2 for any other.
func placeIndex(in *magnolialedge.Instance, place Place) int {
	switch {
	case in.Region != place.Region:
		return 2
	case in.Zone != place.Zone:
		return 1
	}
	return 0
}

// bestInstances holds the first instances in the order in which callers use them.
type bestInstances struct {
	keys  [helpersPerPlace]steeringKey
	count int
}

// add adds an instance if it is among the first.
func (b *bestInstances) add(in *magnolialedge.Instance, host string) {
	k := newSteeringKey(in, host)
	i := b.count
	for i > 0 && k.compare(b.keys[i-1]) < 0 {
		i--
	}
	if i == helpersPerPlace {
		return
	}
	copy(b.keys[i+1:], b.keys[i:])
	b.keys[i] = k
	b.count = min(b.count+1, helpersPerPlace)
}
