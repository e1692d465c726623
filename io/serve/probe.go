package serve

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/pick"
	"magnolialedge/io/event"
	"magnolialedge/io/link"
)

const (
	// readingWait is how long a request waits for readings beyond the trip.
	maxProbeWait = 8 * time.Millisecond
	// readingTimeout is how long an upstream may take to answer with its load
	// before it counts as unreachable, beyond the trip.
	probeTimeout = 250 * time.Millisecond
	// untoldTimeout is readingTimeout for an upstream that tells no load: there the
	// question may wait for a slot, and a new connection is had sooner.
	noLoadProbeTimeout = 15 * time.Millisecond
	// provenLife is how long a connection counts as alive after a sign of life
	// for requests that may be sent again, and provenOnceLife for others.
	connFreshFor              = time.Second
	connFreshForNonIdempotent = 100 * time.Millisecond
)

// probe asks candidates for their load, each at most once at a time for all
// requests, and waits until they have answered or are late. Far ones are asked
// only when the best one is far, since their answers take longer.
func (f *Forwarder) probeCandidates(ctx context.Context, found []pick.Candidate, health string) {
	var waits []<-chan struct{}
	longest := time.Duration(0)
	now := time.Now()
	for _, c := range found {
		if !c.IsFresh(now) && (c.Local || !found[0].Local) {
			waits = append(waits, f.startProbe(c.Registration, c.RoundTrip, health))
			longest = max(longest, c.RoundTrip)
		}
	}
	if len(waits) == 0 {
		return
	}
	timer := time.NewTimer(longest + maxProbeWait)
	defer timer.Stop()
	for _, done := range waits {
		select {
		case <-done:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// ask takes a reading of an upstream's load unless one is on its way, and
// returns a channel that is closed when it has come, or at once when the budget of
// readings is spent.
func (f *Forwarder) startProbe(r magnolialedge.Registration, trip time.Duration, health string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if done, ok := f.pendingProbes[r.ID]; ok {
		return done
	}
	done := make(chan struct{})
	if !f.probeBudget.Spend(time.Now()) {
		f.cfg.Metrics.ProbesSkipped.Inc()
		close(done)
		return done
	}
	f.pendingProbes[r.ID] = done
	f.fleet.RecordLoadRequest(time.Now(), r.ID)
	go func() {
		f.probeUpstream(r, trip, health)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.pendingProbes, r.ID)
		close(done)
	}()
	return done
}

// takeReading asks over a pooled connection, or over a new one if that has died.
func (f *Forwarder) probeUpstream(r magnolialedge.Registration, trip time.Duration, health string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout+2*trip)
	defer cancel()
	if c, ok := f.cfg.Pool.Get(r.ID); ok {
		err := f.checkHealth(ctx, c, health)
		f.cfg.Pool.Put(c)
		if err == nil {
			return
		}
		if ctx.Err() != nil || errors.Is(err, link.ErrWrongInstance) {
			f.markUnreachable(r, err)
			return
		}
	}
	c, err := f.openConn(ctx, r)
	if err == nil {
		err = f.checkHealth(ctx, c, health)
		f.cfg.Pool.Put(c)
	}
	if err != nil {
		f.markUnreachable(r, err)
	}
}

func (f *Forwarder) openConn(ctx context.Context, r magnolialedge.Registration) (*link.Conn, error) {
	c, err := f.cfg.Pool.Open(ctx, r)
	if err != nil {
		return nil, err
	}
	f.cfg.Metrics.ConnsOpened.Inc()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet.RecordRoundTrip(r.ID, c.DialTime)
	return c, nil
}

func (f *Forwarder) checkHealth(ctx context.Context, c *link.Conn, health string) error {
	f.cfg.Metrics.Probes.Inc()
	reading, told, err := c.CheckHealth(ctx, c.Upstream.Address, health)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if told {
		f.fleet.RecordLoad(time.Now(), c.Upstream.ID, reading)
	} else {
		f.fleet.RecordLiveness(time.Now(), c.Upstream.ID)
	}
	return nil
}

func (f *Forwarder) withdrawProbe() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probeBudget.Spend(time.Now())
}

func (f *Forwarder) markUnreachable(r magnolialedge.Registration, err error) {
	f.mu.Lock()
	first := f.fleet.MarkUnreachable(time.Now(), r.ID)
	f.mu.Unlock()
	f.cfg.Pool.CloseIdle(r.ID)
	if first {
		f.cfg.Log.Log(event.UpstreamUnreachable, "upstream", r.ID, "service", r.Service, "address", r.Address, "err", err)
	}
}

// connect returns a connection that is good for a request: one that was asked
// just now, one that was proven of late, or a new one.
func (f *Forwarder) connect(ctx context.Context, to pick.Candidate, once bool, health string) (*link.Conn, error) {
	if c, ok := f.cfg.Pool.Get(to.ID); ok {
		if f.isConnFresh(ctx, c, to, once, health) {
			return c, nil
		}
	}
	short, cancel := context.WithTimeout(ctx, dialTimeout+dialRoundTrips*to.RoundTrip)
	defer cancel()
	return f.openConn(short, to.Registration)
}

// prove reports whether an unused connection is good for a request. One that
// isn't goes back or is closed.
func (f *Forwarder) isConnFresh(ctx context.Context, c *link.Conn, to pick.Candidate, once bool, health string) bool {
	life := connFreshFor
	if once {
		life = connFreshForNonIdempotent
	}
	if time.Since(c.LastResponseAt()) < life {
		return true
	}
	limit := probeTimeout
	if to.ReportsNoLoad {
		if !once {
			return true
		}
		limit = noLoadProbeTimeout + to.RoundTrip
	}
	short, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if f.withdrawProbe() && f.checkHealth(short, c, health) == nil {
		return true
	}
	c.Close()
	if !to.ReportsNoLoad {
		f.cfg.Pool.CloseIdle(to.ID)
	}
	return false
}

const (
	// openTimeout bounds the opening of a connection for a request, beyond
	// openTrips round trips.
	dialTimeout    = 150 * time.Millisecond
	dialRoundTrips = 3
)
