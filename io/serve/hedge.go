package serve

import (
	"context"
	"time"

	"magnolialedge/core/pick"
	"magnolialedge/io/event"
)

// hedgeCheckInterval is the time between two checks whether a running request
// should be hedged.
const hedgeCheckInterval = 45 * time.Millisecond

// attemptWithHedge sends the request to an upstream. If the request is idempotent
// and the attempt becomes slow, it sends the request to a second upstream as
// well, uses the first successful response and cancels the other attempt.
func (x *exchange) attemptWithHedge(ctx context.Context, p *placement) attemptResult {
	if !x.pickReq.Idempotent {
		return x.recordResult(x.attempt(ctx, p))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, 2)
	start := time.Now()
	go func() { results <- x.attempt(ctx, p) }()
	running, hedged := 1, false
	defer func() { go discardResults(results, running) }()
	ticker := time.NewTicker(hedgeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-results:
			running--
			x.recordResult(r)
			if r.passedBack {
				x.f.refundRetry(x.pickReq.Service)
				hedged, x.triedHandover = false, len(x.triedHelpers) >= maxHelpers
			}
			if r.isSuccess() || running == 0 {
				return r
			}
			x.keepOrDiscard(r)
		case <-ticker.C:
			if hedged || running == 0 {
				continue
			}
			if x.hedgeByHandover(ctx, results) {
				hedged = true
				running++
				continue
			}
			second := x.hedge(ctx, pick.RunningAttempt{Candidate: p.Candidate, Elapsed: time.Since(start)})
			if second != nil {
				hedged = true
				running++
				go func() { results <- x.attempt(ctx, second) }()
			}
		}
	}
}

// hedgeByHandover hands the request to another entry as well if this entry has lost its links
// to the upstreams since it sent the request, and reports whether it did. The result of
// that is added to results.
func (x *exchange) hedgeByHandover(ctx context.Context, results chan<- attemptResult) bool {
	if !x.mayHandOver() || !x.f.isLost(x.pickReq.Service) || x.sentAttempts+2 > max(1, x.match.MaxAttempts) {
		return false
	}
	if x.currentIdentity().fault != "" || !x.maySend() {
		return false
	}
	x.f.mu.Lock()
	req, version := x.refreshed()
	x.f.mu.Unlock()
	if hasNoAllowedRegion(req) {
		return false
	}
	helper, ok, _ := x.f.pickHelper(x, req.Regions)
	if !ok {
		return false
	}
	if !x.f.withdrawRetry(x.pickReq) {
		x.f.endHandover(helper, x.pickReq.Service, false)
		x.triedHelpers = x.triedHelpers[:len(x.triedHelpers)-1]
		return false
	}
	x.triedHandover = true
	handed := x.handoverRequest(req.Regions, version)
	x.f.cfg.Log.Log(event.SecondAttempt, "requestId", x.id, "service", x.pickReq.Service, "to", helperIDPrefix+helper.Name)
	go func() { results <- x.handTo(ctx, helper, handed) }()
	return true
}

// discardResults waits for the remaining attempts and closes their response
// streams.
func discardResults(results <-chan attemptResult, running int) {
	for range running {
		if r := <-results; r.stream != nil {
			r.stream.discard()
		}
	}
}

// recordResult adds the end of an attempt to the state of the exchange.
func (x *exchange) recordResult(r attemptResult) attemptResult {
	x.summaries = append(x.summaries, r.summary)
	if r.sent {
		x.sentAttempts++
	}
	if !r.notRun {
		x.mayHaveRun = true
	}
	return r
}

func (r attemptResult) isSuccess() bool {
	return r.err == nil && !r.notRun && !r.invalid && !r.response.IsServerError()
}

// keepOrDiscard keeps a server error as the fallback while another attempt runs, unless it is too
// long to be held.
func (x *exchange) keepOrDiscard(r attemptResult) {
	if r.stream != nil {
		r.stream.discard()
		return
	}
	x.keepFallback(r)
}

// keepFallback keeps an upstream's error response in case no other attempt yields
// a better one.
func (x *exchange) keepFallback(r attemptResult) {
	if r.err == nil && !r.notRun && !r.invalid {
		x.fallback = r.response
	}
}

// hedge decides whether to make a second attempt beside the running one, and
// returns its placement, or nil. While the running attempt is not slow, it
// refreshes the load reading of that attempt's upstream if the upstream is local
// and reports load.
func (x *exchange) hedge(ctx context.Context, running pick.RunningAttempt) *placement {
	f := x.f
	if x.sentAttempts+2 > max(1, x.match.MaxAttempts) {
		return nil
	}
	f.mu.Lock()
	now := time.Now()
	isSlow := f.fleet.IsAttemptSlow(now, x.pickReq, running)
	hasWaiters := f.queueFor(x.pickReq.Service).Len() > 0
	registration, registered := f.fleet.Find(running.Candidate.ID)
	f.mu.Unlock()
	switch {
	case !registered || hasWaiters:
		return nil
	case !isSlow && (!running.Candidate.Local || running.Candidate.ReportsNoLoad):
		return nil
	case !isSlow:
		f.startProbe(registration, running.Candidate.RoundTrip, x.match.Service.HealthPath)
		return nil
	}
	return x.connectHedge(ctx, running)
}

// connectHedge picks the upstream for the second attempt and connects to it.
func (x *exchange) connectHedge(ctx context.Context, running pick.RunningAttempt) *placement {
	f := x.f
	c, ok := x.beginHedge(running, false)
	if ok && !c.IsFresh(time.Now()) {
		f.probeCandidates(ctx, []pick.Candidate{c}, x.match.Service.HealthPath)
	}
	if ok {
		c, ok = x.beginHedge(running, true)
	}
	if !ok {
		return nil
	}
	f.cfg.Log.Log(event.SecondAttempt, "requestId", x.id, "service", x.pickReq.Service, "from", running.Candidate.ID, "to", c.ID, "elapsedMs", running.Elapsed.Milliseconds())
	return x.connectPlacement(ctx, &placement{Candidate: c})
}

// beginHedge finds the upstream for the second attempt. If commit is set, it also
// draws on the retry budget and begins the attempt; it fails if the load reading
// is stale or the budget is exhausted.
func (x *exchange) beginHedge(running pick.RunningAttempt, commit bool) (pick.Candidate, bool) {
	f := x.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if !x.maySendLocked(time.Now()) {
		return pick.Candidate{}, false
	}
	req, _ := x.refreshed()
	c, ok := f.fleet.HedgeCandidate(time.Now(), req, running)
	if !ok || !commit {
		return c, ok
	}
	if !c.IsFresh(time.Now()) || !f.withdrawRetryLocked(time.Now(), x.pickReq) {
		return c, false
	}
	f.fleet.BeginAttempt(time.Now(), c.ID)
	return c, true
}
