package serve

import (
	"context"
	"time"

	"magnolialedge/core/pick"
	"magnolialedge/io/event"
)

// progressEvery is the time between two looks at a request in progress that may
// be sent to a second upstream.
const hedgeCheckInterval = 45 * time.Millisecond

// attempts sends the request to an upstream and, if that turns slow and the
// request may be sent again, to a second one beside it. The first good answer is
// used and the other attempt is cancelled.
func (x *exchange) attemptWithHedge(ctx context.Context, p *placement) attemptResult {
	if !x.pickReq.Idempotent {
		return x.recordResult(x.attempt(ctx, p))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan attemptResult, 2)
	begun := time.Now()
	go func() { ended <- x.attempt(ctx, p) }()
	running, second := 1, false
	defer func() { go discardResults(ended, running) }()
	ticks := time.NewTicker(hedgeCheckInterval)
	defer ticks.Stop()
	for {
		select {
		case r := <-ended:
			running--
			x.recordResult(r)
			if r.isSuccess() || running == 0 {
				return r
			}
			x.keepFallback(r)
		case <-ticks.C:
			if second || running == 0 {
				continue
			}
			q := x.hedge(ctx, pick.RunningAttempt{Candidate: p.Candidate, Elapsed: time.Since(begun)})
			if q != nil {
				second = true
				running++
				go func() { ended <- x.attempt(ctx, q) }()
			}
		}
	}
}

// abandon closes what attempts bring that are of no use any more.
func discardResults(ended <-chan attemptResult, running int) {
	for range running {
		if r := <-ended; r.stream != nil {
			r.stream.discard()
		}
	}
}

// received takes the end of an attempt into the request's story.
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

// setAside keeps a failure of one attempt while another is in progress.
func (x *exchange) keepFallback(r attemptResult) {
	if r.err == nil && !r.notRun && !r.invalid {
		x.fallback = r.response
	}
}

// rescue decides whether a second attempt is made beside one in progress, and
// returns where.
func (x *exchange) hedge(ctx context.Context, p pick.RunningAttempt) *placement {
	f := x.f
	if x.sentAttempts+2 > max(1, x.match.MaxAttempts) {
		return nil
	}
	f.mu.Lock()
	now := time.Now()
	slowing := f.fleet.IsAttemptSlow(now, x.pickReq, p)
	short := f.queueOf(x.pickReq.Service).Len() > 0
	at, listed := f.fleet.Find(p.Candidate.ID)
	f.mu.Unlock()
	switch {
	case !listed || short:
		return nil
	case !slowing && (!p.Candidate.Local || p.Candidate.ReportsNoLoad):
		return nil
	case !slowing:
		f.startProbe(at, p.Candidate.RoundTrip, x.match.Service.HealthPath)
		return nil
	}
	return x.connectHedge(ctx, p)
}

// second picks and reaches the upstream of a second attempt.
func (x *exchange) connectHedge(ctx context.Context, p pick.RunningAttempt) *placement {
	f := x.f
	c, ok := x.beginHedge(p, false)
	if ok && !c.IsFresh(time.Now()) {
		f.probeCandidates(ctx, []pick.Candidate{c}, x.match.Service.HealthPath)
	}
	if ok {
		c, ok = x.beginHedge(p, true)
	}
	if !ok {
		return nil
	}
	f.cfg.Log.Log(event.SecondAttempt, "requestId", x.id, "service", x.pickReq.Service, "from", p.Candidate.ID, "to", c.ID, "elapsedMs", p.Elapsed.Milliseconds())
	return x.connectPlacement(ctx, &placement{Candidate: c})
}

// beginSecond looks for the upstream of a second attempt and, if commit is set,
// draws on the retry budget and counts the request there.
func (x *exchange) beginHedge(p pick.RunningAttempt, commit bool) (pick.Candidate, bool) {
	f := x.f
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.fleet.HedgeCandidate(time.Now(), x.pickReq, p)
	if !ok || !commit {
		return c, ok
	}
	if !c.IsFresh(time.Now()) || !f.retryBudget(x.pickReq.Service).Withdraw() {
		return c, false
	}
	f.fleet.BeginAttempt(c.ID)
	return c, true
}
