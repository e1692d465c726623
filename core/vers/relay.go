package vers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnolialedge"
)

// relaysPerRegion is the number of entries in a region that watch the store.
const relaysPerRegion = 2

// Relays returns the entries of region that watch the store and forward new
// versions to the other entries, selected by rendezvous hashing. Each entry
// computes them from its own membership list. Lists that differ cause
// additional watches for a while, but never an older version.
func Relays(list []magnolialedge.Instance, region string) []magnolialedge.Instance {
	var live []magnolialedge.Instance
	for _, in := range list {
		if in.Region == region && !in.Leaving {
			live = append(live, in)
		}
	}
	slices.SortFunc(live, func(a, b magnolialedge.Instance) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(b), rendezvousWeight(a)), cmp.Compare(a.Name, b.Name))
	})
	return live[:min(relaysPerRegion, len(live))]
}

func rendezvousWeight(in magnolialedge.Instance) uint64 {
	return xxhash.Sum64String(in.Name + "\x00relay")
}
