package call

import (
	"cmp"
	"time"

	"magnolialedge"
)

const (
	// maxAttempts bounds the attempts of one request, hedges included.
	maxAttempts = 4
	// maxUpstreamsLost is the number of upstreams that one request may lose. After
	// it the request is quarantined.
	maxUpstreamsLost = 2
)

// Budgets are the process's limits on extra attempts that a Plan asks.
type Budgets interface {
	// SpendRetry takes one retry from the budget of the service.
	SpendRetry() bool
	// SpendHedge takes one hedge from the budget of the service.
	SpendHedge() bool
}

// Result tells how one attempt ended.
type Result struct {
	Outcome magnolialedge.Outcome
	// Status is the upstream's status, or 0 when there was no answer.
	Status int
	// UpstreamLost tells that the connection broke after the request was written, as
	// it does when the upstream crashes.
	UpstreamLost bool
	// Quarantined tells that the request is refused from now on, because of
	// what this entry and its peers saw.
	Quarantined bool
	// NoUpstream tells that no upstream had room.
	NoUpstream bool
	// BodyConsumed tells that a body that can't be sent again has been read.
	BodyConsumed bool
}

// Step is what is to be done next.
type Step int

const (
	// StepWait waits for the attempts in flight.
	StepWait Step = iota
	// StepSend sends an attempt to an upstream not tried before.
	StepSend
	// StepRelay relays the answer of the attempt that just ended.
	StepRelay
	// StepGiveUp answers with the kind of the action.
	StepGiveUp
)

// Action is a decision of a Plan.
type Action struct {
	Step Step
	// Kind and Outcome belong to StepGiveUp.
	Kind    magnolialedge.ErrorKind
	Outcome magnolialedge.Outcome
	// Quarantine tells that the request is to be refused for a while.
	Quarantine bool
}

// PlanConfig constructs a Plan.
type PlanConfig struct {
	Class    Class
	Deadline time.Time
	// BodyReplayable tells that the body can be sent more than once.
	BodyReplayable bool
	Budgets        Budgets
}

// Plan decides on the attempts of one request. It isn't safe for concurrent use.
type Plan struct {
	cfg           PlanConfig
	attempts      int
	inFlight      int
	upstreamsLost int
	mayHaveRun    bool
	done          bool
	// lastKind is the kind of the last failure, or empty before the first.
	lastKind magnolialedge.ErrorKind
}

// NewPlan returns a Plan for one request.
func NewPlan(cfg PlanConfig) *Plan {
	return &Plan{cfg: cfg}
}

// Begin returns the first action.
func (p *Plan) Begin(now time.Time) Action {
	if !now.Before(p.cfg.Deadline) {
		return p.giveUp(magnolialedge.KindDeadlineExceeded)
	}
	return p.send()
}

// HedgeDue decides whether a second attempt is sent beside the first.
func (p *Plan) HedgeDue(now time.Time) Action {
	if !p.canSendConcurrent(now) || !p.cfg.Budgets.SpendHedge() {
		return Action{Step: StepWait}
	}
	return p.send()
}

// StallDue decides whether a second attempt is sent because the first gives no
// sign of life. It draws on the retry budget.
func (p *Plan) StallDue(now time.Time) Action {
	if !p.canSendConcurrent(now) || !p.cfg.Budgets.SpendRetry() {
		return Action{Step: StepWait}
	}
	return p.send()
}

// canSendConcurrent reports whether an attempt may be sent beside one in flight.
func (p *Plan) canSendConcurrent(now time.Time) bool {
	if p.done || p.cfg.Class != Idempotent || !p.cfg.BodyReplayable || p.upstreamsLost > 0 {
		return false
	}
	return p.inFlight >= 1 && p.attempts < maxAttempts && now.Before(p.cfg.Deadline)
}

// CancelHedge takes back a hedge for which no upstream had a free slot.
func (p *Plan) CancelHedge() {
	p.inFlight--
	p.attempts--
}

// DeadlineExpired ends the request because its deadline has passed.
func (p *Plan) DeadlineExpired() Action {
	if p.done {
		return Action{Step: StepWait}
	}
	p.mayHaveRun = p.mayHaveRun || p.inFlight > 0
	return p.giveUp(magnolialedge.KindDeadlineExceeded)
}

// AttemptEnded takes the result of one attempt and decides what follows.
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

// canRetryResponse reports whether another upstream may answer better.
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

func (p *Plan) canRetry(r Result) bool {
	if p.attempts >= maxAttempts {
		return false
	}
	if r.Outcome == magnolialedge.OutcomeNotRun {
		return p.cfg.BodyReplayable || !r.BodyConsumed
	}
	return p.cfg.Class == Idempotent && p.cfg.BodyReplayable
}

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

func (p *Plan) giveUp(kind magnolialedge.ErrorKind) Action {
	p.done = true
	outcome := magnolialedge.OutcomeNotRun
	if p.mayHaveRun {
		outcome = magnolialedge.OutcomeUnknown
	}
	return Action{Step: StepGiveUp, Kind: kind, Outcome: outcome}
}
