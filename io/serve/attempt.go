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

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	response *link.Response
	// notRun is set if the request was certainly not run.
	notRun bool
	// invalid is set if the response cannot be passed on as a success.
	invalid bool
	summary attemptSummary
	// stream is the unread remainder of a long response, or nil.
	stream *responseStream
	// declined is the reason for which another entry did not take the request, or empty.
	declined magnolialedge.ErrorKind
	// passedBack is set if another entry declined the request or could not be reached.
	passedBack bool
	// sent is set if the request may have reached the upstream.
	sent bool
	err  error
}

// attempt sends the request to an upstream and records the result. For a streamed
// response, the result is recorded when the stream ends.
func (x *exchange) attempt(ctx context.Context, p *placement) attemptResult {
	switch {
	case x.currentIdentity().fault != "":
		return x.abandonAttempt(p, errUnauthorized, "unauthorized")
	case !x.maySend():
		return x.abandonAttempt(p, errLeaving, "leaving")
	}
	start := time.Now()
	resp, sent, err := p.conn.RoundTrip(ctx, x.upstreamRequest())
	elapsed := time.Since(start)
	r := x.classify(resp, sent, err)
	x.recordReport(p, start, r)
	if r.response != nil && r.response.Stream != nil {
		completed, label := x.attemptStatus(ctx, r, p, elapsed)
		r.summary = x.summarize(p, label, elapsed)
		r.stream = &responseStream{BodyStream: r.response.Stream, x: x, upstreamID: p.ID, release: func(status pick.AttemptStatus) {
			if status == pick.AttemptSucceeded {
				status = completed
			}
			x.f.endAttempt(p, x.pickReq, elapsed, status)
			x.f.cfg.Pool.Put(p.conn)
		}}
		return r
	}
	r.summary = x.finishAttempt(ctx, p, r, elapsed)
	x.f.cfg.Pool.Put(p.conn)
	return r
}

// abandonAttempt ends an attempt before the request is sent.
func (x *exchange) abandonAttempt(p *placement, err error, label string) attemptResult {
	x.f.endAttempt(p, x.pickReq, 0, pick.AttemptCanceled)
	x.f.cfg.Pool.Put(p.conn)
	return attemptResult{err: err, notRun: true, summary: x.summarize(p, label, 0)}
}

// upstreamRequest returns the request as it is sent to an upstream.
func (x *exchange) upstreamRequest() *link.Request {
	req := x.forwardedRequest()
	if name := x.identity.accountName(); name != "" {
		req.Header.Set(x.f.cfg.Headers.Account, name)
	}
	return req
}

// forwardedRequest returns the request without the headers that concern only this entry.
func (x *exchange) forwardedRequest() *link.Request {
	headers := x.f.cfg.Headers
	req := &link.Request{
		ID:       x.id,
		Method:   x.req.Method,
		Target:   x.req.Target,
		Host:     x.req.Host,
		Header:   endToEndHeaders(x.req.Header, "Expect", "Host", headers.RequestID, headers.Deadline, headers.ExpectedInstance, handoverHeader, declinedHeader),
		Body:     x.req.Body,
		HasBody:  x.req.HasBody || x.req.Method == http.MethodPost || x.req.Method == http.MethodPut,
		TimeLeft: time.Until(x.deadline),
		Memory:   x.memory,
	}
	if x.identity.hasAccounts {
		x.removeAccountHeaders(req.Header)
	}
	return req
}

func (x *exchange) classify(resp *link.Response, sent link.Sent, err error) attemptResult {
	if err != nil {
		return attemptResult{err: err, notRun: !sent.Written, sent: sent.Written}
	}
	return attemptResult{response: resp, sent: true, notRun: resp.NotRun, invalid: resp.IsInvalid()}
}

// recordReport records what the response to a request sent at sentAt reports.
func (x *exchange) recordReport(p *placement, sentAt time.Time, r attemptResult) {
	if r.response == nil {
		return
	}
	x.f.recordReport(p.Registration, sentAt, x.id, r.response.Report)
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.f.recordContact(time.Now(), p.conn)
	if r.isSuccess() {
		x.f.quarantine.RecordSuccess(time.Now(), x.fingerprint)
	}
	if r.response.HasLoad {
		x.f.fleet.RecordLoad(time.Now(), p.ID, r.response.Reading)
	}
}

// finishAttempt records the end of an attempt. If the connection was lost after
// the request was sent, it also checks whether the upstream has crashed.
func (x *exchange) finishAttempt(ctx context.Context, p *placement, r attemptResult, elapsed time.Duration) attemptSummary {
	status, label := x.attemptStatus(ctx, r, p, elapsed)
	summary := x.summarize(p, label, elapsed)
	x.f.endAttempt(p, x.pickReq, elapsed, status)
	if r.err != nil && r.sent && ctx.Err() == nil {
		x.f.cfg.Pool.CloseIdle(p.ID)
		x.f.cfg.Log.Log(event.UpstreamLost, "service", x.pickReq.Service, "upstream", p.ID, "requestId", x.id, "err", r.err)
		go x.f.checkCrash(p.Registration, x.fingerprint, x.match.Service.HealthPath)
	}
	return summary
}

// unresponsiveFactor is the multiple of the expected service time after which an
// upstream that has not responded counts as failed.
const unresponsiveFactor = 4

// attemptStatus returns how the attempt ended, and the label for that end in logs
// and metrics.
func (x *exchange) attemptStatus(ctx context.Context, r attemptResult, p *placement, elapsed time.Duration) (pick.AttemptStatus, string) {
	switch {
	case r.err != nil && ctx.Err() != nil && elapsed < unresponsiveFactor*p.ServiceTime:
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

// responseOrRetry returns the response for the caller, or nil if another attempt
// should be made. A server error that is too long to be held is passed on only if none is, and
// broken off otherwise.
func (x *exchange) responseOrRetry(ctx context.Context, r attemptResult) *front.Response {
	complete := r.err == nil && !r.notRun && !r.invalid
	if r.isSuccess() || (complete && !x.pickReq.Idempotent) {
		return x.callerResponse(r)
	}
	canRetry := ctx.Err() == nil && x.canRetry(r)
	if r.stream != nil && !canRetry {
		return x.callerResponse(r)
	}
	x.keepOrDiscard(r)
	if canRetry {
		x.pickReq.Tried = x.triedIDs()
		return nil
	}
	return x.fail(ctx, x.errorKindFor(r))
}

// canRetry reports whether another attempt is allowed. A retry after an attempt
// that never reached an upstream does not draw on the retry budget.
func (x *exchange) canRetry(r attemptResult) bool {
	if x.attemptCount >= maxAttempts || (x.mayHaveRun && !x.pickReq.Idempotent) {
		return false
	}
	if x.sentAttempts >= max(1, x.match.MaxAttempts) {
		return false
	}
	return !r.sent || x.f.withdrawRetry(x.pickReq)
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
	case errors.Is(r.err, errUnauthorized):
		return magnolialedge.KindUnauthorized
	case errors.Is(r.err, errLeaving):
		return magnolialedge.KindLeaving
	case r.invalid:
		return magnolialedge.KindBadAnswer
	case r.notRun && r.err != nil:
		return magnolialedge.KindNoUpstream
	case r.notRun:
		return magnolialedge.KindOverloaded
	}
	return magnolialedge.KindUpstreamLost
}
