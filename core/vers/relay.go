package vers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnolialedge"
)

// relaysPerRegion is the number of entries of a region that watch the store.
const relaysPerRegion = 2

// Relays returns the entries of region that pass versions on to the others.
// Each entry works them out from its own view of the list; two views that
// differ lead to more watches for a while, never to an older version.
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
