package serve

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/pick"
	"magnolialedge/io/conn"
	"magnolialedge/io/event"
	"magnolialedge/io/link"
)

const (
	// maxProbeWait is how long a request waits for probe results beyond the
	// round-trip time.
	maxProbeWait = 8 * time.Millisecond
	// probeTimeout is how long an upstream may take to respond to a probe before it
	// counts as unreachable. probeUpstream adds two round-trip times.
	probeTimeout = 250 * time.Millisecond
	// noLoadProbeTimeout, plus one round-trip time, replaces probeTimeout in
	// verifyConn for an upstream that reports no load. Its health check may wait
	// for a slot, and opening a new connection is faster.
	noLoadProbeTimeout = 15 * time.Millisecond
	// maxUnverifiedAge is how long after its last response a connection is used
	// for an idempotent request without a health check.
	// maxUnverifiedAgeNonIdempotent applies to other requests.
	maxUnverifiedAge              = time.Second
	maxUnverifiedAgeNonIdempotent = 100 * time.Millisecond
)

// probeCandidates probes the load of candidates without a fresh reading and waits
// for the results, at most maxProbeWait beyond the longest round trip. Each
// upstream has at most one probe in progress, which all requests share. Remote
// candidates are probed only if the best candidate is remote, since their
// responses take longer. A probe opens a connection only to the best candidate.
func (f *Forwarder) probeCandidates(ctx context.Context, candidates []pick.Candidate, healthPath string) {
	var pending []<-chan struct{}
	maxRoundTrip := time.Duration(0)
	now := time.Now()
	for i, c := range candidates {
		if i > 0 && c.NeedsConn {
			continue
		}
		if !c.IsFresh(now) && (c.Local || !candidates[0].Local) {
			pending = append(pending, f.startProbe(c.Registration, c.RoundTrip, healthPath))
			maxRoundTrip = max(maxRoundTrip, c.RoundTrip)
		}
	}
	if len(pending) == 0 {
		return
	}
	timer := time.NewTimer(maxRoundTrip + maxProbeWait)
	defer timer.Stop()
	for _, done := range pending {
		select {
		case <-done:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// startProbe probes an upstream's load unless a probe is already in progress. The
// returned channel is closed when the probe ends, or at once if the upstream may not be
// probed or the probe budget is exhausted.
func (f *Forwarder) startProbe(r magnolialedge.Registration, roundTrip time.Duration, healthPath string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if done, ok := f.pendingProbes[r.ID]; ok {
		return done
	}
	done := make(chan struct{})
	if !f.fleet.MayProbe(time.Now(), r.ID) {
		close(done)
		return done
	}
	if !f.probeBudget.Spend(time.Now()) {
		f.cfg.Metrics.ProbesSkipped.Inc()
		close(done)
		return done
	}
	f.pendingProbes[r.ID] = done
	f.fleet.RecordProbe(time.Now(), r.ID)
	go func() {
		f.probeUpstream(r, roundTrip, healthPath)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.pendingProbes, r.ID)
		close(done)
	}()
	return done
}

// probeUpstream probes over a pooled connection, or over a new one if there is none or
// it fails. It marks the upstream as unreachable if it gets no response in time or the
// address belongs to another upstream.
func (f *Forwarder) probeUpstream(r magnolialedge.Registration, roundTrip time.Duration, healthPath string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout+2*roundTrip)
	defer cancel()
	if c, ok := f.cfg.Pool.Get(r); ok {
		err := f.checkHealth(ctx, c, healthPath)
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
		err = f.checkHealth(ctx, c, healthPath)
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

// checkHealth probes an upstream over c and records the load that it reports, or
// that it responds at all.
func (f *Forwarder) checkHealth(ctx context.Context, c *link.Conn, healthPath string) error {
	f.cfg.Metrics.Probes.Inc()
	sentAt := time.Now()
	report, err := c.CheckHealth(ctx, c.Upstream.Address, healthPath)
	if err != nil {
		return err
	}
	f.recordReport(c.Upstream, sentAt, "", report)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordContact(time.Now(), c)
	if report.HasLoad {
		f.fleet.RecordLoad(time.Now(), c.Upstream.ID, report.Reading)
	} else {
		f.fleet.RecordLiveness(time.Now(), c.Upstream.ID)
	}
	return nil
}

func (f *Forwarder) spendProbe() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probeBudget.Spend(time.Now())
}

// markUnreachable marks an upstream as unreachable, closes its unused connections
// and logs err if the upstream was reachable before.
func (f *Forwarder) markUnreachable(r magnolialedge.Registration, err error) {
	f.mu.Lock()
	now := time.Now()
	isNew := f.fleet.MarkUnreachable(now, r.ID)
	if !errors.Is(err, link.ErrWrongInstance) && !conn.IsBroken(err) {
		f.recordFailure(now, r)
	}
	f.mu.Unlock()
	f.cfg.Pool.CloseIdle(r.ID)
	if isNew {
		f.cfg.Log.Log(event.UpstreamUnreachable, "upstream", r.ID, "service", r.Service, "address", r.Address, "err", err)
	}
}

// UnreachableUpstreams returns the number of upstreams that did not respond when they were
// last tried.
func (f *Forwarder) UnreachableUpstreams() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet.UnreachableCount()
}

// connect returns a connection for a request: a pooled one on which the request was not
// refused and that passes verifyConn, or a new one.
func (f *Forwarder) connect(ctx context.Context, candidate pick.Candidate, requestID string, nonIdempotent bool, healthPath string) (*link.Conn, error) {
	if c, ok := f.cfg.Pool.Get(candidate.Registration); ok {
		switch {
		case c.HasRefused(requestID):
			c.Close()
		case f.verifyConn(ctx, c, candidate, nonIdempotent, healthPath):
			return c, nil
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout+dialRoundTrips*candidate.RoundTrip)
	defer cancel()
	return f.openConn(dialCtx, candidate.Registration)
}

// verifyConn reports whether an unused connection can carry a request: it was used
// recently, or a health check on it succeeds. For an idempotent request to an
// upstream that reports no load, the check is skipped. An upstream that announces a limit
// gets no check, which would count towards it. A connection that fails the
// check is closed, with the upstream's other unused ones if it reports load.
func (f *Forwarder) verifyConn(ctx context.Context, c *link.Conn, candidate pick.Candidate, nonIdempotent bool, healthPath string) bool {
	maxAge := maxUnverifiedAge
	if nonIdempotent {
		maxAge = maxUnverifiedAgeNonIdempotent
	}
	if time.Since(c.LastResponseAt()) < maxAge {
		return true
	}
	if candidate.IsLimited {
		c.Close()
		return false
	}
	timeout := probeTimeout
	if candidate.ReportsNoLoad {
		if !nonIdempotent {
			return true
		}
		timeout = noLoadProbeTimeout + candidate.RoundTrip
	}
	probeCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if f.spendProbe() && f.checkHealth(probeCtx, c, healthPath) == nil {
		return true
	}
	c.Close()
	if !candidate.ReportsNoLoad {
		f.cfg.Pool.CloseIdle(candidate.ID)
	}
	return false
}

const (
	// dialTimeout limits opening a connection for a request, in addition to
	// dialRoundTrips round trips.
	dialTimeout    = 150 * time.Millisecond
	dialRoundTrips = 3
)
