package proc

import "time"

const (
	// hedgeDelayGain is the relative change of the delay per step.
	hedgeDelayGain = 0.05
	// hedgeBudgetTarget is the fraction of the hedge budget that the delay
	// is controlled to use.
	hedgeBudgetTarget = 0.9
	// minHedgeDelay and maxHedgeDelay limit the delay.
	minHedgeDelay = time.Millisecond
	maxHedgeDelay = 10 * time.Second
	// nextHedgeDelayRatio is the delay of each further hedge relative to
	// that of the first.
	nextHedgeDelayRatio = 0.35
	// initialHedgeDelay is the delay before the first request.
	initialHedgeDelay = 50 * time.Millisecond
)

// Hedger adjusts the hedge delay, the time after which an idempotent request is
// sent to a second upstream, so that the ratio of hedged requests stays within
// the hedge budget. It is not safe for concurrent use.
type Hedger struct {
	budget      *RatioBudget
	targetRatio float64
	delayNs     float64
}

// NewHedger returns a Hedger that hedges at most percent of the requests.
func NewHedger(percent float64) *Hedger {
	return &Hedger{
		budget:      NewRatioBudget(percent),
		targetRatio: percent / 100 * hedgeBudgetTarget,
		delayNs:     float64(initialHedgeDelay),
	}
}

// StartRequest counts a request and returns its hedge delay. It returns false
// if hedging is disabled.
func (h *Hedger) StartRequest() (time.Duration, bool) {
	if h.targetRatio <= 0 {
		return 0, false
	}
	h.budget.Deposit()
	return time.Duration(h.delayNs), true
}

// RecordHedgeUnneeded records a request that ended before its hedge was due. It
// shortens the delay.
func (h *Hedger) RecordHedgeUnneeded() {
	h.adjustDelay(-h.targetRatio)
}

// RecordHedgeDue records a request whose hedge is due and returns the delay
// until its next hedge. It lengthens the delay. first states that this is the
// request's first hedge.
func (h *Hedger) RecordHedgeDue(first bool) time.Duration {
	if first {
		h.adjustDelay(-h.targetRatio)
	}
	h.adjustDelay(1)
	return time.Duration(h.delayNs * nextHedgeDelayRatio)
}

// SpendHedge consumes one hedge and reports whether the budget allowed it.
func (h *Hedger) SpendHedge() bool {
	return h.budget.Withdraw()
}

// adjustDelay changes the delay by steps of hedgeDelayGain, within its limits.
// Each request changes it by -targetRatio steps and each hedge that is due by 1
// step, so that the ratio of due hedges to requests approaches targetRatio.
func (h *Hedger) adjustDelay(steps float64) {
	h.delayNs += h.delayNs * hedgeDelayGain * steps
	h.delayNs = min(max(h.delayNs, float64(minHedgeDelay)), float64(maxHedgeDelay))
}
