package call

import (
	"time"

	"magnolialedge/core/call"
)

// timers are the times at which an exchange looks at its attempts again.
type timers struct {
	x        *exchange
	hedge    *time.Timer
	stall    *time.Timer
	deadline *time.Timer
	armed    bool
	// hedged tells that the control of the hedge delay knows of this request.
	hedged bool
}

func (x *exchange) newTimers() *timers {
	t := &timers{
		x:        x,
		hedge:    stopped(),
		stall:    stopped(),
		deadline: time.NewTimer(time.Until(x.deadline)),
	}
	return t
}

func stopped() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// arm starts the timers of the first attempt.
func (t *timers) arm() {
	if t.armed {
		return
	}
	t.armed = true
	if stall := t.x.svc.StallTimeout(); stall > 0 {
		t.stall.Reset(stall)
	}
	if t.x.class != call.Idempotent || !t.x.body.replayable() {
		return
	}
	if delay, ok := t.x.svc.HedgeDelay(); ok {
		t.hedge.Reset(delay)
		return
	}
	t.hedged = true
}

// hedgeDue starts the timer of the next hedge.
func (t *timers) hedgeDue() {
	t.hedge.Reset(t.x.svc.RecordHedgeDue(!t.hedged))
	t.hedged = true
}

// settleHedge tells the control of the hedge delay that the first attempt ended
// in time.
func (t *timers) settleHedge(a *attempt) {
	if t.hedged || a.hedge || t.x.class != call.Idempotent {
		return
	}
	t.hedged = true
	t.hedge.Stop()
	t.x.svc.RecordHedgeUnneeded()
}

func (t *timers) stop() {
	t.hedge.Stop()
	t.stall.Stop()
	t.deadline.Stop()
}
