package alive

import "magnolialedge"

// minPlaceEntries is the number of entries from which a zone or a region is a place of its own.
// With fewer entries, too many of them could fail together, and hearing all others costs
// little.
const minPlaceEntries = 12

// nearFilter returns which entries are in the same place as self: in its zone, its region, or
// anywhere, whichever is the smallest with enough entries.
func nearFilter(self magnolialedge.Instance, all []magnolialedge.Instance) func(magnolialedge.Instance) bool {
	inRegion := func(in magnolialedge.Instance) bool { return in.Region == self.Region }
	inZone := func(in magnolialedge.Instance) bool { return inRegion(in) && in.Zone == self.Zone }
	for _, filter := range []func(magnolialedge.Instance) bool{inZone, inRegion} {
		n := 0
		for _, in := range all {
			if filter(in) {
				n++
			}
		}
		if n >= minPlaceEntries {
			return filter
		}
	}
	return func(magnolialedge.Instance) bool { return true }
}
