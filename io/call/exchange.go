package call

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"magnolialedge"
	"magnolialedge/core/call"
	"magnolialedge/core/stop"
	"magnolialedge/io/event"
	"magnolialedge/io/proc"
)

// exchange forwards one request to upstreams, in one or more attempts, and relays
// one response.
type exchange struct {
	server      *Server
	svc         *proc.Service
	service     string
	requestID   string
	method      string
	host        string
	url         *url.URL
	header      http.Header
	body        *body
	class       call.Class
	fingerprint uint64
	deadline    time.Time
	// baseCtx is the parent of the attempts' contexts. It is canceled once the
	// request has been served.
	baseCtx context.Context
	// callerCtx is done when the caller has disconnected.
	callerCtx context.Context
	// w is nil when interim responses cannot be relayed.
	w              http.ResponseWriter
	interimMu      sync.Mutex
	interimStopped bool

	plan     *call.Plan
	tried    []string
	attempts []*attempt
	ended    chan *attempt
	// fallback is the attempt whose response is relayed if no later one is better.
	fallback *attempt
}

// endedCapacity is the buffer size of the channel of ended attempts. The buffer
// keeps an attempt that ends after the exchange has stopped receiving from blocking.
const endedCapacity = 8

// exchangeResult is the attempt whose response is relayed, or the error response if
// there is none.
type exchangeResult struct {
	attempt     *attempt
	errResponse errorResponse
}

// run makes attempts until the plan ends the exchange. The caller must call
// cancelOthers once the response has been relayed.
func (x *exchange) run() exchangeResult {
	defer x.stopInterim()
	x.plan = call.NewPlan(call.PlanConfig{
		Class:          x.class,
		Deadline:       x.deadline,
		BodyReplayable: x.body.replayable(),
		Budgets:        x.svc,
	})
	x.ended = make(chan *attempt, endedCapacity)
	timers := x.newTimers()
	defer timers.stop()
	action := x.plan.Begin(time.Now())
	var last *attempt
	for {
		switch action.Step {
		case call.StepSend:
			if !x.maySend() {
				action = x.plan.AttemptEnded(time.Now(), call.Result{Outcome: magnolialedge.OutcomeNotRun, Leaving: true})
				continue
			}
			if !x.sendAttempt() {
				action = x.plan.AttemptEnded(time.Now(), call.Result{Outcome: magnolialedge.OutcomeNotRun, NoUpstream: true})
				continue
			}
			timers.arm()
		case call.StepRelay:
			return exchangeResult{attempt: last}
		case call.StepGiveUp:
			if x.fallback != nil {
				return exchangeResult{attempt: x.fallback}
			}
			return exchangeResult{errResponse: x.giveUpResponse(action)}
		}
		last, action = x.nextEvent(timers)
	}
}

// stopInterim stops the relaying of 1xx responses, because the final response
// follows.
func (x *exchange) stopInterim() {
	x.interimMu.Lock()
	defer x.interimMu.Unlock()
	x.interimStopped = true
}

// nextEvent waits for an attempt's end, a timer or the caller's disconnect. It
// returns the ended attempt, if any, and the plan's next action.
func (x *exchange) nextEvent(t *timers) (*attempt, call.Action) {
	select {
	case a := <-x.ended:
		a.isReceived = true
		t.cancelHedge(a)
		if a.result.UpstreamLost {
			a.recordUpstreamLost()
		}
		action := x.plan.AttemptEnded(time.Now(), a.result)
		if action.Step != call.StepRelay {
			x.keepFallback(a)
		}
		return a, action
	case <-t.hedge.C:
		t.rearmHedge()
		return nil, x.sendHedge(x.plan.HedgeDue(time.Now()))
	case <-t.stall.C:
		x.handleStall()
		return nil, x.sendHedge(x.plan.StallDue(time.Now()))
	case <-t.deadline.C:
		return nil, x.plan.DeadlineExpired()
	case <-x.callerCtx.Done():
		return nil, x.plan.DeadlineExpired()
	}
}

// keepFallback keeps a complete response of an upstream that ran the request as the
// fallback, and discards any other.
func (x *exchange) keepFallback(a *attempt) {
	if a.resp == nil || !a.isComplete || a.result.Outcome != magnolialedge.OutcomeRan {
		a.discard()
		return
	}
	x.fallback = a
}

// maySend reports whether an attempt may be sent now, as far as a stop of this entry permits it.
// The schedule has no open period, so that the expected time does not matter.
func (x *exchange) maySend() bool {
	return x.server.schedule().Permits(time.Now(), stop.Work{Deadline: x.deadline})
}

// sendAttempt starts an attempt. It waits for a free slot if there is none, and
// returns false if no upstream can be acquired before the deadline.
func (x *exchange) sendAttempt() bool {
	req := magnolialedge.PickRequest{
		Exclude:        x.tried,
		AllowProbation: x.class == call.Idempotent && x.body.replayable(),
		BodyBytes:      max(0, x.body.length),
	}
	pick, ok := x.svc.Acquire(x.callerCtx, req, x.deadline)
	if !ok {
		return false
	}
	x.startAttempt(pick.Address, false)
	return true
}

// sendHedge starts a concurrent attempt if the action is to send one and an upstream
// has a free slot.
func (x *exchange) sendHedge(action call.Action) call.Action {
	if action.Step != call.StepSend {
		return action
	}
	if !x.maySend() {
		x.plan.CancelHedge()
		return call.Action{Step: call.StepWait}
	}
	pick, ok := x.svc.TryAcquire(magnolialedge.PickRequest{Exclude: x.tried, IdleOnly: true})
	if !ok {
		x.plan.CancelHedge()
		return call.Action{Step: call.StepWait}
	}
	x.server.cfg.Metrics.Hedges.WithLabelValues(x.service).Inc()
	x.startAttempt(pick.Address, true)
	return call.Action{Step: call.StepWait}
}

// handleStall closes the idle connections to each upstream that has sent nothing
// since its attempt began, because they may be broken too.
func (x *exchange) handleStall() {
	for _, a := range x.attempts {
		if a.trace.HasReceived() {
			continue
		}
		x.server.cfg.Pool.CloseIdle(a.address)
		x.server.cfg.Log.Log(event.ConnectionStalled, "service", x.service, "upstream", a.address, "requestId", x.requestID)
		x.server.cfg.Metrics.Stalls.WithLabelValues(x.service).Inc()
	}
}

// giveUpResponse returns the error response for an exchange that the plan gave up.
func (x *exchange) giveUpResponse(action call.Action) errorResponse {
	if action.Quarantine {
		x.server.cfg.Log.Log(event.Quarantined, "service", x.service, "requestId", x.requestID, "method", x.method)
	}
	return newErrorResponse(action.Kind, action.Outcome, detailFor(action.Kind))
}

func detailFor(kind magnolialedge.ErrorKind) string {
	switch kind {
	case magnolialedge.KindOverloaded:
		return "no upstream has room for the request before its deadline"
	case magnolialedge.KindNoUpstream:
		return "no upstream could be reached"
	case magnolialedge.KindDeadlineExceeded:
		return "the deadline passed without an answer"
	case magnolialedge.KindUpstreamLost:
		return "the connection to the upstream broke before its answer"
	case magnolialedge.KindLeaving:
		return "this entry is stopping and might end before the request"
	case magnolialedge.KindQuarantined:
		return "the request lost two upstreams"
	}
	return ""
}

// cancelOthers cancels every attempt except keep, and discards their responses.
func (x *exchange) cancelOthers(keep *attempt) {
	for _, a := range x.attempts {
		if a != keep {
			a.cancel()
		}
	}
	if n := len(x.attempts) - x.receivedCount(); n > 0 {
		go x.discardEnded(n)
	}
}

// discardEnded receives the ends of n attempts and discards their responses.
func (x *exchange) discardEnded(n int) {
	for ; n > 0; n-- {
		a := <-x.ended
		a.discard()
	}
}

// receivedCount returns the number of attempts whose end has been received.
func (x *exchange) receivedCount() int {
	n := 0
	for _, a := range x.attempts {
		if a.isReceived {
			n++
		}
	}
	return n
}

// discard cancels the attempt and closes its response.
func (a *attempt) discard() {
	a.cancel()
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
}
