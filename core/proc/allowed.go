package proc

import (
	"slices"

	"magnolialedge"
)

// SteerAllowed is Steer for a service that may be served only in the given regions; nil
// permits all. A caller whose region has no entry to use is steered to entries of an allowed
// region, and to none of a third one.
func SteerAllowed(all []magnolialedge.Instance, place Place, service string, rate float64, regions []string) ([]magnolialedge.Instance, int) {
	if regions == nil {
		return Steer(all, place, service, rate)
	}
	all = withReach(all)
	if place.Region == "" || len(liveInstances(all, Place{Region: place.Region})) == 0 {
		all = slices.DeleteFunc(slices.Clone(all), func(in magnolialedge.Instance) bool {
			return !magnolialedge.PermitsRegion(regions, in.Region)
		})
	}
	return Steer(all, place, service, rate)
}
