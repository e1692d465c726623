package proc

import "time"

const (
	// failuresToEject is the run of failures after which an upstream is ejected.
	failuresToEject = 3
	// failureRateToEject is the moving share of failures that ejects.
	failureRateToEject = 0.5
	// failureRateGain is the weight of one result in the moving share.
	failureRateGain = 0.1
	// firstEjection is the length of the first ejection; each next one in a
	// row is twice as long, up to lastEjection.
	firstEjection = time.Second
	lastEjection  = 30 * time.Second
	// successesToRecover is the run of successes that ends probation.
	successesToRecover = 3
)

// HealthState is what an upstream's results allow.
type HealthState int

const (
	// Healthy upstreams take work.
	Healthy HealthState = iota
	// Ejected upstreams take no work.
	Ejected
	// Probation upstreams take a few requests.
	Probation
)

// Health decides whether one upstream is fit for work.
type Health struct {
	state                HealthState
	consecutiveFailures  int
	consecutiveSuccesses int
	failureRate          float64
	ejectedUntil         time.Time
	consecutiveEjections int
}

// StateAt moves an ejection that has ended to probation and returns the state.
func (h *Health) StateAt(now time.Time) HealthState {
	if h.state == Ejected && !now.Before(h.ejectedUntil) {
		h.state = Probation
		h.consecutiveSuccesses = 0
	}
	return h.state
}

// RecordSuccess records a useful answer and reports whether it ended probation.
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

// RecordFailure records a failure; mayEject tells whether the cap on ejections leaves room.
func (h *Health) RecordFailure(now time.Time, mayEject bool) {
	h.consecutiveFailures++
	h.failureRate += (1 - h.failureRate) * failureRateGain
	switch {
	case h.state == Ejected:
		return
	case h.state == Probation:
		h.eject(now)
	case mayEject && (h.consecutiveFailures >= failuresToEject || h.failureRate > failureRateToEject):
		h.eject(now)
	}
}

func (h *Health) eject(now time.Time) {
	length := min(firstEjection<<h.consecutiveEjections, lastEjection)
	h.state = Ejected
	h.ejectedUntil = now.Add(length)
	h.consecutiveFailures = 0
	h.consecutiveEjections = min(h.consecutiveEjections+1, 5)
}
