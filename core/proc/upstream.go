package proc

import (
	"time"

	"magnolialedge"
)

const (
	// initialLatency is the assumed time of service before the first sample.
	initialLatency = 10 * time.Millisecond
	// initialCrossRegionTrip is the assumed round trip between regions before
	// a connection has shown the real one.
	initialCrossRegionTrip = 40 * time.Millisecond
	// latencyMemory is the time after which a sample has lost most weight.
	latencyMemory = time.Second
	// latencyGain is the weight of one new sample.
	latencyGain = 0.01
	// reportLife is the age at which a load report has no weight left.
	reportLife = 30 * time.Millisecond
	// warmUp is the time over which a new upstream comes to full use.
	warmUp = 2 * time.Second
)

// DrainHold is how long an upstream's word that it drains is believed without
// being said again.
const DrainHold = 5 * time.Minute

// upstream is what one entry knows of one target.
type upstream struct {
	target     magnolialedge.Target
	remote     bool
	trip       time.Duration
	latency    float64
	sampledAt  time.Time
	inFlight   int
	addedAt    time.Time
	drainUntil time.Time
	reportAt   time.Time
	reportLoad int
	health     Health
}

// latencyAt returns the latency estimate in nanoseconds. Without samples it
// returns to mean, so that a slow upstream is tried again.
func (u *upstream) latencyAt(now time.Time, mean float64) float64 {
	if u.sampledAt.IsZero() {
		return mean
	}
	age := float64(now.Sub(u.sampledAt)) / float64(latencyMemory)
	if age <= 0 {
		return u.latency
	}
	keep := 1 / (1 + age*age)
	return u.latency*keep + mean*(1-keep)
}

func (u *upstream) sample(now time.Time, took time.Duration, mean float64) {
	served := max(float64(took-u.trip), float64(100*time.Microsecond))
	old := u.latencyAt(now, mean)
	u.latency = old + latencyGain*(served-old)
	u.sampledAt = now
}

func (u *upstream) draining(now time.Time) bool {
	return u.target.IsDraining() || (!u.drainUntil.IsZero() && now.Before(u.drainUntil))
}

// limit returns how many requests this entry may have in flight there. It grows
// from one while the upstream warms up.
func (u *upstream) limit(now time.Time, factor float64) int {
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

// hidden estimates the requests that other entries have in flight there.
func (u *upstream) hidden(now time.Time, share int) float64 {
	guess := float64(u.inFlight * (share - 1))
	if u.reportAt.IsZero() {
		return guess
	}
	age := now.Sub(u.reportAt)
	if age >= reportLife {
		u.reportAt = time.Time{}
		return guess
	}
	weight := 0.5 * (1 - float64(age)/float64(reportLife))
	said := max(0, float64(u.reportLoad-u.inFlight))
	return guess*(1-weight) + said*weight
}
