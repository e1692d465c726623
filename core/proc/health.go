package proc

import "time"

const (
	// failuresToEject is the number of consecutive failures after which an
	// upstream is ejected.
	failuresToEject = 3
	// failureRateToEject is the moving average of the failure rate above
	// which an upstream is ejected.
	failureRateToEject = 0.5
	// failureRateGain is the weight of one result in the moving average.
	failureRateGain = 0.1
	// minEjection is the duration of the first ejection. Each consecutive
	// ejection is twice as long as the one before, up to maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// successesToRecover is the number of consecutive successes that ends
	// probation.
	successesToRecover = 3
)

// HealthState states whether an upstream receives requests.
type HealthState int

const (
	// Healthy upstreams receive requests.
	Healthy HealthState = iota
	// Ejected upstreams receive no requests.
	Ejected
	// Probation upstreams receive a few requests after an ejection.
	Probation
)

// Health is the state of one upstream in outlier ejection. The zero value is
// healthy.
type Health struct {
	state                HealthState
	consecutiveFailures  int
	consecutiveSuccesses int
	failureRate          float64
	ejectedUntil         time.Time
	consecutiveEjections int
}

// StateAt returns the state at now. It ends an expired ejection and starts
// probation.
func (h *Health) StateAt(now time.Time) HealthState {
	if h.state == Ejected && !now.Before(h.ejectedUntil) {
		h.state = Probation
		h.consecutiveSuccesses = 0
	}
	return h.state
}

// RecordSuccess records a successful attempt and reports whether it ended
// probation.
func (h *Health) RecordSuccess() bool {
	h.consecutiveFailures = 0
	h.failureRate -= h.failureRate * failureRateGain
	if h.state != Probation {
		return false
	}
	h.consecutiveSuccesses++
	if h.consecutiveSuccesses < successesToRecover {
		return false
	}
	*h = Health{}
	return true
}

// RecordFailure records a failed attempt. It ejects an upstream on probation,
// or a healthy one that reaches a failure limit. canEject states whether the
// limit on ejections allows a healthy upstream to be ejected.
func (h *Health) RecordFailure(now time.Time, canEject bool) {
	h.consecutiveFailures++
	h.failureRate += (1 - h.failureRate) * failureRateGain
	switch {
	case h.state == Ejected:
		return
	case h.state == Probation:
		h.eject(now)
	case canEject && (h.consecutiveFailures >= failuresToEject || h.failureRate > failureRateToEject):
		h.eject(now)
	}
}

// eject starts an ejection.
func (h *Health) eject(now time.Time) {
	duration := min(minEjection<<h.consecutiveEjections, maxEjection)
	h.state = Ejected
	h.ejectedUntil = now.Add(duration)
	h.consecutiveFailures = 0
	h.consecutiveEjections = min(h.consecutiveEjections+1, 5)
}
