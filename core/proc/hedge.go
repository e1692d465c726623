package proc

import "time"

const (
	// hedgeDelayGain is the relative step by which one request moves the delay.
	hedgeDelayGain = 0.05
	// hedgeBudgetTarget is the part of the hedge budget that the delay aims to use.
	hedgeBudgetTarget = 0.9
	// minHedgeDelay and maxHedgeDelay bound the delay.
	minHedgeDelay = time.Millisecond
	maxHedgeDelay = 10 * time.Second
	// nextHedgeDelayRatio is the delay of each further hedge as a share of that of
	// the first.
	nextHedgeDelayRatio = 0.35
	// initialHedgeDelay is the delay before any request has been seen.
	initialHedgeDelay = 50 * time.Millisecond
)

// Hedger controls the time after which an idempotent request is sent a second
// time, so that the share of hedged requests stays within the budget.
type Hedger struct {
	budget      *RatioBudget
	targetRatio float64
	delayNs     float64
}

// NewHedger returns a Hedger that hedges at most percent of requests.
func NewHedger(percent float64) *Hedger {
	return &Hedger{
		budget:      NewRatioBudget(percent),
		targetRatio: percent / 100 * hedgeBudgetTarget,
		delayNs:     float64(initialHedgeDelay),
	}
}

// StartRequest returns the present hedge delay and counts a request; false means that
// requests aren't hedged at all.
func (h *Hedger) StartRequest() (time.Duration, bool) {
	if h.targetRatio <= 0 {
		return 0, false
	}
	h.budget.Deposit()
	return time.Duration(h.delayNs), true
}

// RecordHedgeUnneeded records a request that ended before its hedge was due.
func (h *Hedger) RecordHedgeUnneeded() {
	h.adjustDelay(-h.targetRatio)
}

// RecordHedgeDue records a request whose hedge is due, and returns the delay to its next.
func (h *Hedger) RecordHedgeDue(first bool) time.Duration {
	if first {
		h.adjustDelay(-h.targetRatio)
	}
	h.adjustDelay(1)
	return time.Duration(h.delayNs * nextHedgeDelayRatio)
}

// SpendHedge takes one hedge from the budget if it allows one.
func (h *Hedger) SpendHedge() bool {
	return h.budget.Withdraw()
}

func (h *Hedger) adjustDelay(by float64) {
	h.delayNs += h.delayNs * hedgeDelayGain * by
	h.delayNs = min(max(h.delayNs, float64(minHedgeDelay)), float64(maxHedgeDelay))
}
