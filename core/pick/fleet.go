package pick

import (
	"math/rand/v2"
	"slices"
	"time"

	"magnolialedge"
)

// TransferCosts state the worth of bytes as the wait that is worth one kilobyte.
type TransferCosts struct {
	CrossZonePerKB   time.Duration
	CrossRegionPerKB time.Duration
}

// Config constructs a Fleet.
type Config struct {
	Zone string
	// Regions maps each availability zone to its region.
	Regions       map[string]string
	TransferCosts TransferCosts
	Seed          uint64
}

// Fleet is what one entry knows of all registered upstreams. It isn't safe for
// concurrent use.
type Fleet struct {
	cfg       Config
	byID      map[string]*upstream
	byService map[string][]*upstream
	work      map[string]float64
	// crowding is how many times as long work takes at a service's upstreams
	// when all slots are taken.
	crowding map[string]float64
	rand     *rand.Rand
}

// NewFleet returns a Fleet without upstreams.
func NewFleet(cfg Config) *Fleet {
	return &Fleet{
		cfg:       cfg,
		byID:      map[string]*upstream{},
		byService: map[string][]*upstream{},
		work:      map[string]float64{},
		crowding:  map[string]float64{},
		rand:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x5bd1e995)),
	}
}

// Register takes an upstream's registration.
func (f *Fleet) Register(now time.Time, r magnolialedge.Registration) {
	u, ok := f.byID[r.ID]
	if ok && u.Service == r.Service && u.Address == r.Address && u.Zone == r.Zone {
		u.register(now, r)
		return
	}
	f.Remove(r.ID)
	u = newUpstream(now, r, f.distanceTo(r.Zone))
	f.byID[r.ID] = u
	f.byService[r.Service] = append(f.byService[r.Service], u)
}

// Remove forgets an upstream.
func (f *Fleet) Remove(id string) {
	u, ok := f.byID[id]
	if !ok {
		return
	}
	delete(f.byID, id)
	f.byService[u.Service] = slices.DeleteFunc(f.byService[u.Service], func(x *upstream) bool { return x == u })
}

// Find returns the registration of an upstream.
func (f *Fleet) Find(id string) (magnolialedge.Registration, bool) {
	u, ok := f.byID[id]
	if !ok {
		return magnolialedge.Registration{}, false
	}
	return u.Registration, true
}

// UpstreamCount returns the number of upstreams that service has, draining ones included.
func (f *Fleet) UpstreamCount(service string) int {
	return len(f.byService[service])
}

// TotalUpstreams returns the number of all upstreams.
func (f *Fleet) TotalUpstreams() int {
	return len(f.byID)
}

func (f *Fleet) distanceTo(zone string) distance {
	switch {
	case zone == f.cfg.Zone:
		return sameZone
	case f.cfg.Regions[zone] == f.cfg.Regions[f.cfg.Zone]:
		return sameRegion
	}
	return otherRegion
}

// BeginAttempt counts a request as in flight at an upstream.
func (f *Fleet) BeginAttempt(id string) {
	if u, ok := f.byID[id]; ok {
		u.inFlight++
		u.used = true
	}
}

// RecordLoad takes a reading of an upstream's load.
func (f *Fleet) RecordLoad(now time.Time, id string, r magnolialedge.LoadReading) {
	if u, ok := f.byID[id]; ok {
		u.read(now, r)
	}
}

// RecordLoadRequest records that a reading was asked for.
func (f *Fleet) RecordLoadRequest(now time.Time, id string) {
	if u, ok := f.byID[id]; ok && u.askedAt.IsZero() {
		u.askedAt = now
	}
}

// RecordLiveness records a sign of life that tells no load. Of such an upstream answers
// alone tell how slow it is, and it is asked for signs of life only.
func (f *Fleet) RecordLiveness(now time.Time, id string) {
	if u, ok := f.byID[id]; ok {
		u.seen(now)
	}
}

// MarkUnreachable records that an upstream gave no sign of life, and reports
// whether that is news.
func (f *Fleet) MarkUnreachable(now time.Time, id string) bool {
	u, ok := f.byID[id]
	if !ok {
		return false
	}
	first := u.dark == 0
	u.unreachable(now)
	return first
}

// StaleUpstreams returns upstreams in the region that tell their load and whose last
// reading is old.
func (f *Fleet) StaleUpstreams(now time.Time, service string, most int) []magnolialedge.Registration {
	var out []magnolialedge.Registration
	for _, u := range f.byService[service] {
		if u.distance != otherRegion && u.isUsable(now) && !u.loadUntold && now.Sub(u.readAt) > staleReading {
			out = append(out, u.Registration)
		}
	}
	f.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(most, len(out))]
}

// RecordRoundTrip takes a measured round trip to an upstream.
func (f *Fleet) RecordRoundTrip(id string, trip time.Duration) {
	if u, ok := f.byID[id]; ok {
		u.trip += time.Duration(tripGain * float64(trip-u.trip))
	}
}
