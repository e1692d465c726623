package pick

import (
	"math/rand/v2"
	"slices"
	"time"

	"magnolialedge"
)

// TransferCosts weighs traffic against latency: each field is the added wait
// that is as costly as sending one kilobyte.
type TransferCosts struct {
	CrossZonePerKB   time.Duration
	CrossRegionPerKB time.Duration
}

// Config configures a Fleet.
type Config struct {
	// Zone is the entry's availability zone.
	Zone string
	// Regions maps each availability zone to its region.
	Regions       map[string]string
	TransferCosts TransferCosts
	// Conns reports the unused connections. If it is nil, a connection to every
	// upstream is assumed.
	Conns magnolialedge.IdleConns
	// Quotas divides the limits that upstreams announce among the entries. If it is nil,
	// this entry may use them whole.
	Quotas magnolialedge.QuotaSharer
	// ColdQuotas divides the limits of cold upstreams in the same way. It must not depend on
	// which entries this one reaches, since entries that lose sight of each other would
	// each take the shares of the others.
	ColdQuotas magnolialedge.QuotaSharer
	// ColdOverage is the factor by which the requests to a cold upstream may exceed the
	// limit of its service; 0 means defaultColdOverage.
	ColdOverage float64
	Seed        uint64
}

// Fleet tracks the state of all registered upstreams as one entry sees it:
// load, round-trip time, failures and service times. It is not safe for
// concurrent use.
type Fleet struct {
	cfg       Config
	byID      map[string]*upstream
	byService map[string][]*upstream
	// serviceTimes holds the moving average of the service time in nanoseconds,
	// by Request.serviceTimeKey.
	serviceTimes map[string]float64
	// contention holds, by service, the factor by which requests take longer
	// when all slots of an upstream are in use.
	contention map[string]float64
	// startedAt is the time of the first registration.
	startedAt time.Time
	// newcomerAdmittedAt is the time of the last request to a newcomer, by
	// service.
	newcomerAdmittedAt map[string]time.Time
	// formerNotices holds the notices of removed upstreams, by ID.
	formerNotices map[string]formerNotice
	// regionSets holds the set of each region alone.
	regionSets map[string]regionSet
	// evacuated holds the evacuated availability zones.
	evacuated map[string]bool
	// coldLimits holds the limits of cold upstreams by service. coldIDs holds the IDs of
	// cold upstreams with a limit; the value is true once ColdChanges has returned it.
	coldLimits map[string]float64
	coldIDs    map[string]bool
	rand       *rand.Rand
}

// NewFleet returns a Fleet without upstreams.
func NewFleet(cfg Config) *Fleet {
	return &Fleet{
		cfg:          cfg,
		byID:         map[string]*upstream{},
		byService:    map[string][]*upstream{},
		serviceTimes: map[string]float64{},
		contention:   map[string]float64{},

		newcomerAdmittedAt: map[string]time.Time{},
		formerNotices:      map[string]formerNotice{},
		regionSets:         newRegionSets(cfg.Regions),
		evacuated:          map[string]bool{},
		coldIDs:            map[string]bool{},
		rand:               rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x5bd1e995)),
	}
}

// SetTransferCosts replaces the transfer costs of the configuration.
func (f *Fleet) SetTransferCosts(c TransferCosts) {
	f.cfg.TransferCosts = c
}

// Register adds an upstream or updates its registration. A change of service,
// address or zone discards the recorded state.
func (f *Fleet) Register(now time.Time, r magnolialedge.Registration) {
	u, ok := f.byID[r.ID]
	if ok && u.Service == r.Service && u.Address == r.Address && u.Zone == r.Zone {
		previous := u.Registration
		u.register(now, r)
		f.registerCold(now, u, previous)
		return
	}
	f.Remove(now, r.ID)
	if f.startedAt.IsZero() {
		f.startedAt = now
	}
	u = newUpstream(now, r, f.distanceTo(r.Zone))
	u.region = f.regionOf(r.Zone)
	u.isEvacuated = f.evacuated[r.Zone]
	previous := f.formerNotices[r.ID].run
	f.restoreNotice(u)
	u.isNewcomer = now.Sub(f.startedAt) > initialListingTime
	f.byID[r.ID] = u
	f.byService[r.Service] = append(f.byService[r.Service], u)
	f.registerCold(now, u, previous)
}

// initialListingTime is the time after the first registration within which
// upstreams do not count as newcomers, because they are part of the initial
// listing.
const initialListingTime = 3 * time.Second

// Remove removes an upstream.
func (f *Fleet) Remove(now time.Time, id string) {
	u, ok := f.byID[id]
	if !ok {
		return
	}
	f.keepNotice(now, u)
	delete(f.byID, id)
	f.byService[u.Service] = slices.DeleteFunc(f.byService[u.Service], func(x *upstream) bool { return x == u })
}

// Find returns the registration of an upstream, and false if it is not
// registered.
func (f *Fleet) Find(id string) (magnolialedge.Registration, bool) {
	u, ok := f.byID[id]
	if !ok {
		return magnolialedge.Registration{}, false
	}
	return u.Registration, true
}

// UpstreamCount returns the number of upstreams of a service, including
// draining ones.
func (f *Fleet) UpstreamCount(service string) int {
	return len(f.byService[service])
}

// TotalUpstreams returns the number of upstreams of all services, without those of evacuated
// zones, which get no probes.
func (f *Fleet) TotalUpstreams() int {
	n := len(f.byID)
	if len(f.evacuated) == 0 {
		return n
	}
	for _, u := range f.byID {
		if u.isEvacuated {
			n--
		}
	}
	return n
}

func (f *Fleet) distanceTo(zone string) distance {
	return f.distanceBetween(zone, f.cfg.Zone)
}

// BeginAttempt counts a request as in flight at an upstream. EndAttempt must
// follow.
func (f *Fleet) BeginAttempt(now time.Time, id string) {
	u, ok := f.byID[id]
	if !ok {
		return
	}
	u.inFlight++
	if u.quota != nil {
		u.quota.Take(now)
	}
	if u.isCold(now) {
		u.cold.Take(now)
	}
	if u.isNewcomer {
		u.isNewcomer = false
		f.newcomerAdmittedAt[u.Service] = now
	}
}

// RecordLoad records a load reading of an upstream.
func (f *Fleet) RecordLoad(now time.Time, id string, r magnolialedge.LoadReading) {
	if u, ok := f.byID[id]; ok {
		u.recordLoad(now, r)
	}
}

// RecordProbe records that a probe was sent to an upstream to read its load. A
// probe without a timely response counts as overdue.
func (f *Fleet) RecordProbe(now time.Time, id string) {
	if u, ok := f.byID[id]; ok && u.probeSentAt.IsZero() {
		u.probeSentAt = now
	}
}

// RecordLiveness records the response to a probe of an upstream that reports no
// load. Probes of such an upstream only check that it is reachable; its
// slowdown is measured by the responses to requests.
func (f *Fleet) RecordLiveness(now time.Time, id string) {
	if u, ok := f.byID[id]; ok {
		u.recordLiveness(now)
	}
}

// MarkUnreachable records that an upstream did not respond, which excludes it
// for a backoff time. It reports whether the upstream was reachable before.
func (f *Fleet) MarkUnreachable(now time.Time, id string) bool {
	u, ok := f.byID[id]
	if !ok {
		return false
	}
	wasReachable := u.backoff == 0
	u.markUnreachable(now)
	return wasReachable
}

// StaleUpstreams returns at most limit usable upstreams of a service in the
// entry's region, in random order, that report their load and whose last load
// reading is older than maxReadingAge. Those that announce a limit are left out, because
// a probe is a request too.
func (f *Fleet) StaleUpstreams(now time.Time, service string, limit int) []magnolialedge.Registration {
	var out []magnolialedge.Registration
	p := filter{now: now}
	for _, u := range f.byService[service] {
		if u.distance != otherRegion && p.isUsable(u) && p.mayProbe(u) && !u.reportsNoLoad && now.Sub(u.loadReadAt) > maxReadingAge {
			out = append(out, u.Registration)
		}
	}
	f.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(limit, len(out))]
}

// RecordRoundTrip adds a sample to the moving average of the round-trip time to
// an upstream.
func (f *Fleet) RecordRoundTrip(id string, roundTrip time.Duration) {
	if u, ok := f.byID[id]; ok {
		u.roundTrip += time.Duration(roundTripGain * float64(roundTrip-u.roundTrip))
	}
}
