package call

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"magnolialedge"
	"magnolialedge/core/call"
	"magnolialedge/io/event"
	"magnolialedge/io/proc"
)

// exchange carries one request to upstreams and one answer back.
type exchange struct {
	server      *Server
	svc         *proc.Service
	service     string
	id          string
	method      string
	host        string
	url         *url.URL
	header      http.Header
	body        *body
	class       call.Class
	fingerprint uint64
	deadline    time.Time
	// base is cancelled when no attempt is wanted any more.
	base context.Context
	// caller is done when the caller has gone.
	caller context.Context
	// w is nil when interim answers have nowhere to go.
	w         http.ResponseWriter
	interimMu sync.Mutex
	headSent  bool

	plan     *call.Plan
	tried    []string
	attempts []*attempt
	ended    chan *attempt
	// spare is an answer that is relayed when no better one comes.
	spare *attempt
}

// mostEnds is the room for ends of attempts that nobody waits for any more.
const mostEnds = 8

// final is how an exchange ended: with an upstream's answer or with a refusal.
type final struct {
	attempt *attempt
	refusal refusal
}

// run makes attempts until there is an answer. The caller of run must call
// cancelRest once the answer has been relayed.
func (x *exchange) run() final {
	defer x.endInterim()
	x.plan = call.NewPlan(call.PlanConfig{
		Class:          x.class,
		Deadline:       x.deadline,
		BodyReplayable: x.body.replayable(),
		Budgets:        x.svc,
	})
	x.ended = make(chan *attempt, mostEnds)
	timers := x.newTimers()
	defer timers.stop()
	action := x.plan.Begin(time.Now())
	var last *attempt
	for {
		switch action.Step {
		case call.StepSend:
			if !x.send() {
				action = x.plan.AttemptEnded(time.Now(), call.Result{Outcome: magnolialedge.OutcomeNotRun, NoUpstream: true})
				continue
			}
			timers.arm()
		case call.StepRelay:
			return final{attempt: last}
		case call.StepGiveUp:
			if x.spare != nil {
				return final{attempt: x.spare}
			}
			return final{refusal: x.giveUp(action)}
		}
		last, action = x.next(timers)
	}
}

// endInterim keeps later 1xx answers from the caller, because the final answer
// follows.
func (x *exchange) endInterim() {
	x.interimMu.Lock()
	defer x.interimMu.Unlock()
	x.headSent = true
}

// next waits for the next event and returns what follows from it.
func (x *exchange) next(t *timers) (*attempt, call.Action) {
	select {
	case a := <-x.ended:
		a.seen = true
		t.settleHedge(a)
		if a.result.UpstreamLost {
			a.lost()
		}
		action := x.plan.AttemptEnded(time.Now(), a.result)
		if action.Step != call.StepRelay {
			x.putAside(a)
		}
		return a, action
	case <-t.hedge.C:
		t.hedgeDue()
		return nil, x.hedge(x.plan.HedgeDue(time.Now()))
	case <-t.stall.C:
		x.stalled()
		return nil, x.hedge(x.plan.StallDue(time.Now()))
	case <-t.deadline.C:
		return nil, x.plan.DeadlineExpired()
	case <-x.caller.Done():
		return nil, x.plan.DeadlineExpired()
	}
}

// putAside keeps the answer of an upstream that ran the request, for the case
// that no better one comes, and drops any other.
func (x *exchange) putAside(a *attempt) {
	if a.resp == nil || !a.whole || a.result.Outcome != magnolialedge.OutcomeRan {
		a.discard()
		return
	}
	x.spare = a
}

// send starts an attempt, after a wait for room if there is none.
func (x *exchange) send() bool {
	req := magnolialedge.PickRequest{
		Exclude:        x.tried,
		AllowProbation: x.class == call.Idempotent && x.body.replayable(),
		BodyBytes:      max(0, x.body.length),
	}
	pick, ok := x.svc.Acquire(x.caller, req, x.deadline)
	if !ok {
		return false
	}
	x.launch(pick.Address, false)
	return true
}

// hedge starts a second attempt if the plan wants one and an upstream has a
// free slot.
func (x *exchange) hedge(action call.Action) call.Action {
	if action.Step != call.StepSend {
		return action
	}
	pick, ok := x.svc.TryAcquire(magnolialedge.PickRequest{Exclude: x.tried, IdleOnly: true})
	if !ok {
		x.plan.CancelHedge()
		return call.Action{Step: call.StepWait}
	}
	x.server.cfg.Metrics.Hedges.WithLabelValues(x.service).Inc()
	x.launch(pick.Address, true)
	return call.Action{Step: call.StepWait}
}

// stalled closes the unused connections to an upstream that gave no sign of
// life, because they may have gone silent too.
func (x *exchange) stalled() {
	for _, a := range x.attempts {
		if a.use.HasReceived() {
			continue
		}
		x.server.cfg.Pool.CloseIdle(a.address)
		x.server.cfg.Log.Log(event.ConnectionStalled, "service", x.service, "upstream", a.address, "requestId", x.id)
		x.server.cfg.Metrics.Stalls.WithLabelValues(x.service).Inc()
	}
}

func (x *exchange) giveUp(action call.Action) refusal {
	if action.Quarantine {
		x.server.cfg.Log.Log(event.Quarantined, "service", x.service, "requestId", x.id, "method", x.method)
	}
	return newRefusal(action.Kind, action.Outcome, detailOf(action.Kind))
}

func detailOf(kind magnolialedge.ErrorKind) string {
	switch kind {
	case magnolialedge.KindOverloaded:
		return "no upstream has room for the request before its deadline"
	case magnolialedge.KindNoUpstream:
		return "no upstream could be reached"
	case magnolialedge.KindDeadlineExceeded:
		return "the deadline passed without an answer"
	case magnolialedge.KindUpstreamLost:
		return "the connection to the upstream broke before its answer"
	case magnolialedge.KindQuarantined:
		return "the request lost two upstreams"
	}
	return ""
}

// cancelRest ends every attempt but keep.
func (x *exchange) cancelRest(keep *attempt) {
	for _, a := range x.attempts {
		if a != keep {
			a.cancel()
		}
	}
	if left := len(x.attempts) - x.taken(); left > 0 {
		go x.drainEnds(left)
	}
}

// drainEnds discards the answers of attempts that nobody waits for.
func (x *exchange) drainEnds(left int) {
	for ; left > 0; left-- {
		a := <-x.ended
		a.discard()
	}
}

// taken returns the number of attempts whose end has been received.
func (x *exchange) taken() int {
	n := 0
	for _, a := range x.attempts {
		if a.seen {
			n++
		}
	}
	return n
}

func (a *attempt) discard() {
	a.cancel()
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
}
