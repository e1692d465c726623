package call

import (
	"time"

	"magnolialedge/core/call"
)

// timers are the hedge, stall and deadline timers of an exchange.
type timers struct {
	exchange *exchange
	hedge    *time.Timer
	stall    *time.Timer
	deadline *time.Timer
	isArmed  bool
	// isHedgeRecorded is true once the hedge delay controller has counted this
	// request, either as ended before its hedge or as hedged.
	isHedgeRecorded bool
}

func (x *exchange) newTimers() *timers {
	t := &timers{
		exchange: x,
		hedge:    newStoppedTimer(),
		stall:    newStoppedTimer(),
		deadline: time.NewTimer(time.Until(x.deadline)),
	}
	return t
}

// newStoppedTimer returns a timer that fires only after a Reset.
func newStoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// arm starts the stall and hedge timers at the first attempt. Later calls do
// nothing.
func (t *timers) arm() {
	if t.isArmed {
		return
	}
	t.isArmed = true
	if stall := t.exchange.svc.StallTimeout(); stall > 0 {
		t.stall.Reset(stall)
	}
	if t.exchange.class != call.Idempotent || !t.exchange.body.replayable() {
		return
	}
	if delay, ok := t.exchange.svc.HedgeDelay(); ok {
		t.hedge.Reset(delay)
		return
	}
	t.isHedgeRecorded = true
}

// rearmHedge reports a due hedge and starts the timer of the next one.
func (t *timers) rearmHedge() {
	t.hedge.Reset(t.exchange.svc.RecordHedgeDue(!t.isHedgeRecorded))
	t.isHedgeRecorded = true
}

// cancelHedge stops the hedge timer and reports that the attempt ended before a
// hedge was due.
func (t *timers) cancelHedge(a *attempt) {
	if t.isHedgeRecorded || a.isHedge || t.exchange.class != call.Idempotent {
		return
	}
	t.isHedgeRecorded = true
	t.hedge.Stop()
	t.exchange.svc.RecordHedgeUnneeded()
}

func (t *timers) stop() {
	t.hedge.Stop()
	t.stall.Stop()
	t.deadline.Stop()
}
