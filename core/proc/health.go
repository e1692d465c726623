package proc

import "time"

const (
	// failuresToEject is the run of failures after which an upstream is ejected.
	failuresToEject = 3
	// failureShareToEject is the moving share of failures that ejects.
	failureShareToEject = 0.5
	// failureGain is the weight of one result in the moving share.
	failureGain = 0.1
	// firstEjection is the length of the first ejection; each next one in a
	// row is twice as long, up to lastEjection.
	firstEjection = time.Second
	lastEjection  = 30 * time.Second
	// successesToReturn is the run of successes that ends probation.
	successesToReturn = 3
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
	state     HealthState
	failures  int
	successes int
	share     float64
	until     time.Time
	rounds    int
}

// At moves an ejection that has ended to probation and returns the state.
func (h *Health) At(now time.Time) HealthState {
	if h.state == Ejected && !now.Before(h.until) {
		h.state = Probation
		h.successes = 0
	}
	return h.state
}

// OK records a useful answer and reports whether it ended probation.
func (h *Health) OK() bool {
	h.failures = 0
	h.share -= h.share * failureGain
	if h.state != Probation {
		return false
	}
	h.successes++
	if h.successes < successesToReturn {
		return false
	}
	*h = Health{}
	return true
}

// Fail records a failure; mayEject tells whether the cap on ejections leaves room.
func (h *Health) Fail(now time.Time, mayEject bool) {
	h.failures++
	h.share += (1 - h.share) * failureGain
	switch {
	case h.state == Ejected:
		return
	case h.state == Probation:
		h.eject(now)
	case mayEject && (h.failures >= failuresToEject || h.share > failureShareToEject):
		h.eject(now)
	}
}

func (h *Health) eject(now time.Time) {
	length := min(firstEjection<<h.rounds, lastEjection)
	h.state = Ejected
	h.until = now.Add(length)
	h.failures = 0
	h.rounds = min(h.rounds+1, 5)
}
