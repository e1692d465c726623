package serve

import (
	"math/rand/v2"
	"time"

	"magnolialedge"
	"magnolialedge/core/pick"
	"magnolialedge/core/reach"
	"magnolialedge/io/event"
	"magnolialedge/io/link"
)

const (
	// lossProbeInterval is the average time between two probes of a service whose
	// upstreams cannot be reached. Half of the time is random, because many entries may
	// have lost the same links.
	lossProbeInterval = 500 * time.Millisecond
	// confirmProbeInterval is the time between two probes once an upstream responds.
	confirmProbeInterval = 100 * time.Millisecond
)

// isLost reports whether the links to the upstreams of a service are lost.
func (f *Forwarder) isLost(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reach.StateAt(time.Now(), service) == reach.Lost
}

// allowsDirect reports whether the next request for a service is sent by this entry.
func (f *Forwarder) allowsDirect(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reach.AllowsDirect(time.Now(), service)
}

// hasUnreachable reports whether some upstream that could serve a request did not respond
// when it was last tried.
func (f *Forwarder) hasUnreachable(req pick.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet.HasUnreachable(req)
}

// recordContact records that an upstream responded on a connection. The caller holds
// f.mu.
func (f *Forwarder) recordContact(now time.Time, c *link.Conn) {
	f.fleet.RecordContact(now, c.Upstream.ID)
	census := reach.Census{}
	if f.reach.StateAt(now, c.Upstream.Service) == reach.Lost {
		census, _ = f.fleet.Census(c.Upstream.Service)
	}
	if change, ok := f.reach.RecordResponse(now, c.OpenedAt(), reachUpstream(c.Upstream), census); ok {
		f.applyReachChange(change)
	}
	f.announceIsolation()
}

// recordFailure records that an upstream did not respond, unless its zone is evacuated. The
// caller holds f.mu.
func (f *Forwarder) recordFailure(now time.Time, r magnolialedge.Registration) {
	if f.fleet.IsEvacuated(r.Zone) {
		return
	}
	service, all := f.fleet.Census(r.Service)
	for _, change := range f.reach.RecordFailure(now, reachUpstream(r), service, all) {
		f.applyReachChange(change)
	}
	f.announceIsolation()
}

func reachUpstream(r magnolialedge.Registration) reach.Upstream {
	return reach.Upstream{ID: r.ID, Service: r.Service, Zone: r.Zone}
}

// applyReachChange logs a change of the links to a service and acts on it. The caller
// holds f.mu.
func (f *Forwarder) applyReachChange(c reach.Change) {
	fields := []any{"service", c.Service, "failed", c.Failed, "contactAgeMs", contactAgeMs(c.ResponseAge)}
	switch c.State {
	case reach.Lost:
		f.cfg.Log.Log(event.UpstreamsLost, fields...)
		if q, ok := f.queues[c.Service]; ok {
			q.WakeAll()
		}
		if !f.lossProbes[c.Service] {
			f.lossProbes[c.Service] = true
			go f.probeUntilReached(c.Service)
		}
	case reach.Returning:
		f.cfg.Log.Log(event.UpstreamsReturning, fields...)
		f.fleet.ResetFailures(c.Service)
	}
}

// announceIsolation notifies of a change of whether this entry reaches any upstream. The
// caller holds f.mu.
func (f *Forwarder) announceIsolation() {
	if isIsolated := f.reach.IsIsolated(); isIsolated != f.isIsolated {
		f.isIsolated = isIsolated
		f.cfg.Log.Log(event.IsolationChanged, "isolated", isIsolated)
		if f.cfg.OnIsolated != nil {
			f.cfg.OnIsolated(isIsolated)
		}
	}
}

// IsIsolated reports whether this entry reaches no upstream.
func (f *Forwarder) IsIsolated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isIsolated
}

// Close ends the probes of services that cannot be reached.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	if f.coldTimer != nil {
		f.coldTimer.Stop()
	}
}

// probeUntilReached probes the upstreams of a service, one at a time, over new
// connections, until the service is reached again. Requests may not show it, since callers
// are steered to other entries.
func (f *Forwarder) probeUntilReached(service string) {
	interval := lossProbeInterval
	for attempt := 0; ; attempt++ {
		time.Sleep(interval/2 + rand.N(interval))
		r, state := f.nextLossProbe(time.Now(), service, attempt)
		switch state {
		case probeEnded:
			return
		case probeSkipped:
			continue
		}
		err := f.checkNewConn(r, f.healthPathOf(service, "/"))
		interval = lossProbeInterval
		switch {
		case err != nil:
			f.markUnreachable(r, err)
		case f.isLost(service):
			interval = confirmProbeInterval
		}
	}
}

// lossProbe states what probeUntilReached does next.
type lossProbe int

const (
	probeNow lossProbe = iota
	probeSkipped
	probeEnded
)

// nextLossProbe returns the upstream to probe.
func (f *Forwarder) nextLossProbe(now time.Time, service string, attempt int) (magnolialedge.Registration, lossProbe) {
	f.mu.Lock()
	defer f.mu.Unlock()
	isReached := f.reach.StateAt(now, service) == reach.Reached && !f.reach.IsIsolated()
	if f.closed || isReached {
		delete(f.lossProbes, service)
		return magnolialedge.Registration{}, probeEnded
	}
	r, ok := f.fleet.LossProbeTarget(now, service, attempt%2 == 0)
	if !ok {
		if change, changed := f.reach.ReturnUnproven(now, service); changed {
			f.applyReachChange(change)
		}
		f.announceIsolation()
		return r, probeSkipped
	}
	if !f.probeBudget.Spend(now) {
		f.cfg.Metrics.ProbesSkipped.Inc()
		return r, probeSkipped
	}
	return r, probeNow
}
