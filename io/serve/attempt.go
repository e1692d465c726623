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
type attemptResult struct {
	response *link.Response
	// notRun tells that the request was certainly not run.
	notRun bool
	// bad tells that the answer can't be passed on as a success.
	invalid bool
	summary attemptSummary
	// rest is the part of a long answer that is still to come, or nil.
	stream *responseStream
	// reached tells that the request may have reached the upstream.
	sent bool
	err  error
}

// attempt sends the request to an upstream and tells the decisions how it ended.
func (x *exchange) attempt(ctx context.Context, p *placement) attemptResult {
	begun := time.Now()
	answer, sent, err := p.conn.RoundTrip(ctx, x.upstreamRequest())
	took := time.Since(begun)
	r := x.classify(answer, sent, err)
	x.recordLoad(p, r)
	if r.response != nil && r.response.Stream != nil {
		r.summary = x.summarize(p, "answered", took)
		r.stream = &responseStream{BodyStream: r.response.Stream, x: x, p: p, duration: took}
		return r
	}
	r.summary = x.finishAttempt(ctx, p, r, took)
	x.f.cfg.Pool.Put(p.conn)
	return r
}

func (x *exchange) upstreamRequest() *link.Request {
	d := x.f.cfg.Headers
	return &link.Request{
		ID:       x.id,
		Method:   x.req.Method,
		Target:   x.req.Target,
		Host:     x.req.Host,
		Header:   endToEndHeaders(x.req.Header, "Expect", "Host", d.RequestID, d.Deadline, d.ExpectedInstance),
		Body:     x.req.Body,
		HasBody:  x.req.HasBody || x.req.Method == http.MethodPost || x.req.Method == http.MethodPut,
		TimeLeft: time.Until(x.deadline),
	}
}

func (x *exchange) classify(answer *link.Response, sent link.Sent, err error) attemptResult {
	if err != nil {
		return attemptResult{err: err, notRun: !sent.Written, sent: sent.Written}
	}
	return attemptResult{response: answer, sent: true, notRun: answer.NotRun, invalid: answer.IsInvalid()}
}

// readLoad takes what the answer tells of the upstream's load.
func (x *exchange) recordLoad(p *placement, r attemptResult) {
	if r.response == nil || !r.response.HasLoad {
		return
	}
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.f.fleet.RecordLoad(time.Now(), p.ID, r.response.Reading)
}

// learn tells the decisions how the attempt ended.
func (x *exchange) finishAttempt(ctx context.Context, p *placement, r attemptResult, took time.Duration) attemptSummary {
	end, name := x.attemptStatus(ctx, r, p, took)
	story := x.summarize(p, name, took)
	x.f.endAttempt(p, x.pickReq, took, end)
	if r.err != nil && r.sent && ctx.Err() == nil {
		x.f.cfg.Pool.CloseIdle(p.ID)
		x.f.cfg.Log.Log(event.UpstreamLost, "service", x.pickReq.Service, "upstream", p.ID, "requestId", x.id, "err", r.err)
		go x.f.checkCrash(p.Registration, x.fingerprint, x.match.Service.HealthPath)
	}
	return story
}

// silentFactor is the multiple of the expected time of work after which an
// upstream without an answer counts as failed.
const unresponsiveFactor = 4

func (x *exchange) attemptStatus(ctx context.Context, r attemptResult, p *placement, took time.Duration) (pick.AttemptStatus, string) {
	switch {
	case r.err != nil && ctx.Err() != nil && took < unresponsiveFactor*p.ServiceTime:
		return pick.AttemptCanceled, "cancelled"
	case r.err != nil && ctx.Err() != nil:
		return pick.AttemptFailed, "silent"
	case r.err != nil && r.notRun:
		return pick.AttemptConnectFailed, "unreached"
	case r.err != nil:
		return pick.AttemptFailed, "lost"
	case r.response.Status == http.StatusMisdirectedRequest && r.notRun:
		return pick.AttemptConnectFailed, "otherInstance"
	case r.notRun:
		return pick.AttemptRefused, "refused"
	case r.invalid:
		return pick.AttemptFailed, "bad"
	case r.response.IsServerError():
		return pick.AttemptFailed, "failed"
	}
	return pick.AttemptSucceeded, "answered"
}

// settle returns the request's answer, or nil when another attempt is to be
// made.
func (x *exchange) responseOrRetry(ctx context.Context, r attemptResult) *front.Response {
	whole := r.err == nil && !r.notRun && !r.invalid
	if r.isSuccess() || (whole && !x.pickReq.Idempotent) {
		return x.callerResponse(r)
	}
	x.keepFallback(r)
	if ctx.Err() == nil && x.canRetry(r) {
		x.pickReq.Tried = x.triedIDs()
		return nil
	}
	return x.fail(ctx, x.errorKindFor(r))
}

// mayTryAgain reports whether another attempt is allowed. An attempt that never
// reached an upstream costs no budget.
func (x *exchange) canRetry(r attemptResult) bool {
	if x.attemptCount >= maxAttempts || (x.mayHaveRun && !x.pickReq.Idempotent) {
		return false
	}
	if x.sentAttempts >= max(1, x.match.MaxAttempts) {
		return false
	}
	return !r.sent || x.f.withdrawRetry(x.pickReq.Service)
}

func (x *exchange) triedIDs() []string {
	out := make([]string, 0, len(x.summaries))
	for _, s := range x.summaries {
		out = append(out, s.upstream)
	}
	return out
}

func (x *exchange) errorKindFor(r attemptResult) magnolialedge.ErrorKind {
	switch {
	case r.invalid:
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
const crashCheckDelay = 30 * time.Millisecond

// suspect counts a request as one that crashes upstreams if the upstream that
// lost it can't be reached any more.
func (f *Forwarder) checkCrash(r magnolialedge.Registration, print uint64, health string) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := f.openConn(ctx, r)
	if err == nil {
		err = f.checkHealth(ctx, c, health)
		f.cfg.Pool.Put(c)
	}
	if err == nil || errors.Is(err, link.ErrWrongInstance) {
		return
	}
	f.markUnreachable(r, err)
	f.mu.Lock()
	losses := f.quarantine.RecordLoss(time.Now(), print)
	f.mu.Unlock()
	f.cfg.Log.Log(event.UpstreamCrashed, "upstream", r.ID, "fingerprint", print, "losses", losses)
	f.cfg.ReportCrash(print, losses)
}
