package serve

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"magnolialedge"
	"magnolialedge/core/pick"
	"magnolialedge/io/event"
	"magnolialedge/io/front"
	"magnolialedge/io/link"
)

const (
	// handoverHeader carries the handover of a request, as JSON. It is only heeded on
	// connections between entries; a caller's header of this name is dropped.
	handoverHeader = "Magnolialedge-Handover"
	// declinedHeader names the reason for which an entry declined a request that was
	// handed to it. Nothing of the request was sent to an upstream.
	declinedHeader = "Magnolialedge-Declined"
	// maxHelpers limits the entries that one request is handed to. Helpers near by may have
	// lost the same links.
	maxHelpers = 4
	// unreachedToHandOver is the number of upstreams to which no connection could be
	// opened until a request is handed over, whatever is known of the others.
	unreachedToHandOver = 2
	// helperDialTimeout limits opening a connection to another entry.
	helperDialTimeout = 300 * time.Millisecond
	// helperIDPrefix marks entries among the upstreams in log lines.
	helperIDPrefix = "entry/"
)

// handover is what an entry tells another one about a request that it hands over. The
// other entry does not match the request again, since it may have another version of the
// routes.
type handover struct {
	From    string                  `json:"from"`
	Route   string                  `json:"route"`
	Version int64                   `json:"version"`
	Service string                  `json:"service"`
	Kind    magnolialedge.RouteKind `json:"kind"`
	// Priority and LatencyTargetMs are those of the route.
	Priority        int   `json:"priority"`
	LatencyTargetMs int64 `json:"latencyTargetMs"`
	// MaxAttempts is that of the route, for a request that may run once without the attempts that
	// upstreams refused.
	MaxAttempts int `json:"maxAttempts"`
	// Attempts is the number of attempts that may have run, and Tried the upstreams.
	Attempts int      `json:"attempts"`
	Tried    []string `json:"tried,omitempty"`
	// AgeMs is the time since the request arrived from the caller.
	AgeMs int64 `json:"ageMs"`
	// IsCounted is set if the request already counts towards the retry budget.
	IsCounted bool `json:"isCounted,omitempty"`
	// AllowedRegions lists the only regions whose upstreams may serve the request; if it is
	// empty, all may. Entries of protocol 0 ignore it.
	AllowedRegions []string `json:"allowedRegions,omitempty"`
	// Protocol is the version of this message; 0 for a release without client accounts.
	Protocol int `json:"protocol,omitempty"`
	// Account and AccountPriority are those of the client account; both are zero for none.
	Account         string `json:"account,omitempty"`
	AccountPriority int    `json:"accountPriority,omitempty"`
}

// mayHandOver reports whether the request may still be handed to another entry. One that
// was handed over is not handed on.
func (x *exchange) mayHandOver() bool {
	return x.handover == nil && !x.triedHandover && x.f.cfg.Helpers != nil
}

// shouldHandOver reports whether the request is handed over instead of being sent to an
// upstream by this entry.
func (x *exchange) shouldHandOver() bool {
	return x.mayHandOver() && (x.unreached >= unreachedToHandOver || x.f.isLost(x.pickReq.Service))
}

// shouldPassBack reports whether a request that another entry handed over is passed back,
// because this one does not reach the upstreams either.
func (x *exchange) shouldPassBack() bool {
	return x.handover != nil && x.unreached >= unreachedToHandOver && x.sentAttempts == x.handover.Attempts
}

// handOver hands the request to another entry and returns the response for the caller. It
// returns nil if no entry took the request and this entry may try itself.
func (x *exchange) handOver(ctx context.Context) *front.Response {
	x.triedHandover = true
	isDeclined := false
	for range maxHelpers {
		if !x.reauthenticate() {
			return x.fail(ctx, magnolialedge.KindUnauthorized)
		}
		if kind := x.refresh(); kind != "" {
			return x.fail(ctx, kind)
		}
		if !x.maySend() {
			return x.rejectLeaving(ctx)
		}
		h, ok, hasHelpers := x.f.pickHelper(x, x.pickReq.Regions)
		if !ok {
			isDeclined = isDeclined || hasHelpers
			break
		}
		r := x.recordResult(x.handTo(ctx, h, x.handoverRequest(x.pickReq.Regions, x.version)))
		switch {
		case r.err == nil && r.declined == "":
			return x.handedResponse(r)
		case r.declined != "":
			isDeclined = true
		case !r.notRun && (ctx.Err() != nil || !x.pickReq.Idempotent || !x.f.withdrawRetry(x.pickReq)):
			return x.fail(ctx, magnolialedge.KindUpstreamLost)
		}
	}
	if isDeclined && x.f.isLost(x.pickReq.Service) {
		return x.fail(ctx, magnolialedge.KindNoUpstream)
	}
	return nil
}

// handedResponse returns the response for the caller from that of another entry.
func (x *exchange) handedResponse(r attemptResult) *front.Response {
	resp := x.convertHanded(r)
	if r.stream != nil && resp.Stream == nil {
		r.stream.discard()
	}
	return resp
}

func (x *exchange) convertHanded(r attemptResult) *front.Response {
	switch {
	case r.notRun && x.mayHaveRun:
		return x.reject(magnolialedge.KindUpstreamLost, 0)
	case r.notRun && r.response.Status == http.StatusUnauthorized:
		return x.reject(magnolialedge.KindUnauthorized, 0)
	case r.notRun:
		return x.reject(magnolialedge.KindOverloaded, r.response.RetryAfter)
	case r.invalid:
		return x.reject(magnolialedge.KindBadAnswer, 0)
	case r.response.IsSigned || !r.response.IsServerError():
		return x.callerResponse(r)
	case r.response.Status == http.StatusGatewayTimeout:
		return x.reject(magnolialedge.KindDeadlineExceeded, 0)
	}
	return x.reject(magnolialedge.KindUpstreamLost, 0)
}

// handTo hands the request to another entry and records the result. For a streamed
// response, the request counts as in flight until the stream ends.
func (x *exchange) handTo(ctx context.Context, helper magnolialedge.Instance, req *link.Request) attemptResult {
	f := x.f
	start := time.Now()
	p := &placement{Candidate: pick.Candidate{Registration: helperRegistration(helper)}}
	conn, err := f.connectHelper(ctx, p.Registration, x.id, !x.pickReq.Idempotent)
	if err != nil {
		f.cfg.Log.Log(event.HelperUnreachable, "requestId", x.id, "service", x.pickReq.Service, "helper", helper.Name, "err", err)
		f.endHandover(helper, x.pickReq.Service, ctx.Err() == nil)
		return attemptResult{err: err, notRun: true, passedBack: true, summary: x.summarizeHandover(p, "unreached", time.Since(start))}
	}
	p.conn = conn
	if !x.maySend() {
		f.endHandover(helper, x.pickReq.Service, false)
		f.cfg.HelperPool.Put(conn)
		return attemptResult{err: errLeaving, notRun: true, summary: x.summarizeHandover(p, "leaving", time.Since(start))}
	}
	resp, sent, err := conn.RoundTrip(ctx, req)
	r := x.classify(resp, sent, err)
	label := handoverLabel(r)
	if r.notRun && r.response != nil {
		r.declined = magnolialedge.ErrorKind(r.response.Header.Get(declinedHeader))
	}
	if r.declined != "" {
		label, r.sent, r.passedBack = "declined", false, true
	}
	r.summary = x.summarizeHandover(p, label, time.Since(start))
	if err != nil && ctx.Err() == nil {
		f.cfg.Log.Log(event.HandoverLost, "requestId", x.id, "service", x.pickReq.Service, "helper", helper.Name, "written", sent.Written, "err", err)
	}
	shouldAvoid := x.isDeclinedForOthers(r.declined) || (err != nil && ctx.Err() == nil)
	release := func() {
		f.endHandover(helper, x.pickReq.Service, shouldAvoid)
		f.cfg.HelperPool.Put(conn)
	}
	if resp != nil && resp.Stream != nil {
		r.stream = &responseStream{BodyStream: resp.Stream, x: x, upstreamID: p.ID, release: func(pick.AttemptStatus) { release() }}
		return r
	}
	release()
	return r
}

// isDeclinedForOthers reports whether the reason for which another entry declined this request, if
// any, holds for other requests of the service. That entry may have found this one invalid, or
// no upstream that this one has not tried.
func (x *exchange) isDeclinedForOthers(reason magnolialedge.ErrorKind) bool {
	switch reason {
	case "", magnolialedge.KindBadRequest:
		return false
	case magnolialedge.KindNoUpstream:
		return len(x.pickReq.Tried) == 0
	}
	return true
}

func handoverLabel(r attemptResult) string {
	switch {
	case r.err != nil && r.notRun:
		return "unreached"
	case r.err != nil:
		return "lost"
	case r.notRun:
		return "refused"
	case r.invalid:
		return "bad"
	}
	return "answered"
}

func (x *exchange) summarizeHandover(p *placement, label string, elapsed time.Duration) attemptSummary {
	x.f.cfg.Metrics.Handovers.WithLabelValues(x.pickReq.Service, label).Inc()
	return attemptSummary{upstream: p.ID, status: label, duration: elapsed, loadAge: -1}
}

// helperRegistration describes another entry for the pool of connections.
func helperRegistration(in magnolialedge.Instance) magnolialedge.Registration {
	return magnolialedge.Registration{ID: helperIDPrefix + in.Name, Address: in.PeerAddress, Zone: in.Zone, StartedAtUnixMs: in.StartedAt}
}

// connectHelper returns a connection to another entry: an unused one that has carried a
// response a short time ago and on which the request was not refused, or a new one.
func (f *Forwarder) connectHelper(ctx context.Context, r magnolialedge.Registration, requestID string, nonIdempotent bool) (*link.Conn, error) {
	maxAge := maxUnverifiedAge
	if nonIdempotent {
		maxAge = maxUnverifiedAgeNonIdempotent
	}
	if c, ok := f.cfg.HelperPool.Get(r); ok {
		if time.Since(c.LastResponseAt()) < maxAge && !c.HasRefused(requestID) {
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, helperDialTimeout)
	defer cancel()
	return f.cfg.HelperPool.Open(ctx, r)
}

// handoverRequest returns the request as it is sent to another entry with the given
// restrictions, by the given version of the routes.
func (x *exchange) handoverRequest(regions []string, version int64) *link.Request {
	req := x.forwardedRequest()
	maxAttempts, attempts := x.handedAttempts()
	mark, err := json.Marshal(handover{
		From:            x.f.cfg.Name,
		Route:           x.match.Name,
		Version:         version,
		Service:         x.pickReq.Service,
		Kind:            x.match.Kind,
		Priority:        x.match.Priority,
		LatencyTargetMs: x.match.LatencyTargetMs,
		MaxAttempts:     maxAttempts,
		Attempts:        attempts,
		Tried:           x.pickReq.Tried,
		AgeMs:           time.Since(x.req.Arrived).Milliseconds(),
		IsCounted:       x.isCounted,
		AllowedRegions:  regions,
		Protocol:        magnolialedge.PeerProtocol,
		Account:         x.pickReq.Account,
		AccountPriority: x.pickReq.AccountPriority,
	})
	if err != nil {
		x.f.cfg.Log.Log(event.HandoverInvalid, "requestId", x.id, "err", err)
	}
	req.Header.Set(handoverHeader, string(mark))
	return req
}

// handedAttempts returns the largest number of attempts at the request and the number of those so
// far, as another entry is told. That entry accepts no earlier attempts at a request that may run
// once; upstreams have refused them all, so that only the number of attempts that are left matters.
func (x *exchange) handedAttempts() (limit, attempts int) {
	limit = max(1, x.match.MaxAttempts)
	if x.pickReq.Idempotent {
		return limit, x.sentAttempts
	}
	return limit - x.sentAttempts, 0
}

// pickHelper returns the entry to which a request with the given restrictions is handed, and
// false if there is none at present. hasHelpers tells whether there are any at all.
func (f *Forwarder) pickHelper(x *exchange, regions []string) (helper magnolialedge.Instance, ok, hasHelpers bool) {
	ranked := f.cfg.Helpers(x.req.Host, mayBeHandedTo(regions))
	names := make([]string, 0, len(ranked))
	byName := map[string]magnolialedge.Instance{}
	for _, in := range ranked {
		if x.identity.account != nil && in.Protocol < accountProtocol {
			continue
		}
		names = append(names, in.Name)
		byName[in.Name] = in
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	name, ok := f.helpers.Pick(time.Now(), x.pickReq.Service, names, x.triedHelpers)
	if ok {
		x.triedHelpers = append(x.triedHelpers, name)
	}
	return byName[name], ok, len(names) > 0
}

// endHandover records that a request at another entry has ended.
func (f *Forwarder) endHandover(helper magnolialedge.Instance, service string, shouldAvoid bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.helpers.End(helper.Name)
	if shouldAvoid {
		f.helpers.Avoid(time.Now(), helper.Name, service)
	}
}
