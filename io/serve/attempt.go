package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/pick"
	"magnolialedge/io/event"
	"magnolialedge/io/front"
	"magnolialedge/io/link"
)

// result is how one attempt ended.
type result struct {
	answer *link.Response
	// notRun tells that the request was certainly not run.
	notRun bool
	// bad tells that the answer can't be passed on as a success.
	bad   bool
	story attemptStory
	// rest is the part of a long answer that is still to come, or nil.
	rest *rest
	// reached tells that the request may have reached the upstream.
	reached bool
	err     error
}

// attempt sends the request to an upstream and tells the decisions how it ended.
func (x *exchange) attempt(ctx context.Context, p *placement) result {
	begun := time.Now()
	answer, sent, err := p.conn.RoundTrip(ctx, x.request())
	took := time.Since(begun)
	r := x.judge(answer, sent, err)
	x.readLoad(p, r)
	if r.answer != nil && r.answer.Stream != nil {
		r.story = x.tell(p, "answered", took)
		r.rest = &rest{BodyStream: r.answer.Stream, x: x, p: p, took: took}
		return r
	}
	r.story = x.learn(ctx, p, r, took)
	x.f.cfg.Pool.Put(p.conn)
	return r
}

func (x *exchange) request() *link.Request {
	d := x.f.cfg.Dialect
	return &link.Request{
		ID:       x.id,
		Method:   x.req.Method,
		Target:   x.req.Target,
		Host:     x.req.Host,
		Header:   endToEnd(x.req.Header, "Expect", "Host", d.RequestID, d.Deadline, d.ExpectedInstance),
		Body:     x.req.Body,
		HasBody:  x.req.HasBody || x.req.Method == http.MethodPost || x.req.Method == http.MethodPut,
		TimeLeft: time.Until(x.deadline),
	}
}

func (x *exchange) judge(answer *link.Response, sent link.Sent, err error) result {
	if err != nil {
		return result{err: err, notRun: !sent.Written, reached: sent.Written}
	}
	return result{answer: answer, reached: true, notRun: answer.NotRun, bad: answer.IsInvalid()}
}

// readLoad takes what the answer tells of the upstream's load.
func (x *exchange) readLoad(p *placement, r result) {
	if r.answer == nil || !r.answer.HasLoad {
		return
	}
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.f.fleet.RecordLoad(time.Now(), p.ID, r.answer.Reading)
}

// learn tells the decisions how the attempt ended.
func (x *exchange) learn(ctx context.Context, p *placement, r result, took time.Duration) attemptStory {
	end, name := x.ending(ctx, r, p, took)
	story := x.tell(p, name, took)
	x.f.end(p, x.need, took, end)
	if r.err != nil && r.reached && ctx.Err() == nil {
		x.f.cfg.Pool.CloseIdle(p.ID)
		x.f.cfg.Log.Log(event.UpstreamLost, "service", x.need.Service, "upstream", p.ID, "requestId", x.id, "err", r.err)
		go x.f.suspect(p.Registration, x.print, x.match.Service.HealthPath)
	}
	return story
}

// silentFactor is the multiple of the expected time of work after which an
// upstream without an answer counts as failed.
const silentFactor = 4

func (x *exchange) ending(ctx context.Context, r result, p *placement, took time.Duration) (pick.AttemptStatus, string) {
	switch {
	case r.err != nil && ctx.Err() != nil && took < silentFactor*p.ServiceTime:
		return pick.AttemptCanceled, "cancelled"
	case r.err != nil && ctx.Err() != nil:
		return pick.AttemptFailed, "silent"
	case r.err != nil && r.notRun:
		return pick.AttemptConnectFailed, "unreached"
	case r.err != nil:
		return pick.AttemptFailed, "lost"
	case r.answer.Status == http.StatusMisdirectedRequest && r.notRun:
		return pick.AttemptConnectFailed, "otherInstance"
	case r.notRun:
		return pick.AttemptRefused, "refused"
	case r.bad:
		return pick.AttemptFailed, "bad"
	case r.answer.IsServerError():
		return pick.AttemptFailed, "failed"
	}
	return pick.AttemptSucceeded, "answered"
}

// settle returns the request's answer, or nil when another attempt is to be
// made.
func (x *exchange) settle(ctx context.Context, r result) *front.Response {
	whole := r.err == nil && !r.notRun && !r.bad
	if r.isGood() || (whole && !x.need.Idempotent) {
		return x.pass(r)
	}
	x.setAside(r)
	if ctx.Err() == nil && x.mayTryAgain(r) {
		x.need.Tried = x.triedIDs()
		return nil
	}
	return x.giveUp(ctx, x.kindOf(r))
}

// mayTryAgain reports whether another attempt is allowed. An attempt that never
// reached an upstream costs no budget.
func (x *exchange) mayTryAgain(r result) bool {
	if x.tries >= mostTries || (x.unsure && !x.need.Idempotent) {
		return false
	}
	if x.reached >= max(1, x.match.MaxAttempts) {
		return false
	}
	return !r.reached || x.f.spendRetry(x.need.Service)
}

func (x *exchange) triedIDs() []string {
	out := make([]string, 0, len(x.story))
	for _, s := range x.story {
		out = append(out, s.upstream)
	}
	return out
}

func (x *exchange) kindOf(r result) magnolialedge.ErrorKind {
	switch {
	case r.bad:
		return magnolialedge.KindBadAnswer
	case r.notRun && r.err != nil:
		return magnolialedge.KindNoUpstream
	case r.notRun:
		return magnolialedge.KindOverloaded
	}
	return magnolialedge.KindUpstreamLost
}

// suspectDelay is how long after a lost connection the upstream is asked
// whether it still lives.
const suspectDelay = 30 * time.Millisecond

// suspect counts a request as one that crashes upstreams if the upstream that
// lost it can't be reached any more.
func (f *Forwarder) suspect(r magnolialedge.Registration, print uint64, health string) {
	time.Sleep(suspectDelay)
	ctx, cancel := context.WithTimeout(context.Background(), readingTimeout)
	defer cancel()
	c, err := f.open(ctx, r)
	if err == nil {
		err = f.reading(ctx, c, health)
		f.cfg.Pool.Put(c)
	}
	if err == nil || errors.Is(err, link.ErrWrongInstance) {
		return
	}
	f.unreachable(r, err)
	f.mu.Lock()
	losses := f.quarantine.RecordLoss(time.Now(), print)
	f.mu.Unlock()
	f.cfg.Log.Log(event.UpstreamCrashed, "upstream", r.ID, "fingerprint", print, "losses", losses)
	f.cfg.ReportCrash(print, losses)
}
