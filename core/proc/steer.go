package proc

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnolialedge"
)

const (
	// ResolveTTL is how long a caller may cache a resolve response.
	ResolveTTL = 5 * time.Second
	// minSteeredEntries is the minimum number of entries that share a
	// service.
	minSteeredEntries = 2
	// requestsPerSecondPerEntry is the request rate of a service per entry
	// above which it is steered to an additional entry.
	requestsPerSecondPerEntry = 2000
)

// Steer returns the live entries of region in the order in which callers use
// them for service: the highest CapacityClass first, and within a class by
// rendezvous hash. If region has none, it returns the live entries of all
// regions. The second result is the number of leading entries that share the
// traffic; the others are spares. rate is the number of requests per second for
// the service in the region.
func Steer(all []magnolialedge.Instance, region, service string, rate float64) ([]magnolialedge.Instance, int) {
	live := liveInstances(all, region)
	if len(live) == 0 {
		live = liveInstances(all, "")
	}
	slices.SortFunc(live, func(a, b magnolialedge.Instance) int {
		return cmp.Or(cmp.Compare(CapacityClass(b), CapacityClass(a)), cmp.Compare(rendezvousWeight(b, service), rendezvousWeight(a, service)), cmp.Compare(a.Name, b.Name))
	})
	wanted := max(minSteeredEntries, int(rate/requestsPerSecondPerEntry)+2)
	return live, min(wanted, len(live))
}

// CapacityClass groups instances by the power of two of their link bandwidth,
// so that small differences in capacity do not change the order of entries. It
// returns 0 if the bandwidth is unknown.
func CapacityClass(in magnolialedge.Instance) int {
	if in.CapacityMbps <= 0 {
		return 0
	}
	return int(math.Log2(in.CapacityMbps))
}

// liveInstances returns the instances of region, or of all regions if region is
// empty, that are not leaving.
func liveInstances(all []magnolialedge.Instance, region string) []magnolialedge.Instance {
	var live []magnolialedge.Instance
	for _, in := range all {
		if !in.Leaving && (region == "" || in.Region == region) {
			live = append(live, in)
		}
	}
	return live
}

// rendezvousWeight returns the weight of an instance for service in rendezvous
// hashing.
func rendezvousWeight(in magnolialedge.Instance, service string) uint64 {
	return xxhash.Sum64String(in.Name + "\x00" + service)
}
