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
	// ResolveTTL is how long a caller may keep a resolve answer.
	ResolveTTL = 5 * time.Second
	// minSteeredEntries is the least number of entries that share a service.
	minSteeredEntries = 2
	// maxRequestsPerSecondPerEntry is the number of requests a second that one entry is given of
	// one service before another entry is added.
	maxRequestsPerSecondPerEntry = 2000
)

// Steer returns the entries of region that serve service, those with the widest
// links first, followed
// by the region's others as spares. rate is the service's requests a second in
// the region. When the region has no live entry, those of other regions serve.
// The second result is the number of entries that share the traffic.
func Steer(all []magnolialedge.Instance, region, service string, rate float64) ([]magnolialedge.Instance, int) {
	live := liveInstances(all, region)
	if len(live) == 0 {
		live = liveInstances(all, "")
	}
	slices.SortFunc(live, func(a, b magnolialedge.Instance) int {
		return cmp.Or(cmp.Compare(CapacityClass(b), CapacityClass(a)), cmp.Compare(rendezvousWeight(b, service), rendezvousWeight(a, service)), cmp.Compare(a.Name, b.Name))
	})
	wanted := max(minSteeredEntries, int(rate/maxRequestsPerSecondPerEntry)+2)
	return live, min(wanted, len(live))
}

// CapacityClass groups instances whose capacity differs by less than a factor of
// two, so that small differences don't decide where callers go.
func CapacityClass(in magnolialedge.Instance) int {
	if in.CapacityMbps <= 0 {
		return 0
	}
	return int(math.Log2(in.CapacityMbps))
}

func liveInstances(all []magnolialedge.Instance, region string) []magnolialedge.Instance {
	var live []magnolialedge.Instance
	for _, in := range all {
		if !in.Leaving && (region == "" || in.Region == region) {
			live = append(live, in)
		}
	}
	return live
}

func rendezvousWeight(in magnolialedge.Instance, service string) uint64 {
	return xxhash.Sum64String(in.Name + "\x00" + service)
}
