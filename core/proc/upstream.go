package proc

import (
	"time"

	"magnolialedge"
)

const (
	// initialServiceTime is the service time assumed before the first
	// sample.
	initialServiceTime = 10 * time.Millisecond
	// initialCrossRegionRoundTrip is the round-trip time assumed between
	// regions until a connection has been measured.
	initialCrossRegionRoundTrip = 40 * time.Millisecond
	// serviceTimeDecay is the age at which a service time estimate has lost
	// half of its weight against the mean.
	serviceTimeDecay = time.Second
	// serviceTimeGain is the weight of a new sample in a moving average.
	serviceTimeGain = 0.01
	// reportTTL is the age at which a load report is discarded.
	reportTTL = 30 * time.Millisecond
	// warmUpDuration is the time over which the concurrency limit of a new
	// upstream rises to its full value.
	warmUpDuration = 2 * time.Second
)

// DrainTTL is how long an upstream counts as draining after it last reported
// so.
const DrainTTL = 5 * time.Minute

// upstream is the state that one entry keeps for one target.
type upstream struct {
	target magnolialedge.Target
	// isRemote reports that the target is in another region.
	isRemote  bool
	roundTrip time.Duration
	// serviceTimeNs is the estimate as of sampledAt.
	serviceTimeNs float64
	sampledAt     time.Time
	inFlight      int
	// addedAt is the start of the warm-up, or zero after it.
	addedAt       time.Time
	drainingUntil time.Time
	reportedAt    time.Time
	// reportedLoad is the number of requests in flight and queued.
	reportedLoad int
	health       Health
}

// serviceTimeAt returns the estimated service time in nanoseconds, without the
// round trip. In the absence of samples it approaches mean, so that a slow
// upstream is tried again.
func (u *upstream) serviceTimeAt(now time.Time, mean float64) float64 {
	if u.sampledAt.IsZero() {
		return mean
	}
	age := float64(now.Sub(u.sampledAt)) / float64(serviceTimeDecay)
	if age <= 0 {
		return u.serviceTimeNs
	}
	weight := 1 / (1 + age*age)
	return u.serviceTimeNs*weight + mean*(1-weight)
}

// recordDuration adds an attempt of the given duration to the estimated service
// time. mean is the mean service time in nanoseconds.
func (u *upstream) recordDuration(now time.Time, duration time.Duration, mean float64) {
	sample := max(float64(duration-u.roundTrip), float64(100*time.Microsecond))
	previous := u.serviceTimeAt(now, mean)
	u.serviceTimeNs = previous + serviceTimeGain*(sample-previous)
	u.sampledAt = now
}

// isDraining reports whether the document or the upstream itself states that
// the target is draining.
func (u *upstream) isDraining(now time.Time) bool {
	return u.target.IsDraining() || (!u.drainingUntil.IsZero() && now.Before(u.drainingUntil))
}

// concurrencyLimit returns the maximum number of requests that this entry may
// have in flight at the upstream. During warm-up it grows linearly from 1.
// factor is the number of requests per slot.
func (u *upstream) concurrencyLimit(now time.Time, factor float64) int {
	full := max(1, int(float64(u.target.Slots)*factor))
	if u.addedAt.IsZero() {
		return full
	}
	age := now.Sub(u.addedAt)
	if age >= warmUpDuration {
		u.addedAt = time.Time{}
		return full
	}
	return max(1, int(float64(full)*float64(age)/float64(warmUpDuration)))
}

// estimateOtherInFlight estimates the number of requests that other entries
// have in flight at the upstream, from a recent load report and from the number
// of entries that share the service.
func (u *upstream) estimateOtherInFlight(now time.Time, entryCount int) float64 {
	assumed := float64(u.inFlight * (entryCount - 1))
	if u.reportedAt.IsZero() {
		return assumed
	}
	age := now.Sub(u.reportedAt)
	if age >= reportTTL {
		u.reportedAt = time.Time{}
		return assumed
	}
	weight := 0.5 * (1 - float64(age)/float64(reportTTL))
	reported := max(0, float64(u.reportedLoad-u.inFlight))
	return assumed*(1-weight) + reported*weight
}
