package pick

import (
	"math"
	"time"

	"magnolialedge"
	"magnolialedge/core/proc"
)

const (
	// These round-trip times are assumed until one has been measured.
	initialZoneRoundTrip        = 500 * time.Microsecond
	initialCrossZoneRoundTrip   = 3 * time.Millisecond
	initialCrossRegionRoundTrip = 42 * time.Millisecond
	// roundTripGain is the weight of one sample in the moving average of the
	// round-trip time.
	roundTripGain = 0.2
	// slowdownTimeConstant is the time constant with which the last measured
	// slowdown decays to the upstream's usual one.
	slowdownTimeConstant = 350 * time.Millisecond
	// usualSlowdownGain is the weight of one sample in the moving average of
	// the slowdown.
	usualSlowdownGain = 0.02
	// othersInFlightTimeConstant is the time constant with which the last
	// reading of other entries' requests decays to zero.
	othersInFlightTimeConstant = 150 * time.Millisecond
	// warmUpSlowdown is the factor by which an upstream is slower while it
	// warms up after its start.
	warmUpSlowdown = 2
	// failureRateGain is the weight of one result in the failure rate.
	failureRateGain = 0.15
	// failureRateHalfLife is the half-life of the failure rate without new
	// results.
	failureRateHalfLife = 2 * time.Second
	// minBackoff is the time for which an unreachable upstream gets no
	// requests. It doubles with each further failure, up to maxBackoff.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// upstream is the state of one registered upstream as this entry sees it.
type upstream struct {
	magnolialedge.Registration
	roundTrip time.Duration
	distance  distance
	// region is that of the upstream's zone, and isEvacuated is set while the zone is
	// evacuated.
	region      regionSet
	isEvacuated bool
	warmUpUntil time.Time
	// inFlight is the number of requests in flight from this entry.
	inFlight int

	// probeSentAt is the time of the oldest probe without a response, or zero.
	probeSentAt   time.Time
	loadReadAt    time.Time
	slowdown      float64
	usualSlowdown float64
	// othersInFlight is the number of requests of other entries as of
	// loadReadAt.
	othersInFlight float64
	// refusedAt is the time of the last request that the upstream refused.
	refusedAt time.Time
	// reportsNoLoad is true if the upstream responds without reporting its
	// load. lastSeenAt is the time of the last response of such an upstream.
	reportsNoLoad bool
	lastSeenAt    time.Time

	health               proc.Health
	failureRate          float64
	failureRateUpdatedAt time.Time
	// backoffUntil is the time until which the upstream gets no requests
	// because it was unreachable, and backoff is the length of that time.
	backoffUntil time.Time
	backoff      time.Duration
	// contactAt is the time of the last response, whatever it was, or zero.
	contactAt time.Time
	// isNewcomer is true until the first request to an upstream that registered
	// after the initial listing. registeredAt is the time of its registration.
	isNewcomer   bool
	registeredAt time.Time
	notice
}

// distance classifies where an upstream runs relative to the entry.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

// newUpstream returns the state of an upstream without measurements.
func newUpstream(now time.Time, r magnolialedge.Registration, d distance) *upstream {
	u := &upstream{usualSlowdown: 1, slowdown: 1, distance: d, registeredAt: now}
	u.roundTrip = [...]time.Duration{initialZoneRoundTrip, initialCrossZoneRoundTrip, initialCrossRegionRoundTrip}[d]
	u.register(now, r)
	return u
}

// register applies a registration. A new start under the same ID discards the
// health, failure rate, backoff, load reading and notice of the previous one.
func (u *upstream) register(now time.Time, r magnolialedge.Registration) {
	if u.StartedAtUnixMs != r.StartedAtUnixMs && u.ID != "" {
		u.health = proc.Health{}
		u.failureRate = 0
		u.backoff = 0
		u.backoffUntil = time.Time{}
		u.loadReadAt = time.Time{}
		u.notice = notice{}
		u.isNewcomer = true
		u.registeredAt = now
	}
	u.Registration = r
	u.warmUpUntil = now.Add(r.WarmUpRemaining)
}

// slowdownAt estimates the present slowdown from the last reading and the usual
// slowdown.
func (u *upstream) slowdownAt(now time.Time) float64 {
	if u.isCold(now) {
		return u.cold.slowdown
	}
	s := u.usualSlowdown
	if !u.loadReadAt.IsZero() {
		weight := decay(now.Sub(u.loadReadAt), slowdownTimeConstant)
		s = u.slowdown*weight + u.usualSlowdown*(1-weight)
	}
	if now.Before(u.warmUpUntil) {
		s *= warmUpSlowdown
	}
	return s
}

// load estimates the number of requests at the upstream, from all entries. After a
// refusal, the upstream counts as full for a short time.
func (u *upstream) load(now time.Time) float64 {
	load := u.reportedLoad(now)
	if u.refusedAt.IsZero() {
		return load
	}
	return max(load, float64(u.inFlight+u.Slots)*decay(now.Sub(u.refusedAt), othersInFlightTimeConstant))
}

// reportedLoad is load without regard to refusals. An upstream may shed requests
// although it has free slots.
func (u *upstream) reportedLoad(now time.Time) float64 {
	if u.loadReadAt.IsZero() {
		return float64(u.inFlight)
	}
	return float64(u.inFlight) + u.othersInFlight*decay(now.Sub(u.loadReadAt), othersInFlightTimeConstant)
}

// loadTolerance prevents a small estimate of other entries' requests from
// counting as a whole request.
const loadTolerance = 0.25

// hasFreeSlot reports whether one more request at the given load would start at
// once, without using a last slot that reduces the throughput.
func (u *upstream) hasFreeSlot(load, contention float64) bool {
	return load+1 <= float64(u.effectiveSlots(contention))+loadTolerance
}

// isIdleFor reports whether at most half of the slots are in use at the given load.
// Readings of upstreams in other regions are old, and entries there use the last
// slots first.
func (u *upstream) isIdleFor(load float64) bool {
	return load <= float64(u.Slots)/2-1+loadTolerance
}

// effectiveSlots returns the number of slots that give the highest throughput.
// It excludes the last slot if the contention outweighs the added concurrency.
func (u *upstream) effectiveSlots(contention float64) int {
	slots := max(1, u.Slots)
	if slots > 1 && float64(slots)/contention < float64(slots-1) {
		return slots - 1
	}
	return slots
}

// isAtLastSlot reports whether one more request at the given load would take
// the last slot.
func (u *upstream) isAtLastSlot(load float64) bool {
	return u.Slots > 1 && load+1+loadTolerance >= float64(u.Slots)
}

// recordLoad applies a load reading.
func (u *upstream) recordLoad(now time.Time, r magnolialedge.LoadReading) {
	u.loadReadAt = now
	u.reportsNoLoad = false
	u.othersInFlight = max(0, float64(r.Running+r.Waiting-u.inFlight))
	if r.Slots > 0 && r.Slots <= magnolialedge.MaxSlots {
		u.Slots = r.Slots
	}
	switch {
	case r.Slowdown <= 0:
	case u.isCold(now):
		u.recordColdSlowdown(r.Slowdown)
	default:
		u.slowdown = r.Slowdown
		u.usualSlowdown += usualSlowdownGain * (r.Slowdown - u.usualSlowdown)
	}
	u.markReachable()
}

const (
	// These limit one slowdown sample that is derived from the duration of a
	// request.
	minMeasuredSlowdown = 0.3
	maxMeasuredSlowdown = 10
)

// recordLiveness records a response without load.
func (u *upstream) recordLiveness(now time.Time) {
	u.reportsNoLoad = true
	u.lastSeenAt = now
	u.markReachable()
}

// recordSlowdown records the slowdown derived from the duration of a request,
// for an upstream that reports no load.
func (u *upstream) recordSlowdown(now time.Time, slowdown float64) {
	u.lastSeenAt = now
	u.loadReadAt = now
	u.othersInFlight = 0
	if u.isCold(now) {
		u.recordColdSlowdown(slowdown)
		return
	}
	u.slowdown = min(max(slowdown, minMeasuredSlowdown), maxMeasuredSlowdown)
	u.usualSlowdown += usualSlowdownGain * (u.slowdown - u.usualSlowdown)
}

// markReachable ends the backoff and clears the pending probe.
func (u *upstream) markReachable() {
	u.probeSentAt = time.Time{}
	u.backoff = 0
	u.backoffUntil = time.Time{}
}

// markUnreachable starts a backoff, or doubles the previous one.
func (u *upstream) markUnreachable(now time.Time) {
	u.probeSentAt = time.Time{}
	u.backoff = min(max(minBackoff, 2*u.backoff), maxBackoff)
	u.backoffUntil = now.Add(u.backoff)
}

// probeAllowance is the time, in addition to two round trips, after which a
// probe is overdue and other upstreams are preferred.
const probeAllowance = 25 * time.Millisecond

// isProbeOverdue reports whether the response to a probe is overdue.
func (u *upstream) isProbeOverdue(now time.Time) bool {
	return !u.probeSentAt.IsZero() && now.Sub(u.probeSentAt) > probeAllowance+2*u.roundTrip
}

// failureRateAt returns the failure rate, decayed since the last result.
func (u *upstream) failureRateAt(now time.Time) float64 {
	if u.failureRate == 0 {
		return 0
	}
	return u.failureRate * math.Exp2(-float64(now.Sub(u.failureRateUpdatedAt))/float64(failureRateHalfLife))
}

// recordResult adds the result of one attempt to the failure rate.
func (u *upstream) recordResult(now time.Time, failed bool) {
	rate := u.failureRateAt(now)
	u.failureRateUpdatedAt = now
	if failed {
		u.failureRate = rate + failureRateGain*(1-rate)
		return
	}
	u.failureRate = rate - failureRateGain*rate
}

// decay returns the weight of a value of the given age under exponential decay.
func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}
