package pick

import (
	"cmp"
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

// Request is what a request asks of an upstream.
type Request struct {
	Service string
	// Route names the requests whose work takes about the same time.
	Route string
	// Idempotent tells that the request may run more than once.
	Idempotent bool
	Priority   int
	// SoftDeadline and Deadline are when an answer stops being of full and of any use.
	SoftDeadline time.Time
	Deadline     time.Time
	// LatencyTarget is the route's aim.
	LatencyTarget time.Duration
	// BodyBytes is the size of the request's body.
	BodyBytes int64
	// Tried holds the ids of upstreams that the request has been sent to.
	Tried []string
}

// Candidate is an upstream that could take a request.
type Candidate struct {
	magnolialedge.Registration
	// Cost is the estimated time to an answer, with what else counts.
	Cost time.Duration
	// ServiceTime is the estimated time of the work alone.
	ServiceTime time.Duration
	// RoundTrip is the round trip.
	RoundTrip time.Duration
	// LoadReadAt is when the last reading was taken; zero for none.
	LoadReadAt time.Time
	// ReportsNoLoad tells that the upstream doesn't tell its load, and LastSeenAt is when
	// such a one last gave a sign of life.
	ReportsNoLoad bool
	LastSeenAt    time.Time
	Slowdown      float64
	Load          float64
	// TakesLastSlot tells that the request takes the last slot.
	TakesLastSlot bool
	// Local tells that the upstream is in the entry's region.
	Local bool
}

const (
	// staleReading is the age from which a reading is taken anew before a
	// request is sent, and staleRemoteReading that of upstreams in other
	// regions, where a reading is old when it arrives.
	staleReading       = 35 * time.Millisecond
	staleRemoteReading = 80 * time.Millisecond
	// staleSign is the age from which a sign of life of an upstream that tells
	// no load is taken anew. Asking one may take a slot or wait for it.
	staleSign = 2 * time.Second
)

// IsFresh reports whether what is known of the upstream is young enough to send
// a request by.
func (c Candidate) IsFresh(now time.Time) bool {
	switch {
	case c.ReportsNoLoad:
		return now.Sub(c.LastSeenAt) < staleSign
	case c.Local:
		return now.Sub(c.LoadReadAt) < staleReading
	}
	return now.Sub(c.LoadReadAt) < staleRemoteReading
}

// Candidates returns upstreams with room for a request, the best first, and
// whether the service has any upstream that is fit for it.
func (f *Fleet) Candidates(now time.Time, n Request, most int) ([]Candidate, bool) {
	best := make([]estimate, 0, most+1)
	fit := false
	v := f.view(now, n)
	for _, u := range f.byService[n.Service] {
		if !u.isUsable(now) || slices.Contains(n.Tried, u.ID) {
			continue
		}
		if u.health.StateAt(now) == proc.Probation && (!n.Idempotent || u.inFlight > 0) {
			continue
		}
		fit = true
		load := u.load(now)
		if !u.hasRoomFor(load, v.crowding) {
			continue
		}
		e := f.estimate(now, u, n, v, load)
		if v.isWorthwhile(now, n, e) {
			best = insert(best, e, most)
		}
	}
	out := make([]Candidate, 0, len(best))
	for _, e := range best {
		out = append(out, e.candidate())
	}
	return out, fit
}

// insert keeps the best estimates in order, most of them.
func insert(best []estimate, e estimate, most int) []estimate {
	i, _ := slices.BinarySearchFunc(best, e, func(a, b estimate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.draw, b.draw))
	})
	if i >= most {
		return best
	}
	best = slices.Insert(best, i, e)
	return best[:min(most, len(best))]
}

// view is what all candidates for a request have in common.
type view struct {
	work     float64
	crowding float64
	// hasLocal tells that the request could be served in the entry's region, now
	// or when there is room, and canMakeAim that it still could in time.
	hasLocal   bool
	canMakeAim bool
}

func (f *Fleet) view(now time.Time, n Request) view {
	return view{
		work:       f.ServiceTimeNanos(n),
		crowding:   f.crowdingOf(n.Service),
		hasLocal:   f.hasLocal(now, n),
		canMakeAim: f.canMakeAim(now, n),
	}
}

// isWorthwhile reports whether a request should go to a candidate now. While it
// can still make its aim elsewhere it isn't spent on a slow upstream, and it
// isn't sent where it can't end before its deadline. The price of bytes counts
// as time, so that a large body doesn't leave its region for want of room there.
func (v view) isWorthwhile(now time.Time, n Request, e estimate) bool {
	ends := now.Add(time.Duration(e.work) + e.u.trip)
	if e.u.distance == otherRegion && v.hasLocal {
		ends = ends.Add(time.Duration(e.price))
	}
	if v.canMakeAim {
		return !ends.After(n.SoftDeadline)
	}
	return ends.Before(n.Deadline)
}

// hasLocal reports whether the request could be served in the entry's region,
// now or when there is room.
func (f *Fleet) hasLocal(now time.Time, n Request) bool {
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

// estimate is what sending a request to an upstream is expected to take, in
// nanoseconds.
type estimate struct {
	u        *upstream
	load     float64
	slowness float64
	fillsUp  bool
	work     float64
	price    float64
	cost     float64
	// draw orders upstreams of the same cost at random.
	draw uint32
}

func (f *Fleet) estimate(now time.Time, u *upstream, n Request, v view, load float64) estimate {
	e := estimate{
		u:        u,
		load:     load,
		slowness: u.slownessAt(now),
		fillsUp:  u.fillsUpWith(load),
		price:    f.price(u, n),
		draw:     f.rand.Uint32(),
	}
	e.work = v.work * e.slowness
	if e.fillsUp {
		e.work *= v.crowding
	}
	e.cost = float64(u.trip) + e.work*(1+spreadShare*load) + e.price + u.risk(now)
	if !u.used {
		e.cost -= e.work * newcomerGain
	}
	return e
}

// risk is the time that the upstream's failures and silence count as, in
// nanoseconds.
func (u *upstream) risk(now time.Time) float64 {
	cost := u.failShare(now) * float64(failureCost)
	if u.health.StateAt(now) == proc.Probation {
		cost += float64(probationCost)
	}
	if u.isMute(now) {
		cost += float64(muteCost)
	}
	return cost
}

func (e estimate) candidate() Candidate {
	return Candidate{
		Registration:  e.u.Registration,
		ServiceTime:   time.Duration(e.work),
		RoundTrip:     e.u.trip,
		LoadReadAt:    e.u.readAt,
		ReportsNoLoad: e.u.loadUntold,
		LastSeenAt:    e.u.seenAt,
		Slowdown:      e.slowness,
		Load:          e.load,
		Local:         e.u.distance != otherRegion,
		TakesLastSlot: e.fillsUp,
		Cost:          time.Duration(e.cost),
	}
}

func (f *Fleet) price(u *upstream, n Request) float64 {
	kilobytes := float64(n.BodyBytes+headBytes) / (1 << 10)
	switch u.distance {
	case sameRegion:
		return kilobytes * float64(f.cfg.TransferCosts.CrossZonePerKB)
	case otherRegion:
		return kilobytes * float64(f.cfg.TransferCosts.CrossRegionPerKB)
	}
	return 0
}

// ServiceTimeNanos returns the estimated time of a request's work, in nanoseconds, at an
// upstream that is as fast as usual.
func (f *Fleet) ServiceTimeNanos(n Request) float64 {
	if w, ok := f.work[n.workKey()]; ok {
		return w
	}
	return firstWorkShare * float64(cmp.Or(n.LatencyTarget, assumedAim))
}
