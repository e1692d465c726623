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

type healthState int

const (
	healthy healthState = iota
	ejected
	probation
)

// health decides whether one upstream is fit for work.
type health struct {
	state     healthState
	failures  int
	successes int
	share     float64
	until     time.Time
	rounds    int
}

// at moves an ejection that has ended to probation and returns the state.
func (h *health) at(now time.Time) healthState {
	if h.state == ejected && !now.Before(h.until) {
		h.state = probation
		h.successes = 0
	}
	return h.state
}

// ok records a useful answer and reports whether it ended probation.
func (h *health) ok() bool {
	h.failures = 0
	h.share -= h.share * failureGain
	if h.state != probation {
		return false
	}
	h.successes++
	if h.successes < successesToReturn {
		return false
	}
	*h = health{}
	return true
}

// fail records a failure; mayEject tells whether the cap on ejections leaves room.
func (h *health) fail(now time.Time, mayEject bool) {
	h.failures++
	h.share += (1 - h.share) * failureGain
	switch {
	case h.state == ejected:
		return
	case h.state == probation:
		h.eject(now)
	case mayEject && (h.failures >= failuresToEject || h.share > failureShareToEject):
		h.eject(now)
	}
}

func (h *health) eject(now time.Time) {
	length := min(firstEjection<<h.rounds, lastEjection)
	h.state = ejected
	h.until = now.Add(length)
	h.failures = 0
	h.rounds = min(h.rounds+1, 5)
}
