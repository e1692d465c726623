package magnolialedge

import "slices"

// CommonRegions returns the regions that two lists of allowed regions both permit. A list
// without elements permits all. The result permits all if it is nil, and none if it is empty.
func CommonRegions(a, b []string) []string {
	switch {
	case len(a) == 0 && len(b) == 0:
		return nil
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	common := []string{}
	for _, region := range a {
		if slices.Contains(b, region) {
			common = append(common, region)
		}
	}
	return common
}

// PermitsRegion reports whether the result of CommonRegions permits a region.
func PermitsRegion(regions []string, region string) bool {
	return regions == nil || slices.Contains(regions, region)
}
