package serve

import (
	"context"
	"time"

	"magnolialedge/core/pick"
	"magnolialedge/io/event"
)

// progressEvery is the time between two looks at a request in progress that may
// be sent to a second upstream.
const progressEvery = 45 * time.Millisecond

// attempts sends the request to an upstream and, if that turns slow and the
// request may be sent again, to a second one beside it. The first good answer is
// used and the other attempt is cancelled.
func (x *exchange) attempts(ctx context.Context, p *placement) result {
	if !x.need.Idempotent {
		return x.received(x.attempt(ctx, p))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan result, 2)
	begun := time.Now()
	go func() { ended <- x.attempt(ctx, p) }()
	running, second := 1, false
	defer func() { go abandon(ended, running) }()
	ticks := time.NewTicker(progressEvery)
	defer ticks.Stop()
	for {
		select {
		case r := <-ended:
			running--
			x.received(r)
			if r.isGood() || running == 0 {
				return r
			}
			x.setAside(r)
		case <-ticks.C:
			if second || running == 0 {
				continue
			}
			q := x.rescue(ctx, pick.RunningAttempt{Candidate: p.Candidate, Elapsed: time.Since(begun)})
			if q != nil {
				second = true
				running++
				go func() { ended <- x.attempt(ctx, q) }()
			}
		}
	}
}

// abandon closes what attempts bring that are of no use any more.
func abandon(ended <-chan result, running int) {
	for range running {
		if r := <-ended; r.rest != nil {
			r.rest.discard()
		}
	}
}

// received takes the end of an attempt into the request's story.
func (x *exchange) received(r result) result {
	x.story = append(x.story, r.story)
	if r.reached {
		x.reached++
	}
	if !r.notRun {
		x.unsure = true
	}
	return r
}

func (r result) isGood() bool {
	return r.err == nil && !r.notRun && !r.bad && !r.answer.IsServerError()
}

// setAside keeps a failure of one attempt while another is in progress.
func (x *exchange) setAside(r result) {
	if r.err == nil && !r.notRun && !r.bad {
		x.spare = r.answer
	}
}

// rescue decides whether a second attempt is made beside one in progress, and
// returns where.
func (x *exchange) rescue(ctx context.Context, p pick.RunningAttempt) *placement {
	f := x.f
	if x.reached+2 > max(1, x.match.MaxAttempts) {
		return nil
	}
	f.mu.Lock()
	now := time.Now()
	slowing := f.fleet.IsAttemptSlow(now, x.need, p)
	short := f.queueOf(x.need.Service).Len() > 0
	at, listed := f.fleet.Find(p.Candidate.ID)
	f.mu.Unlock()
	switch {
	case !listed || short:
		return nil
	case !slowing && (!p.Candidate.Local || p.Candidate.ReportsNoLoad):
		return nil
	case !slowing:
		f.ask(at, p.Candidate.RoundTrip, x.match.Service.HealthPath)
		return nil
	}
	return x.second(ctx, p)
}

// second picks and reaches the upstream of a second attempt.
func (x *exchange) second(ctx context.Context, p pick.RunningAttempt) *placement {
	f := x.f
	c, ok := x.beginSecond(p, false)
	if ok && !c.IsFresh(time.Now()) {
		f.probe(ctx, []pick.Candidate{c}, x.match.Service.HealthPath)
	}
	if ok {
		c, ok = x.beginSecond(p, true)
	}
	if !ok {
		return nil
	}
	f.cfg.Log.Log(event.SecondAttempt, "requestId", x.id, "service", x.need.Service, "from", p.Candidate.ID, "to", c.ID, "elapsedMs", p.Elapsed.Milliseconds())
	return x.connected(ctx, &placement{Candidate: c})
}

// beginSecond looks for the upstream of a second attempt and, if commit is set,
// draws on the retry budget and counts the request there.
func (x *exchange) beginSecond(p pick.RunningAttempt, commit bool) (pick.Candidate, bool) {
	f := x.f
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.fleet.HedgeCandidate(time.Now(), x.need, p)
	if !ok || !commit {
		return c, ok
	}
	if !c.IsFresh(time.Now()) || !f.budget(x.need.Service).Withdraw() {
		return c, false
	}
	f.fleet.BeginAttempt(c.ID)
	return c, true
}
