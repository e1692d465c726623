package serve

import (
	"context"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/acct"
	"magnolialedge/core/pick"
	"magnolialedge/core/route"
	"magnolialedge/io/event"
	"magnolialedge/io/front"
	"magnolialedge/io/limit"
	"magnolialedge/io/link"
)

const (
	// defaultTimeout limits a request for which neither the caller nor the route
	// sets a timeout.
	defaultTimeout = 30 * time.Second
	// maxCandidates is the number of upstreams that are probed before a request
	// is sent.
	maxCandidates = 3
	// maxAttempts limits the attempts of one request, including those that never
	// reached an upstream.
	maxAttempts = 5
)

// exchange is the processing of one request: its attempts and its response.
type exchange struct {
	f     *Forwarder
	req   *front.Request
	id    string
	match route.Match
	// version is that of the routes by which the request was checked last.
	version    int64
	hasRouting bool
	hasRoute   bool
	deadline   time.Time
	pickReq    pick.Request
	// identity is set by authenticate.
	identity    identity
	fingerprint uint64

	// sentAttempts is the number of attempts that may have reached an upstream.
	sentAttempts int
	attemptCount int
	// mayHaveRun is set if an upstream may have run the request.
	mayHaveRun bool
	// fallback is an upstream's error response, which is returned if no later
	// attempt yields a better one.
	fallback  *link.Response
	queueWait time.Duration
	// turn is the turn of the request's account that was spent on the next attempt.
	turn pick.Turn
	// isNotAdmitted is set if the request was refused because of its priority.
	isNotAdmitted bool
	summaries     []attemptSummary
	errorKind     magnolialedge.ErrorKind
	// shortage and queued are the capacity and the number of queued requests for
	// which the request was rejected; shortage may be nil.
	shortage *pick.Shortage
	queued   int
	// handover is set if another entry handed the request to this one.
	handover *handover
	// triedHandover is set once this entry has tried to hand the request over, and
	// triedHelpers holds the entries that it handed the request to.
	triedHandover bool
	triedHelpers  []string
	// unreached is the number of upstreams to which no connection could be opened.
	unreached int
	// refusal is the decision on the account's limit if the request was refused by it.
	refusal *acct.Admission
	// isCounted is set once the request counts towards the retry budget.
	isCounted bool
	// memory is what the exchange holds of responses. It is released when the caller's response
	// has been written.
	memory *limit.Share
	// truncated is set if the response ended before it was complete.
	truncated bool
}

// attemptSummary is the part of a request's log line about one attempt.
type attemptSummary struct {
	upstream string
	status   string
	duration time.Duration
	loadAge  time.Duration
	slowdown float64
	load     float64
}

func (f *Forwarder) newExchange(r *front.Request) *exchange {
	x := &exchange{f: f, req: r, id: r.Header.Get(f.cfg.Headers.RequestID), memory: f.cfg.ResponseMemory.NewShare()}
	x.setRoute()
	x.setTimes(r.Arrived)
	x.fingerprint = fingerprintOf(r)
	return x
}

// setTimes sets the deadline and the request for picking of an exchange whose caller
// sent the request at arrivedAt.
func (x *exchange) setTimes(arrivedAt time.Time) {
	x.deadline = x.req.Arrived.Add(x.timeout())
	x.pickReq = pick.Request{
		Service:       x.match.Service.Name,
		Route:         x.match.Name,
		Idempotent:    x.match.Kind.IsIdempotent(),
		Priority:      x.match.Priority,
		SoftDeadline:  arrivedAt.Add(x.match.LatencyTarget()),
		LatencyTarget: x.match.LatencyTarget(),
		Deadline:      x.deadline,
		BodyBytes:     int64(len(x.req.Body)),
		Regions:       x.allowedRegions(x.match.Route),
	}
}

// timeout returns the shortest of the caller's, the route's and the default
// timeout.
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

// fingerprintOf returns a hash of the request that is the same when a caller
// repeats it.
func fingerprintOf(r *front.Request) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.Target} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// serve returns the response that run makes and logs the request, unless the end of a
// stream will. A panic becomes an error response.
func (x *exchange) serve(run func() *front.Response) (resp *front.Response) {
	defer func() { resp.Release = x.memory.Close }()
	defer func() {
		if cause := recover(); cause != nil {
			x.f.cfg.Log.Log(event.RequestPanicked, "requestId", x.id, "cause", cause, "stack", string(debug.Stack()))
			resp = x.reject(magnolialedge.KindInternal, 0)
			x.report(resp)
		}
	}()
	resp = run()
	if resp.Stream == nil {
		x.report(resp)
	}
	return resp
}

func (x *exchange) run(ctx context.Context) *front.Response {
	switch {
	case !x.hasRouting:
		return x.reject(magnolialedge.KindNotReady, magnolialedge.ErrorResponseFor(magnolialedge.KindNotReady).RetryAfter)
	case !x.hasRoute && x.f.mayLackRoutes():
		return x.reject(magnolialedge.KindRoutesOutdated, magnolialedge.ErrorResponseFor(magnolialedge.KindRoutesOutdated).RetryAfter)
	case !x.hasRoute:
		return x.reject(magnolialedge.KindNoRoute, 0)
	case !x.authenticate():
		return x.reject(magnolialedge.KindUnauthorized, 0)
	case hasNoAllowedRegion(x.pickReq):
		return x.rejectForShortage(magnolialedge.KindNoAllowedRegion)
	case !x.maySend():
		return x.rejectLeaving(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	if resp := x.admitQuota(ctx); resp != nil {
		return resp
	}
	if left, refused := x.f.quarantinedFor(x.fingerprint); refused {
		return x.reject(magnolialedge.KindQuarantined, left)
	}
	if x.mayHandOver() && !x.f.allowsDirect(x.pickReq.Service) {
		if resp := x.handOver(ctx); resp != nil {
			return resp
		}
	}
	x.count()
	for {
		x.attemptCount++
		p, kind := x.pickUpstream(ctx)
		if p == nil && x.isUnreached(kind) {
			if resp := x.handOver(ctx); resp != nil {
				return resp
			}
			p, kind = x.pickUpstream(ctx)
		}
		if p == nil {
			return x.fail(ctx, kind)
		}
		r := x.attemptWithHedge(ctx, p)
		if resp := x.responseOrRetry(ctx, r); resp != nil {
			return resp
		}
	}
}

// count counts the request towards the retry budget, once at all entries together.
func (x *exchange) count() {
	if x.isCounted {
		return
	}
	x.isCounted = true
	x.f.countRequest(x.pickReq)
}

// isUnreached reports whether the request may be handed over because this entry found no
// upstream that it reaches.
func (x *exchange) isUnreached(kind magnolialedge.ErrorKind) bool {
	if kind != magnolialedge.KindNoUpstream || !x.mayHandOver() {
		return false
	}
	return x.unreached > 0 || x.f.hasUnreachable(x.pickReq)
}

func (f *Forwarder) quarantinedFor(fingerprint uint64) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.Remaining(time.Now(), fingerprint)
}

// placement is a picked upstream and a connection to it.
type placement struct {
	pick.Candidate
	conn *link.Conn
}

// pickUpstream picks an upstream and connects to it, and waits in the queue while
// none has capacity. If it finds none, it returns nil and the kind of the error.
func (x *exchange) pickUpstream(ctx context.Context) (*placement, magnolialedge.ErrorKind) {
	f := x.f
	for ctx.Err() == nil {
		if !x.reauthenticate() {
			return nil, magnolialedge.KindUnauthorized
		}
		if kind := x.refresh(); kind != "" {
			return nil, kind
		}
		if !x.maySend() {
			return nil, magnolialedge.KindLeaving
		}
		if x.shouldHandOver() || x.shouldPassBack() {
			return nil, magnolialedge.KindNoUpstream
		}
		f.mu.Lock()
		candidates, available := f.fleet.Candidates(time.Now(), x.pickReq, maxCandidates)
		mustQueue := x.mustQueue()
		f.mu.Unlock()
		if !available {
			return nil, magnolialedge.KindNoUpstream
		}
		if len(candidates) == 0 || mustQueue {
			start := time.Now()
			ok := x.waitForCapacity(ctx, len(candidates) > 0)
			x.queueWait += time.Since(start)
			if !x.reauthenticate() {
				return nil, magnolialedge.KindUnauthorized
			}
			if !ok {
				return nil, magnolialedge.KindOverloaded
			}
			continue
		}
		if p := x.chooseCandidate(ctx, candidates); p != nil {
			return p, ""
		}
	}
	return nil, magnolialedge.KindDeadlineExceeded
}

// mustQueue reports whether the request does not take a free slot before waiting ones,
// because the accounts take turns. The caller holds f.mu.
func (x *exchange) mustQueue() bool {
	q := x.f.queueFor(x.pickReq.Service)
	return q.HasTurns() && q.Len() > 0 && !x.turn.IsTaken()
}

// chooseCandidate probes the candidates, begins an attempt at the best one and
// returns it with a connection, or nil if none is left or connecting fails.
// Because the best candidate after a probe may be one that was not probed, it
// repeats this for up to maxProbeRounds rounds.
func (x *exchange) chooseCandidate(ctx context.Context, candidates []pick.Candidate) *placement {
	for round := 1; ; round++ {
		x.f.probeCandidates(ctx, candidates, x.match.Service.HealthPath)
		best, toProbe := x.beginAttempt(round == maxProbeRounds)
		if toProbe != nil {
			candidates = toProbe
			continue
		}
		if best == nil {
			return nil
		}
		return x.connectPlacement(ctx, &placement{Candidate: *best})
	}
}

// maxProbeRounds limits the rounds of probes for one attempt.
const maxProbeRounds = 3

// beginAttempt begins an attempt at the best candidate if its load reading is
// fresh or this is the last round. Otherwise it returns the candidates to probe.
func (x *exchange) beginAttempt(lastRound bool) (*pick.Candidate, []pick.Candidate) {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	now := time.Now()
	candidates, _ := x.f.fleet.Candidates(now, x.pickReq, maxCandidates)
	if len(candidates) == 0 {
		return nil, nil
	}
	if !lastRound && !candidates[0].IsFresh(now) {
		return nil, candidates
	}
	x.f.fleet.BeginAttempt(now, candidates[0].ID)
	x.f.recordStart(now, x.pickReq.Service)
	x.f.queueFor(x.pickReq.Service).TakeTurn(x.f.fleet, x.pickReq, &x.turn)
	x.turn = pick.Turn{}
	return &candidates[0], nil
}

// connectPlacement adds a connection to a placement. If that fails, it ends the
// attempt, marks the upstream as unreachable and returns nil.
func (x *exchange) connectPlacement(ctx context.Context, p *placement) *placement {
	c, err := x.f.connect(ctx, p.Candidate, x.id, !x.pickReq.Idempotent, x.match.Service.HealthPath)
	switch {
	case err == nil && !x.isStillPermitted(p):
		x.f.endAttempt(p, x.pickReq, 0, pick.AttemptCanceled)
		x.f.cfg.Pool.Put(c)
		return nil
	case err == nil:
	case errors.Is(ctx.Err(), context.Canceled):
		x.f.endAttempt(p, x.pickReq, 0, pick.AttemptCanceled)
		return nil
	default:
		x.unreached++
		x.summaries = append(x.summaries, x.summarize(p, "unreached", 0))
		x.f.endAttempt(p, x.pickReq, 0, pick.AttemptConnectFailed)
		x.f.markUnreachable(p.Registration, err)
		return nil
	}
	p.conn = c
	return p
}

func (f *Forwarder) endAttempt(p *placement, req pick.Request, elapsed time.Duration, status pick.AttemptStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet.EndAttempt(time.Now(), pick.AttemptResult{UpstreamID: p.ID, Request: req, Duration: elapsed, Slowdown: p.Slowdown, TookLastSlot: p.TakesLastSlot, Status: status})
	f.dispatchQueue(req.Service)
}

// summarize counts the end of an attempt and returns its summary for the log.
func (x *exchange) summarize(p *placement, status string, elapsed time.Duration) attemptSummary {
	loadAge := time.Duration(-1)
	if !p.LoadReadAt.IsZero() {
		loadAge = time.Since(p.LoadReadAt) - elapsed
	}
	x.f.cfg.Metrics.Attempts.WithLabelValues(x.pickReq.Service, status).Inc()
	return attemptSummary{upstream: p.ID, status: status, duration: elapsed, loadAge: loadAge, slowdown: p.Slowdown, load: p.Load}
}
