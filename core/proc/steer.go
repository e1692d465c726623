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

// Place is where a caller or an entry is. An empty Zone means any zone of Region.
type Place struct {
	Region string
	Zone   string
}

// minZoneEntries is the number of live entries from which a zone serves its own
// callers. In a smaller zone, a failed entry would leave too few others.
const minZoneEntries = 6

// contains reports whether an instance is at p.
func (p Place) contains(in magnolialedge.Instance) bool {
	return (p.Region == "" || in.Region == p.Region) && (p.Zone == "" || in.Zone == p.Zone)
}

// HasOwnEntries reports whether the zone of p has enough live entries to serve its
// own callers.
func (p Place) HasOwnEntries(all []magnolialedge.Instance) bool {
	return p.Zone != "" && len(liveInstances(withReach(all), p)) >= minZoneEntries
}

// withReach returns the instances that reach upstreams, or all if no live one does.
func withReach(all []magnolialedge.Instance) []magnolialedge.Instance {
	isIsolated := func(in magnolialedge.Instance) bool { return in.Isolated }
	if !slices.ContainsFunc(all, isIsolated) {
		return all
	}
	out := slices.DeleteFunc(slices.Clone(all), isIsolated)
	if len(liveInstances(out, Place{})) == 0 {
		return all
	}
	return out
}

// Steer returns the live entries in the order in which callers at place use them
// for service: the highest CapacityClass first, and within a class by rendezvous
// hash. It returns those of the zone if the zone has enough, else those of the
// region, or those of all regions if the region has none. The second result is the
// number of leading entries that share the traffic; the others are spares. rate is
// the number of requests per second for the service at the place. Instances that reach no
// upstream are left out as long as others reach any.
func Steer(all []magnolialedge.Instance, place Place, service string, rate float64) ([]magnolialedge.Instance, int) {
	all = withReach(all)
	if !place.HasOwnEntries(all) {
		place.Zone = ""
	}
	live := liveInstances(all, place)
	if len(live) == 0 {
		live = liveInstances(all, Place{})
	}
	live = sortForService(live, service)
	wanted := max(minSteeredEntries, int(rate/requestsPerSecondPerEntry)+2)
	return live, min(wanted, len(live))
}

// steeringKey is what an instance is ordered by.
type steeringKey struct {
	*magnolialedge.Instance
	class  int
	weight uint64
}

func newSteeringKey(in *magnolialedge.Instance, service string) steeringKey {
	return steeringKey{Instance: in, class: CapacityClass(*in), weight: RendezvousWeight(*in, service)}
}

// compare returns a negative number if callers use the instance of k before that of o.
func (k steeringKey) compare(o steeringKey) int {
	return cmp.Or(cmp.Compare(o.class, k.class), cmp.Compare(o.weight, k.weight), cmp.Compare(k.Name, o.Name))
}

// sortForService returns instances in the order in which callers use them for service.
func sortForService(live []magnolialedge.Instance, service string) []magnolialedge.Instance {
	keys := make([]steeringKey, len(live))
	for i := range live {
		keys[i] = newSteeringKey(&live[i], service)
	}
	slices.SortFunc(keys, steeringKey.compare)
	out := make([]magnolialedge.Instance, len(live))
	for i, k := range keys {
		out[i] = *k.Instance
	}
	return out
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

// liveInstances returns the instances at place that are not leaving.
func liveInstances(all []magnolialedge.Instance, place Place) []magnolialedge.Instance {
	var live []magnolialedge.Instance
	for _, in := range all {
		if !in.Leaving && place.contains(in) {
			live = append(live, in)
		}
	}
	return live
}

// RendezvousWeight returns the weight of an instance for service in rendezvous
// hashing.
func RendezvousWeight(in magnolialedge.Instance, service string) uint64 {
	return xxhash.Sum64String(in.Name + "\x00" + service)
}
