package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"magnolialedge/io/pause"
	"magnolialedge/io/stand"
)

const (
	// cutGrace is the time from the beginning of a cut until callers of the entry must be
	// served again.
	cutGrace = 3 * time.Second
	// minCutServedRatio is how often first attempts there must succeed then, in relation
	// to those at undisturbed entries, unless few fail: failuresPerRequest and
	// failuresExtra.
	minCutServedRatio  = 2.0 / 3
	failuresPerRequest = 1.0 / 50
	failuresExtra      = 10
	// cutRatio is the largest part of the entries that are cut off at the same time.
	cutRatio = 0.5
)

// cutSpan is a time during which an entry was cut off from all upstreams.
type cutSpan struct {
	timeSpan
	entry string
}

// cuts records the cuts of entries.
type cuts struct {
	mu    sync.Mutex
	spans []cutSpan
}

func (c *cuts) add(s cutSpan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spans = append(c.spans, s)
}

func (c *cuts) all() []cutSpan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spans
}

// cutOffEntries cuts some entries off from all upstreams. Callers, the store and the other
// entries still reach them, so that this does not count as a disturbance.
func cutOffEntries(ctx context.Context, cl *cluster, r *rand.Rand) error {
	behaviour := []stand.LinkBehaviour{{Down: true}, {DropForward: true}, {DropBackward: true}, {Frozen: true}}[r.IntN(4)]
	length := cutGrace + randomDuration(r)
	var group sync.WaitGroup
	for range 1 + r.IntN(max(1, int(cutRatio*float64(len(cl.entries))))) {
		e, release, ok := reserve(cl, r, cl.entries)
		if !ok {
			continue
		}
		group.Go(func() {
			defer release()
			start := time.Now()
			e.upstreamLink.SetBehaviour(behaviour)
			pause.Sleep(ctx, length)
			cl.cuts.add(cutSpan{timeSpan{from: start, to: time.Now()}, e.settings.Name})
			e.upstreamLink.SetBehaviour(stand.LinkBehaviour{})
		})
	}
	group.Wait()
	return nil
}

// checkCuts records a breach for each cut during which callers of the entry were served far
// worse than those of undisturbed entries.
func (cl *cluster) checkCuts(all []outcome) {
	for _, s := range cl.cuts.all() {
		var cut, others tally
		for _, o := range all {
			isInSpan := o.start.After(s.from.Add(cutGrace)) && o.end.Before(s.to)
			if !isInSpan || o.canceled || !cl.disturbances.isUndisturbed(o.entry, o.start.Add(-settleTime), o.end) {
				continue
			}
			switch {
			case o.entry == s.entry:
				cut.add(o)
			case !cl.isCutOff(o):
				others.add(o)
			}
		}
		failed := cut.sent - cut.served
		if float64(failed) > failuresExtra+failuresPerRequest*float64(cut.sent) && cut.ratio() < minCutServedRatio*others.ratio() {
			cl.breach("%s, cut off from the upstreams from %s, served %d of %d first attempts, the others %d of %d", s.entry, s.from.Format(time.StampMilli), cut.served, cut.sent, others.served, others.sent)
		}
	}
}

// isCutOff reports whether the entry of a request was cut off during it.
func (cl *cluster) isCutOff(o outcome) bool {
	for _, s := range cl.cuts.all() {
		if s.entry == o.entry && s.overlaps(o.start, o.end) {
			return true
		}
	}
	return false
}

// tally counts requests and those that were served.
type tally struct {
	sent, served int
}

func (t *tally) add(o outcome) {
	t.sent++
	if o.err == nil && o.response.Status == http.StatusOK {
		t.served++
	}
}

func (t *tally) ratio() float64 {
	return float64(t.served) / float64(max(1, t.sent))
}
