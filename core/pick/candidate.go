package pick

import (
	"cmp"
	"slices"
	"time"

	"magnolialedge"
	"magnolialedge/core/proc"
)

const (
	// failurePenalty is added to the cost of an upstream at a failure rate of
	// 1, and in proportion below it.
	failurePenalty = 800 * time.Millisecond
	// initialContention is the contention that is assumed for a service until
	// it has been measured.
	initialContention = 1.2
	// contentionGain is the weight of one sample in the moving average of the
	// contention.
	contentionGain = 0.02
	// inFlightPenaltyShare is the fraction of the service time that each
	// request in flight adds to the cost. It spreads requests over upstreams
	// that have free slots.
	inFlightPenaltyShare = 0.05
	// serviceTimeGain is the weight of one sample in the moving average of the
	// service time.
	serviceTimeGain = 0.05
	// initialServiceTimeShare is the fraction of a route's latency target that
	// is assumed as its service time until a request has ended.
	initialServiceTimeShare = 0.3
	// defaultLatencyTarget applies to routes that set no latency target.
	defaultLatencyTarget = 500 * time.Millisecond
	// overheadBytes is the assumed size of a request and its response without
	// the request body.
	overheadBytes = 1 << 10
	// probationPenalty is the cost added to an upstream on probation, so that
	// healthy ones are preferred.
	probationPenalty = 150 * time.Millisecond
	// overduePenalty is the cost added to an upstream whose probe is
	// overdue, so that others are preferred.
	overduePenalty = 500 * time.Millisecond
	// newConnShare is the fraction of the service time that is added to the cost
	// of an upstream without an unused connection. An entry then keeps to the
	// upstreams whose connections and load it already knows, while they have
	// room.
	newConnShare = 0.3
)

// Request describes a request for which an upstream is selected.
type Request struct {
	Service string
	// Route identifies requests with about the same service time.
	Route string
	// Idempotent is true if the request may be executed more than once.
	Idempotent bool
	// AccountPriority and Priority order waiting requests, in this order; lower values
	// are served first.
	AccountPriority int
	Priority        int
	// Account is the name of the client account, or empty.
	Account string
	// Regions lists the only regions whose upstreams may serve the request. It permits all
	// if it is nil, and none if it is empty.
	Regions []string
	// SoftDeadline is the arrival time plus the latency target. A response
	// after it has less value to the caller, and one after Deadline has none.
	SoftDeadline time.Time
	Deadline     time.Time
	// LatencyTarget is the latency target of the route, or 0 for none.
	LatencyTarget time.Duration
	// BodyBytes is the size of the request body.
	BodyBytes int64
	// Tried holds the IDs of the upstreams that the request was already sent
	// to.
	Tried []string
}

// Candidate is an upstream that can accept a request now, with the estimates
// for sending the request to it.
type Candidate struct {
	magnolialedge.Registration
	// Cost is the estimated time to a response, plus the transfer cost and the
	// penalties for failures, probation, overdue probes and a new connection,
	// all expressed as time. Candidates with a lower cost are preferred.
	Cost time.Duration
	// ServiceTime is the estimated time that the upstream takes to process the
	// request.
	ServiceTime time.Duration
	// RoundTrip is the estimated round-trip time to the upstream.
	RoundTrip time.Duration
	// LoadReadAt is the time of the last load reading, or zero for none.
	LoadReadAt time.Time
	// ReportsNoLoad is true if the upstream responds without reporting its
	// load. LastSeenAt is the time of the last response of such an upstream.
	ReportsNoLoad bool
	LastSeenAt    time.Time
	// Slowdown is the estimated factor by which requests take longer than usual
	// at the upstream.
	Slowdown float64
	// Load is the estimated number of requests at the upstream, from all
	// entries.
	Load float64
	// TakesLastSlot is true if the request would take the upstream's last slot.
	TakesLastSlot bool
	// Local is true if the upstream is in the entry's region.
	Local bool
	// NeedsConn is true if there is no unused connection to the upstream.
	NeedsConn bool
	// IsLimited is true if the upstream announces a limit, or is cold with a limit, so that
	// it is not probed.
	IsLimited bool
}

const (
	// maxReadingAge is the age at which a load reading is too old to send a
	// request by, so that the upstream is probed first. For upstreams in other
	// regions, maxRemoteReadingAge applies, since their readings are already
	// old on arrival.
	maxReadingAge       = 35 * time.Millisecond
	maxRemoteReadingAge = 80 * time.Millisecond
	// maxLivenessAge is the time since the last response after which an
	// upstream that reports no load is probed again. The probe may occupy a
	// slot or wait for one.
	maxLivenessAge = 2 * time.Second
)

// IsFresh reports whether the load reading, or the last response of an upstream
// that reports no load, is recent enough to send a request without another
// probe.
func (c Candidate) IsFresh(now time.Time) bool {
	switch {
	case c.IsLimited:
		return true
	case c.ReportsNoLoad:
		return now.Sub(c.LastSeenAt) < maxLivenessAge
	case c.Local:
		return now.Sub(c.LoadReadAt) < maxReadingAge
	}
	return now.Sub(c.LoadReadAt) < maxRemoteReadingAge
}

// Candidates returns at most limit upstreams that can accept the request now,
// in ascending order of cost, and whether the service has any usable upstream
// for it, with or without a free slot.
func (f *Fleet) Candidates(now time.Time, req Request, limit int) ([]Candidate, bool) {
	best := make([]estimate, 0, limit+1)
	hasUsable := false
	f.updateShares(now, req.Service)
	s := f.newSelection(now, req)
	p := f.newFilter(now, req)
	for _, u := range f.byService[req.Service] {
		if !p.admits(u) || slices.Contains(req.Tried, u.ID) {
			continue
		}
		if u.health.StateAt(now) == proc.Probation && (!req.Idempotent || u.inFlight > 0) {
			continue
		}
		hasUsable = true
		if !p.isWithinQuota(u) || (u.isReturning && u.inFlight > 0) {
			continue
		}
		load := u.load(now)
		if !u.hasFreeSlot(load, s.contention) || (s.hasLocal && u.distance == otherRegion && !u.isIdleFor(load)) {
			continue
		}
		e := f.estimate(now, u, req, s, load)
		if s.isEligible(now, req, e) {
			best = insertByCost(best, e, limit)
		}
	}
	out := make([]Candidate, 0, len(best))
	for _, e := range best {
		out = append(out, e.candidate(now))
	}
	return out, hasUsable
}

// insertByCost inserts e into best, in which admitted newcomers come first and the
// others are in ascending order of cost, and keeps the first limit estimates.
func insertByCost(best []estimate, e estimate, limit int) []estimate {
	i, _ := slices.BinarySearchFunc(best, e, func(a, b estimate) int {
		if a.isAdmitted != b.isAdmitted {
			if a.isAdmitted {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.costNanos, b.costNanos), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	if i >= limit {
		return best
	}
	best = slices.Insert(best, i, e)
	return best[:min(limit, len(best))]
}

// selection holds the estimates that all candidates for a request share.
type selection struct {
	serviceTimeNanos float64
	contention       float64
	// hasLocal is true if the entry's region has a usable upstream, with or
	// without a free slot, and canMeetTarget if the request could still meet
	// its latency target.
	hasLocal      bool
	canMeetTarget bool
	// hasReserve is true if a request that cannot meet its latency target may
	// take a slot that another request could use in time.
	hasReserve bool
}

// newSelection returns the estimates for a request that do not depend on the
// upstream.
func (f *Fleet) newSelection(now time.Time, req Request) selection {
	s := selection{
		serviceTimeNanos: f.ServiceTimeNanos(req),
		contention:       f.contentionOf(req.Service),
		hasLocal:         f.hasLocalUpstream(now, req),
		canMeetTarget:    f.CanMeetTarget(now, req),
	}
	s.hasReserve = s.canMeetTarget || f.hasReserve(now, req, s)
	return s
}

// isEligible reports whether the request may be sent to a candidate now. A
// request that can still meet its soft deadline is not sent to an upstream too
// slow for that, and no request is sent where it cannot end before its
// deadline. The transfer cost to another region counts as time, so that a large
// body is not sent to another region just because the entry's region has no
// free slot for a moment.
func (s selection) isEligible(now time.Time, req Request, e estimate) bool {
	endsAt := now.Add(time.Duration(e.serviceTimeNanos) + e.upstream.roundTrip)
	if e.upstream.distance == otherRegion && s.hasLocal {
		endsAt = endsAt.Add(time.Duration(e.transferCostNanos))
	}
	if s.canMeetTarget {
		return !endsAt.After(req.SoftDeadline)
	}
	return endsAt.Before(req.Deadline) && (s.hasReserve || isTooSlowForTarget(req, e.serviceTimeNanos))
}

// hasLocalUpstream reports whether the entry's region has a usable upstream for
// the request, with or without a free slot.
func (f *Fleet) hasLocalUpstream(now time.Time, req Request) bool {
	p := f.newFilter(now, req)
	for _, u := range f.byService[req.Service] {
		if u.distance != otherRegion && p.admits(u) && !slices.Contains(req.Tried, u.ID) {
			return true
		}
	}
	return false
}

// contentionOf returns the measured contention of a service, or
// initialContention.
func (f *Fleet) contentionOf(service string) float64 {
	if c, ok := f.contention[service]; ok {
		return c
	}
	return initialContention
}

// estimate holds the expected load, times and cost of sending a request to an
// upstream.
type estimate struct {
	upstream          *upstream
	load              float64
	slowdown          float64
	takesLastSlot     bool
	serviceTimeNanos  float64
	transferCostNanos float64
	costNanos         float64
	// tieBreak orders upstreams of equal cost at random.
	tieBreak uint32
	// isAdmitted is true for a newcomer that precedes all other candidates.
	isAdmitted bool
	needsConn  bool
}

// estimate returns the estimates for sending the request to u at the given
// load.
func (f *Fleet) estimate(now time.Time, u *upstream, req Request, s selection, load float64) estimate {
	e := estimate{
		upstream:          u,
		load:              load,
		slowdown:          u.slowdownAt(now),
		takesLastSlot:     u.isAtLastSlot(load),
		transferCostNanos: f.transferCostNanos(u, req),
		tieBreak:          f.rand.Uint32(),
	}
	e.serviceTimeNanos = s.serviceTimeNanos * e.slowdown
	if e.takesLastSlot {
		e.serviceTimeNanos *= s.contention
	}
	e.costNanos = float64(u.roundTrip) + e.serviceTimeNanos*(1+inFlightPenaltyShare*load) + e.transferCostNanos + u.penaltyNanos(now)
	e.needsConn = f.cfg.Conns != nil && !f.cfg.Conns.HasIdle(now, u.ID)
	e.isAdmitted = f.admitsNewcomer(now, u)
	if e.needsConn {
		e.costNanos += s.serviceTimeNanos * newConnShare
	}
	return e
}

// penaltyNanos returns the cost that is added for failures, probation and an
// overdue probe, in nanoseconds.
func (u *upstream) penaltyNanos(now time.Time) float64 {
	nanos := u.failureRateAt(now) * float64(failurePenalty)
	if u.health.StateAt(now) == proc.Probation {
		nanos += float64(probationPenalty)
	}
	if u.isProbeOverdue(now) {
		nanos += float64(overduePenalty)
	}
	return nanos
}

func (e estimate) candidate(now time.Time) Candidate {
	return Candidate{
		Registration:  e.upstream.Registration,
		ServiceTime:   time.Duration(e.serviceTimeNanos),
		RoundTrip:     e.upstream.roundTrip,
		LoadReadAt:    e.upstream.loadReadAt,
		ReportsNoLoad: e.upstream.reportsNoLoad,
		LastSeenAt:    e.upstream.lastSeenAt,
		Slowdown:      e.slowdown,
		Load:          e.load,
		Local:         e.upstream.distance != otherRegion,
		TakesLastSlot: e.takesLastSlot,
		NeedsConn:     e.needsConn,
		IsLimited:     e.upstream.isLimited(now),
		Cost:          time.Duration(e.costNanos),
	}
}

// transferCostNanos returns the cost of the request's bytes to the upstream's
// zone or region, in nanoseconds.
func (f *Fleet) transferCostNanos(u *upstream, req Request) float64 {
	kilobytes := float64(req.BodyBytes+overheadBytes) / (1 << 10)
	switch u.distance {
	case sameRegion:
		return kilobytes * float64(f.cfg.TransferCosts.CrossZonePerKB)
	case otherRegion:
		return kilobytes * float64(f.cfg.TransferCosts.CrossRegionPerKB)
	}
	return 0
}

// ServiceTimeNanos returns the estimated service time of a request in
// nanoseconds, at an upstream with a slowdown of 1.
func (f *Fleet) ServiceTimeNanos(req Request) float64 {
	if nanos, ok := f.serviceTimes[req.serviceTimeKey()]; ok {
		return nanos
	}
	return initialServiceTimeShare * float64(cmp.Or(req.LatencyTarget, defaultLatencyTarget))
}
