package proc

import (
	"time"

	"magnolialedge"
)

const (
	// initialLatency is the assumed time of service before the first sample.
	initialLatency = 10 * time.Millisecond
	// initialCrossRegionRoundTrip is the assumed round trip between regions before
	// a connection has shown the real one.
	initialCrossRegionRoundTrip = 40 * time.Millisecond
	// latencyDecay is the time after which a sample has lost most weight.
	latencyDecay = time.Second
	// latencyGain is the weight of one new sample.
	latencyGain = 0.01
	// reportTTL is the age at which a load report has no weight left.
	reportTTL = 30 * time.Millisecond
	// warmUp is the time over which a new upstream comes to full use.
	warmUp = 2 * time.Second
)

// DrainTTL is how long an upstream's word that it drains is believed without
// being said again.
const DrainTTL = 5 * time.Minute

// upstream is what one entry knows of one target.
type upstream struct {
	target        magnolialedge.Target
	isRemote      bool
	roundTrip     time.Duration
	latencyNs     float64
	sampledAt     time.Time
	inFlight      int
	addedAt       time.Time
	drainingUntil time.Time
	reportedAt    time.Time
	reportedLoad  int
	health        Health
}

// latencyAt returns the latency estimate in nanoseconds. Without samples it
// returns to mean, so that a slow upstream is tried again.
func (u *upstream) latencyAt(now time.Time, mean float64) float64 {
	if u.sampledAt.IsZero() {
		return mean
	}
	age := float64(now.Sub(u.sampledAt)) / float64(latencyDecay)
	if age <= 0 {
		return u.latencyNs
	}
	keep := 1 / (1 + age*age)
	return u.latencyNs*keep + mean*(1-keep)
}

func (u *upstream) recordLatency(now time.Time, took time.Duration, mean float64) {
	served := max(float64(took-u.roundTrip), float64(100*time.Microsecond))
	old := u.latencyAt(now, mean)
	u.latencyNs = old + latencyGain*(served-old)
	u.sampledAt = now
}

func (u *upstream) isDraining(now time.Time) bool {
	return u.target.IsDraining() || (!u.drainingUntil.IsZero() && now.Before(u.drainingUntil))
}

// concurrencyLimit returns how many requests this entry may have in flight there. It grows
// from one while the upstream warms up.
func (u *upstream) concurrencyLimit(now time.Time, factor float64) int {
	full := max(1, int(float64(u.target.Slots)*factor))
	if u.addedAt.IsZero() {
		return full
	}
	since := now.Sub(u.addedAt)
	if since >= warmUp {
		u.addedAt = time.Time{}
		return full
	}
	return max(1, int(float64(full)*float64(since)/float64(warmUp)))
}

// estimateOtherInFlight estimates the requests that other entries have in flight there.
func (u *upstream) estimateOtherInFlight(now time.Time, share int) float64 {
	guess := float64(u.inFlight * (share - 1))
	if u.reportedAt.IsZero() {
		return guess
	}
	age := now.Sub(u.reportedAt)
	if age >= reportTTL {
		u.reportedAt = time.Time{}
		return guess
	}
	weight := 0.5 * (1 - float64(age)/float64(reportTTL))
	said := max(0, float64(u.reportedLoad-u.inFlight))
	return guess*(1-weight) + said*weight
}
