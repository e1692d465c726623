package call

import (
	"cmp"
	"time"

	"magnolialedge"
)

const (
	// maxAttempts limits the attempts of one request, including hedges.
	maxAttempts = 4
	// maxUpstreamsLost limits the number of upstreams that are lost while
	// they execute the same request. A request that reaches the limit is
	// quarantined.
	maxUpstreamsLost = 2
)

// Budgets limits the retries and hedges of a service across all its requests in
// the process.
type Budgets interface {
	// SpendRetry consumes one retry and reports whether the budget allowed
	// it.
	SpendRetry() bool
	// SpendHedge consumes one hedge and reports whether the budget allowed
	// it.
	SpendHedge() bool
}

// Result describes how one attempt ended.
type Result struct {
	Outcome magnolialedge.Outcome
	// Status is the HTTP status code of the upstream, or 0 without a
	// response.
	Status int
	// UpstreamLost reports that the connection broke after the request was
	// written, as it does when the upstream crashes.
	UpstreamLost bool
	// Quarantined reports that the request is refused from now on, because
	// this entry and its peers have lost too many upstreams to it.
	Quarantined bool
	// NoUpstream reports that no upstream was available for the attempt.
	NoUpstream bool
	// Leaving reports that the attempt was not sent, because this entry stops and the
	// request may last longer.
	Leaving bool
	// BodyConsumed reports that a non-replayable body has been read.
	BodyConsumed bool
}

// Step is the next operation of a request.
type Step int

const (
	// StepWait waits for the attempts in flight.
	StepWait Step = iota
	// StepSend sends an attempt to an upstream that this request has not
	// tried.
	StepSend
	// StepRelay returns the response of the attempt that just ended to the
	// caller.
	StepRelay
	// StepGiveUp fails the request with the error kind of the action.
	StepGiveUp
)

// Action is a decision of a Plan.
type Action struct {
	Step Step
	// Kind and Outcome are set for StepGiveUp only.
	Kind    magnolialedge.ErrorKind
	Outcome magnolialedge.Outcome
	// Quarantine requests that the fingerprint of the request be refused
	// for a while.
	Quarantine bool
}

// PlanConfig configures a Plan.
type PlanConfig struct {
	Class    Class
	Deadline time.Time
	// BodyReplayable reports that the body can be sent more than once.
	BodyReplayable bool
	Budgets        Budgets
}

// Plan decides when one request is sent, retried, hedged or failed. It is not
// safe for concurrent use.
type Plan struct {
	cfg           PlanConfig
	attempts      int
	inFlight      int
	upstreamsLost int
	mayHaveRun    bool
	done          bool
	// lastKind is the kind of the last failed attempt, or empty before the
	// first.
	lastKind magnolialedge.ErrorKind
}

// NewPlan returns a Plan for one request.
func NewPlan(cfg PlanConfig) *Plan {
	return &Plan{cfg: cfg}
}

// Begin returns the first action: StepSend, or StepGiveUp if the deadline has
// passed.
func (p *Plan) Begin(now time.Time) Action {
	if !now.Before(p.cfg.Deadline) {
		return p.giveUp(magnolialedge.KindDeadlineExceeded)
	}
	return p.send()
}

// HedgeDue returns the action after the hedge delay: StepSend if the request
// may be hedged and the hedge budget allows it, or else StepWait.
func (p *Plan) HedgeDue(now time.Time) Action {
	if !p.canSendConcurrent(now) || !p.cfg.Budgets.SpendHedge() {
		return Action{Step: StepWait}
	}
	return p.send()
}

// StallDue returns the action when an attempt has exceeded the stall timeout:
// StepSend if a concurrent attempt is allowed, or else StepWait. The new
// attempt is charged to the retry budget.
func (p *Plan) StallDue(now time.Time) Action {
	if !p.canSendConcurrent(now) || !p.cfg.Budgets.SpendRetry() {
		return Action{Step: StepWait}
	}
	return p.send()
}

// canSendConcurrent reports whether another attempt may be sent while one is in
// flight.
func (p *Plan) canSendConcurrent(now time.Time) bool {
	if p.done || p.cfg.Class != Idempotent || !p.cfg.BodyReplayable || p.upstreamsLost > 0 {
		return false
	}
	return p.inFlight >= 1 && p.attempts < maxAttempts && now.Before(p.cfg.Deadline)
}

// CancelHedge discards a hedge that was not sent because no upstream had a free
// slot.
func (p *Plan) CancelHedge() {
	p.inFlight--
	p.attempts--
}

// DeadlineExpired returns the action when the deadline passes: StepGiveUp, or
// StepWait if the request has already ended.
func (p *Plan) DeadlineExpired() Action {
	if p.done {
		return Action{Step: StepWait}
	}
	p.mayHaveRun = p.mayHaveRun || p.inFlight > 0
	return p.giveUp(magnolialedge.KindDeadlineExceeded)
}

// AttemptEnded records the result of one attempt and returns the next action.
func (p *Plan) AttemptEnded(now time.Time, r Result) Action {
	p.inFlight--
	if p.done {
		return Action{Step: StepWait}
	}
	if r.UpstreamLost {
		p.upstreamsLost++
	}
	if r.Outcome != magnolialedge.OutcomeNotRun {
		p.mayHaveRun = true
	}
	if r.Status != 0 && !p.canRetryResponse(r) {
		p.done = true
		return Action{Step: StepRelay}
	}
	return p.afterFailure(now, r)
}

// canRetryResponse reports whether the response of r is an error that a retry
// on another upstream could avoid.
func (p *Plan) canRetryResponse(r Result) bool {
	if r.Outcome == magnolialedge.OutcomeNotRun {
		return p.cfg.BodyReplayable || !r.BodyConsumed
	}
	if p.cfg.Class != Idempotent || !p.cfg.BodyReplayable {
		return false
	}
	switch r.Status {
	case 500, 502, 503, 504:
		return true
	}
	return false
}

// afterFailure returns the action after an attempt that gave no response to
// relay.
func (p *Plan) afterFailure(now time.Time, r Result) Action {
	if p.inFlight > 0 {
		return Action{Step: StepWait}
	}
	if p.upstreamsLost >= maxUpstreamsLost || r.Quarantined {
		a := p.giveUp(magnolialedge.KindQuarantined)
		a.Quarantine = true
		return a
	}
	if !now.Before(p.cfg.Deadline) {
		return p.giveUp(magnolialedge.KindDeadlineExceeded)
	}
	if r.Leaving {
		return p.giveUpLeaving()
	}
	if r.NoUpstream {
		return p.giveUp(cmp.Or(p.lastKind, magnolialedge.KindOverloaded))
	}
	p.lastKind = kindOfFailure(r)
	if p.canRetry(r) && p.cfg.Budgets.SpendRetry() {
		return p.send()
	}
	if r.Status != 0 && r.Outcome != magnolialedge.OutcomeNotRun {
		p.done = true
		return Action{Step: StepRelay}
	}
	return p.giveUp(p.lastKind)
}

// canRetry reports whether the limit on attempts, the class and the body of the
// request allow another attempt after r.
func (p *Plan) canRetry(r Result) bool {
	if p.attempts >= maxAttempts {
		return false
	}
	if r.Outcome == magnolialedge.OutcomeNotRun {
		return p.cfg.BodyReplayable || !r.BodyConsumed
	}
	return p.cfg.Class == Idempotent && p.cfg.BodyReplayable
}

// kindOfFailure returns the error kind for a request whose last attempt ended
// with r.
func kindOfFailure(r Result) magnolialedge.ErrorKind {
	if r.Outcome == magnolialedge.OutcomeNotRun && r.Status != 0 {
		return magnolialedge.KindOverloaded
	}
	if r.Outcome == magnolialedge.OutcomeNotRun {
		return magnolialedge.KindNoUpstream
	}
	return magnolialedge.KindUpstreamLost
}

func (p *Plan) send() Action {
	p.attempts++
	p.inFlight++
	return Action{Step: StepSend}
}

// giveUpLeaving ends a request that may not be sent again because this entry stops.
func (p *Plan) giveUpLeaving() Action {
	if p.mayHaveRun {
		return p.giveUp(magnolialedge.KindUpstreamLost)
	}
	return p.giveUp(magnolialedge.KindLeaving)
}

// giveUp ends the request with an error of kind. Its outcome is unknown once an
// attempt may have been executed.
func (p *Plan) giveUp(kind magnolialedge.ErrorKind) Action {
	p.done = true
	outcome := magnolialedge.OutcomeNotRun
	if p.mayHaveRun {
		outcome = magnolialedge.OutcomeUnknown
	}
	return Action{Step: StepGiveUp, Kind: kind, Outcome: outcome}
}
