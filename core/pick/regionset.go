package pick

import (
	"maps"
	"slices"
)

// regionSet is a set of regions with a bit for each. Each pick tests all upstreams of a
// service, and comparing the names of regions would slow it down noticeably.
type regionSet uint64

const (
	// allRegions is the set of an unrestricted request.
	allRegions regionSet = ^regionSet(0)
	// unlistedRegions is the set of all regions without a bit of their own: those of zones
	// that the configuration does not list, and those beyond maxListedRegions. Only
	// unrestricted requests may be served there.
	unlistedRegions  regionSet = 1 << maxListedRegions
	maxListedRegions           = 63
)

// newRegionSets returns the set of each region alone. zones maps availability zones to regions.
func newRegionSets(zones map[string]string) map[string]regionSet {
	sets := map[string]regionSet{}
	for _, region := range slices.Sorted(maps.Values(zones)) {
		if _, ok := sets[region]; !ok && len(sets) < maxListedRegions {
			sets[region] = 1 << len(sets)
		}
	}
	return sets
}

// regionSet returns the set of regions that Request.Regions lists.
func (f *Fleet) regionSet(regions []string) regionSet {
	if regions == nil {
		return allRegions
	}
	set := regionSet(0)
	for _, region := range regions {
		set |= f.regionSets[region]
	}
	return set
}

// regionOf returns the set of the region of an availability zone alone.
func (f *Fleet) regionOf(zone string) regionSet {
	if set, ok := f.regionSets[f.cfg.Regions[zone]]; ok {
		return set
	}
	return unlistedRegions
}
