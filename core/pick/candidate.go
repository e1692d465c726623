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
	ReadAt time.Time
	// IsMum tells that the upstream doesn't tell its load, and SeenAt is when
	// such a one last gave a sign of life.
	IsMum    bool
	SeenAt   time.Time
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
	// staleSign is the age from which a sign of life of an upstream that tells
	// no load is taken anew. Asking one may take a slot or wait for it.
	staleSign = 2 * time.Second
)

// IsFresh reports whether what is known of the upstream is young enough to send
// a request by.
func (c Candidate) IsFresh(now time.Time) bool {
	switch {
	case c.IsMum:
		return now.Sub(c.SeenAt) < staleSign
	case c.Local:
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
		IsMum:        u.mum,
		SeenAt:       u.seenAt,
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
