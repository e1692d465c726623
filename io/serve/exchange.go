package serve

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnolialedge"
	"magnolialedge/core/pick"
	"magnolialedge/core/route"
	"magnolialedge/io/front"
	"magnolialedge/io/link"
)

const (
	// defaultTimeout bounds a request for which neither its caller nor its
	// route states a time.
	defaultTimeout = 30 * time.Second
	// mostCandidates is the number of upstreams that are asked for their load
	// before a request is sent.
	maxCandidates = 3
	// mostTries bounds the attempts of one request, those included that never
	// reached an upstream.
	maxAttempts = 5
)

// exchange carries one request to upstreams and one answer back.
type exchange struct {
	f           *Forwarder
	req         *front.Request
	id          string
	match       route.Match
	hasRouting  bool
	hasRoute    bool
	deadline    time.Time
	pickReq     pick.Request
	fingerprint uint64

	// reached is the number of attempts that may have reached an upstream.
	sentAttempts int
	attemptCount int
	// unsure tells that an upstream may have run the request.
	mayHaveRun bool
	// spare is an upstream's failure that is passed on when nothing better
	// comes.
	fallback  *link.Response
	queueWait time.Duration
	summaries []attemptSummary
	errorKind magnolialedge.ErrorKind
	// cut tells that the answer ended before it was whole.
	truncated bool
}

// attemptStory is what a log line tells of one attempt.
type attemptSummary struct {
	upstream string
	status   string
	duration time.Duration
	loadAge  time.Duration
	slowdown float64
	load     float64
}

func (f *Forwarder) newExchange(r *front.Request) *exchange {
	x := &exchange{f: f, req: r, id: r.Header.Get(f.cfg.Headers.RequestID)}
	x.match, x.hasRouting, x.hasRoute = f.findRoute(r)
	x.deadline = r.Arrived.Add(x.timeout())
	x.pickReq = pick.Request{
		Service:       x.match.Service.Name,
		Route:         x.match.Name,
		Idempotent:    x.match.Kind.IsIdempotent(),
		Priority:      x.match.Priority,
		SoftDeadline:  r.Arrived.Add(x.match.LatencyTarget()),
		LatencyTarget: x.match.LatencyTarget(),
		Deadline:      x.deadline,
		BodyBytes:     int64(len(r.Body)),
	}
	x.fingerprint = fingerprintOf(r)
	return x
}

// timeLimit is the shorter one of what the caller and the route allow.
func (x *exchange) timeout() time.Duration {
	limit := defaultTimeout
	if ms, err := strconv.ParseInt(x.req.Header.Get(x.f.cfg.Headers.Deadline), 10, 64); err == nil && ms >= 0 {
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	if t := x.match.Timeout(); t > 0 {
		limit = min(limit, t)
	}
	return limit
}

// fingerprint identifies what a caller asks, also when it asks again.
func fingerprintOf(r *front.Request) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.Target} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

func (x *exchange) run(ctx context.Context) *front.Response {
	switch {
	case !x.hasRouting:
		return x.reject(magnolialedge.KindNotReady, magnolialedge.ErrorResponseFor(magnolialedge.KindNotReady).RetryAfter)
	case !x.hasRoute:
		return x.reject(magnolialedge.KindNoRoute, 0)
	}
	if left, refused := x.f.quarantinedFor(x.fingerprint); refused {
		return x.reject(magnolialedge.KindQuarantined, left)
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.f.depositRetry(x.pickReq.Service)
	for {
		x.attemptCount++
		p, kind := x.pickUpstream(ctx)
		if p == nil {
			return x.fail(ctx, kind)
		}
		r := x.attemptWithHedge(ctx, p)
		if a := x.responseOrRetry(ctx, r); a != nil {
			return a
		}
	}
}

func (f *Forwarder) quarantinedFor(print uint64) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.RefusedFor(time.Now(), print)
}

// placement is an upstream that was picked, with a connection to it.
type placement struct {
	pick.Candidate
	conn *link.Conn
}

// place picks an upstream, after a wait for room if there is none. Without one
// it returns the reason.
func (x *exchange) pickUpstream(ctx context.Context) (*placement, magnolialedge.ErrorKind) {
	f := x.f
	for ctx.Err() == nil {
		f.mu.Lock()
		found, fit := f.fleet.Candidates(time.Now(), x.pickReq, maxCandidates)
		f.mu.Unlock()
		if !fit {
			return nil, magnolialedge.KindNoUpstream
		}
		if len(found) == 0 {
			begun := time.Now()
			ok := f.waitForCapacity(ctx, x.pickReq, x.match.Service.HealthPath)
			x.queueWait += time.Since(begun)
			if !ok {
				return nil, magnolialedge.KindOverloaded
			}
			continue
		}
		if p := x.chooseCandidate(ctx, found); p != nil {
			return p, ""
		}
	}
	return nil, magnolialedge.KindDeadlineExceeded
}

// choose asks the candidates for their load, counts the request at the best one
// and returns it with a connection, or nil when none is left. The best one by
// then may be one that wasn't asked; a few such rounds are made.
func (x *exchange) chooseCandidate(ctx context.Context, found []pick.Candidate) *placement {
	for round := 1; ; round++ {
		x.f.probeCandidates(ctx, found, x.match.Service.HealthPath)
		best, again := x.beginAttempt(round == maxProbeRounds)
		if again != nil {
			found = again
			continue
		}
		if best == nil {
			return nil
		}
		return x.connectPlacement(ctx, &placement{Candidate: *best})
	}
}

// mostRounds bounds how often candidates are asked for one attempt.
const maxProbeRounds = 3

// begin counts the request at the best candidate if its reading is fresh, or in
// any case in the last round; else it returns the candidates to ask.
func (x *exchange) beginAttempt(last bool) (*pick.Candidate, []pick.Candidate) {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	now := time.Now()
	found, _ := x.f.fleet.Candidates(now, x.pickReq, maxCandidates)
	if len(found) == 0 {
		return nil, nil
	}
	if !last && !found[0].IsFresh(now) {
		return nil, found
	}
	x.f.fleet.BeginAttempt(found[0].ID)
	return &found[0], nil
}

// connected gives a placement a connection, or ends it if none is to be had.
func (x *exchange) connectPlacement(ctx context.Context, p *placement) *placement {
	c, err := x.f.connect(ctx, p.Candidate, !x.pickReq.Idempotent, x.match.Service.HealthPath)
	if err != nil {
		x.summaries = append(x.summaries, x.summarize(p, "unreached", 0))
		x.f.endAttempt(p, x.pickReq, 0, pick.AttemptConnectFailed)
		x.f.markUnreachable(p.Registration, err)
		return nil
	}
	p.conn = c
	return p
}

func (f *Forwarder) endAttempt(p *placement, n pick.Request, took time.Duration, e pick.AttemptStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet.EndAttempt(time.Now(), pick.AttemptResult{UpstreamID: p.ID, Request: n, Duration: took, Slowdown: p.Slowdown, TookLastSlot: p.TakesLastSlot, Status: e})
	f.dispatchQueue(n.Service)
}

// tell counts the end of an attempt and returns what the log line tells of it.
func (x *exchange) summarize(p *placement, end string, took time.Duration) attemptSummary {
	age := time.Duration(-1)
	if !p.LoadReadAt.IsZero() {
		age = time.Since(p.LoadReadAt) - took
	}
	x.f.cfg.Metrics.Attempts.WithLabelValues(x.pickReq.Service, end).Inc()
	return attemptSummary{upstream: p.ID, status: end, duration: took, loadAge: age, slowdown: p.Slowdown, load: p.Load}
}

// giveUp answers a request for which no upstream is to be had.
func (x *exchange) fail(ctx context.Context, kind magnolialedge.ErrorKind) *front.Response {
	if x.fallback != nil {
		return x.callerResponse(attemptResult{response: x.fallback})
	}
	if ctx.Err() != nil {
		kind = magnolialedge.KindDeadlineExceeded
	}
	if x.mayHaveRun {
		if kind != magnolialedge.KindDeadlineExceeded {
			kind = magnolialedge.KindUpstreamLost
		}
		return x.reject(kind, 0)
	}
	if kind == magnolialedge.KindDeadlineExceeded {
		kind = magnolialedge.KindOverloaded
	}
	return x.reject(kind, x.f.retryAfter(x.pickReq))
}

func (f *Forwarder) retryAfter(n pick.Request) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet.RetryAfter(time.Now(), n, f.queueOf(n.Service).Len())
}

func (x *exchange) reject(kind magnolialedge.ErrorKind, retryAfter time.Duration) *front.Response {
	x.errorKind = kind
	a := errorResponse(kind, retryAfter)
	if x.id != "" {
		a.Header.Set(x.f.cfg.Headers.RequestID, x.id)
	}
	return a
}

// hopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd returns the headers that are passed on.
func endToEndHeaders(h http.Header, without ...string) http.Header {
	out := h.Clone()
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for _, name := range without {
		out.Del(name)
	}
	return out
}

// pass returns an upstream's answer as its caller gets it.
func (x *exchange) callerResponse(r attemptResult) *front.Response {
	d := x.f.cfg.Headers
	a := &front.Response{
		Status: r.response.Status,
		Header: endToEndHeaders(r.response.Header, d.Load, d.Instance, d.NotRun),
		Body:   r.response.Body,
		Length: r.response.Length,
	}
	if r.stream != nil {
		r.stream.response = a
		a.Stream = r.stream
	}
	return a
}
