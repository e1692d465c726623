package pick

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"magnolialedge"
	"magnolialedge/core/proc"
)

const (
	// failureCost is the time that a certain failure counts as.
	failureCost = 800 * time.Millisecond
	// firstCrowding is the factor by which work is assumed to take longer at an
	// upstream whose slots are all taken, until it has been measured.
	firstCrowding = 1.2
	// crowdingGain is the weight of one measured factor.
	crowdingGain = 0.02
	// spreadShare is the part of the time of work by which each request in
	// flight counts while there are free slots.
	spreadShare = 0.05
	// workGain is the weight of one measured time of work.
	workGain = 0.05
	// firstWorkShare is the part of a route's aim that its work is assumed to
	// take before a request has ended.
	firstWorkShare = 0.3
	// assumedAim stands for the aim of a route that states none.
	assumedAim = 500 * time.Millisecond
	// headBytes is what a request and its answer take beside the body.
	headBytes = 1 << 10
	// probationCost keeps an upstream on probation behind healthy ones.
	probationCost = 150 * time.Millisecond
	// muteCost keeps an upstream whose reading is overdue behind others.
	muteCost = 500 * time.Millisecond
	// newcomerGain makes an upstream that had no request yet better, so that
	// it is found out about.
	newcomerGain = 0.15
)

// Prices state the worth of bytes as the wait that is worth one kilobyte.
type Prices struct {
	CrossZonePerKB   time.Duration
	CrossRegionPerKB time.Duration
}

// Config constructs a Fleet.
type Config struct {
	Zone string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	Prices  Prices
	Seed    uint64
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

// Size returns the number of upstreams that service has, draining ones included.
func (f *Fleet) Size(service string) int {
	return len(f.byService[service])
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

// Need is what a request asks of an upstream.
type Need struct {
	Service string
	// Route names the requests whose work takes about the same time.
	Route string
	// Repeatable tells that the request may run more than once.
	Repeatable bool
	Priority   int
	// Aim and Deadline are when an answer stops being of full and of any use.
	Aim      time.Time
	Deadline time.Time
	// AimLength is the route's aim.
	AimLength time.Duration
	// Bytes is the size of the request's body.
	Bytes int64
	// Tried holds the ids of upstreams that the request has been sent to.
	Tried []string
}

// Candidate is an upstream that could take a request.
type Candidate struct {
	magnolialedge.Registration
	// Cost is the estimated time to an answer, with what else counts.
	Cost time.Duration
	// Work is the estimated time of the work alone.
	Work time.Duration
	// Trip is the round trip.
	Trip time.Duration
	// ReadAt is when the last reading was taken; zero for none.
	ReadAt   time.Time
	Slowness float64
	Load     float64
	// FillsUp tells that the request takes the last slot.
	FillsUp bool
	// Local tells that the upstream is in the entry's region.
	Local bool
	price time.Duration
}

const (
	// staleReading is the age from which a reading is taken anew before a
	// request is sent, and staleRemoteReading that of upstreams in other
	// regions, where a reading is old when it arrives.
	staleReading       = 35 * time.Millisecond
	staleRemoteReading = 80 * time.Millisecond
)

// IsFresh reports whether the reading is young enough to send a request by.
func (c Candidate) IsFresh(now time.Time) bool {
	if c.Local {
		return now.Sub(c.ReadAt) < staleReading
	}
	return now.Sub(c.ReadAt) < staleRemoteReading
}

// Candidates returns upstreams with room for a request, the best first, and
// whether the service has any upstream that is fit for it.
func (f *Fleet) Candidates(now time.Time, n Need, most int) ([]Candidate, bool) {
	var out []Candidate
	fit := false
	crowding := f.crowdingOf(n.Service)
	for _, u := range f.byService[n.Service] {
		if !u.isUsable(now) || slices.Contains(n.Tried, u.ID) {
			continue
		}
		if u.health.At(now) == proc.Probation && (!n.Repeatable || u.inFlight > 0) {
			continue
		}
		fit = true
		if !u.hasRoom(now, crowding) {
			continue
		}
		c := f.candidate(now, u, n)
		if f.isWorthwhile(now, n, c) {
			out = append(out, c)
		}
	}
	f.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
	return out[:min(most, len(out))], fit
}

// isWorthwhile reports whether a request should go to a candidate now. While it
// can still make its aim elsewhere it isn't spent on a slow upstream, and it
// isn't sent where it can't end before its deadline. The price of bytes counts
// as time, so that a large body doesn't leave its region for want of room there.
func (f *Fleet) isWorthwhile(now time.Time, n Need, c Candidate) bool {
	ends := now.Add(c.Work + c.Trip)
	if !c.Local && f.hasLocal(now, n) {
		ends = ends.Add(c.price)
	}
	if f.canMakeAim(now, n) {
		return !ends.After(n.Aim)
	}
	return ends.Before(n.Deadline)
}

// hasLocal reports whether the request could be served in the entry's region,
// now or when there is room.
func (f *Fleet) hasLocal(now time.Time, n Need) bool {
	for _, u := range f.byService[n.Service] {
		if u.distance != otherRegion && u.isUsable(now) && !slices.Contains(n.Tried, u.ID) {
			return true
		}
	}
	return false
}

func (f *Fleet) crowdingOf(service string) float64 {
	if c, ok := f.crowding[service]; ok {
		return c
	}
	return firstCrowding
}

func (f *Fleet) candidate(now time.Time, u *upstream, n Need) Candidate {
	work := f.Work(n) * u.slownessAt(now)
	if u.fillsUp(now) {
		work *= f.crowdingOf(n.Service)
	}
	c := Candidate{
		Registration: u.Registration,
		Work:         time.Duration(work),
		Trip:         u.trip,
		ReadAt:       u.readAt,
		Slowness:     u.slownessAt(now),
		Load:         u.load(now),
		Local:        u.distance != otherRegion,
		FillsUp:      u.fillsUp(now),
		price:        time.Duration(f.price(u, n)),
	}
	c.Cost = time.Duration(f.cost(now, u, n, work))
	return c
}

func (f *Fleet) cost(now time.Time, u *upstream, n Need, work float64) float64 {
	load := u.load(now)
	cost := float64(u.trip) + work*(1+spreadShare*load)
	cost += u.failShare(now) * float64(failureCost)
	if u.health.At(now) == proc.Probation {
		cost += float64(probationCost)
	}
	if u.isMute(now) {
		cost += float64(muteCost)
	}
	if !u.used {
		cost -= work * newcomerGain
	}
	return cost + f.price(u, n)
}

func (f *Fleet) price(u *upstream, n Need) float64 {
	kilobytes := float64(n.Bytes+headBytes) / (1 << 10)
	switch u.distance {
	case sameRegion:
		return kilobytes * float64(f.cfg.Prices.CrossZonePerKB)
	case otherRegion:
		return kilobytes * float64(f.cfg.Prices.CrossRegionPerKB)
	}
	return 0
}

// Work returns the estimated time of a request's work, in nanoseconds, at an
// upstream that is as fast as usual.
func (f *Fleet) Work(n Need) float64 {
	if w, ok := f.work[n.workKey()]; ok {
		return w
	}
	return firstWorkShare * float64(cmp.Or(n.AimLength, assumedAim))
}

// Begin counts a request as in flight at an upstream.
func (f *Fleet) Begin(id string) {
	if u, ok := f.byID[id]; ok {
		u.inFlight++
		u.used = true
	}
}

// End is how a request ended at an upstream.
type End struct {
	ID   string
	Need Need
	Took time.Duration
	// Slowness is that of the upstream as the request began, and FilledUp
	// tells that it took the last slot.
	Slowness float64
	FilledUp bool
	// Ended tells how.
	Ended Ending
}

// Ending is the kind of an end.
type Ending int

const (
	// EndedWell is a useful answer.
	EndedWell Ending = iota
	// EndedFailed is an answer or a break that is the upstream's fault.
	EndedFailed
	// EndedRefused is a refusal for lack of room.
	EndedRefused
	// EndedUnreached means that no connection could be had.
	EndedUnreached
	// EndedCancelled means that this side ended it.
	EndedCancelled
)

// End takes the end of a request that Begin counted.
func (f *Fleet) End(now time.Time, e End) {
	u, ok := f.byID[e.ID]
	if !ok {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	switch e.Ended {
	case EndedWell:
		u.result(now, false)
		u.health.OK()
		f.learnWork(u, e)
	case EndedFailed:
		u.result(now, true)
		u.health.Fail(now, f.mayEject(now, u.Service))
	case EndedRefused:
		u.readAt = now
		u.others = max(u.others, float64(u.Slots))
	case EndedUnreached:
		u.unreachable(now)
	case EndedCancelled:
	}
}

// learnWork learns how long work takes, and how much longer where it took the
// last slot.
func (f *Fleet) learnWork(u *upstream, e End) {
	took := float64(e.Took - u.trip)
	if took <= 0 || e.Slowness <= 0 {
		return
	}
	work := f.Work(e.Need)
	if e.FilledUp {
		crowding := f.crowdingOf(e.Need.Service)
		measured := min(max(1, took/(e.Slowness*work)), mostCrowding)
		f.crowding[e.Need.Service] = crowding + crowdingGain*(measured-crowding)
		return
	}
	f.work[e.Need.workKey()] = work + workGain*(took/e.Slowness-work)
}

// mostCrowding bounds one measured factor, since a slow spell looks the same.
const mostCrowding = 3

func (n Need) workKey() string {
	return n.Route + "\x00" + n.Service
}

// mayEject caps ejections at half of the service's upstreams.
func (f *Fleet) mayEject(now time.Time, service string) bool {
	out, all := 0, 0
	for _, u := range f.byService[service] {
		if u.Draining {
			continue
		}
		all++
		if u.health.At(now) != proc.Healthy {
			out++
		}
	}
	return 2*(out+1) <= all
}

// Read takes a reading of an upstream's load.
func (f *Fleet) Read(now time.Time, id string, r magnolialedge.Reading) {
	if u, ok := f.byID[id]; ok {
		u.read(now, r)
	}
}

// Asked records that a reading was asked for.
func (f *Fleet) Asked(now time.Time, id string) {
	if u, ok := f.byID[id]; ok && u.askedAt.IsZero() {
		u.askedAt = now
	}
}

// Seen records a sign of life that tells no load.
func (f *Fleet) Seen(now time.Time, id string) {
	if u, ok := f.byID[id]; ok {
		u.readAt = now
		u.slowness = u.usual
		u.reached()
	}
}

// Unreachable records that an upstream gave no sign of life, and reports
// whether that is news.
func (f *Fleet) Unreachable(now time.Time, id string) bool {
	u, ok := f.byID[id]
	if !ok {
		return false
	}
	first := u.dark == 0
	u.unreachable(now)
	return first
}

// Stale returns upstreams in the region whose last reading is old.
func (f *Fleet) Stale(now time.Time, service string, most int) []magnolialedge.Registration {
	var out []magnolialedge.Registration
	for _, u := range f.byService[service] {
		if u.distance != otherRegion && u.isUsable(now) && now.Sub(u.readAt) > staleReading {
			out = append(out, u.Registration)
		}
	}
	f.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(most, len(out))]
}

// Trip takes a measured round trip to an upstream.
func (f *Fleet) Trip(id string, trip time.Duration) {
	if u, ok := f.byID[id]; ok {
		u.trip += time.Duration(tripGain * float64(trip-u.trip))
	}
}
