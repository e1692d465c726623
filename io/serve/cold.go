package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/pick"
	"magnolialedge/io/event"
)

var errInvalidColdTime = errors.New("the registered cold time is negative or too long")

// checkColdTime logs a registered cold time that is ignored. The caller holds f.mu.
func (f *Forwarder) checkColdTime(r magnolialedge.Registration) {
	if r.WarmUpRemaining < 0 || r.WarmUpRemaining > pick.MaxColdTime {
		f.logInvalidNotice(time.Now(), r, errors.Wrapf(errInvalidColdTime, "%s", r.WarmUpRemaining))
	}
}

// setColdLimits applies the limits of cold upstreams of a configuration. The caller holds
// f.mu.
func (f *Forwarder) setColdLimits(c magnolialedge.RoutingConfig) {
	limits := map[string]float64{}
	for _, s := range c.Services {
		if s.ColdPerSecond > 0 {
			limits[s.Name] = s.ColdPerSecond
		}
	}
	f.fleet.SetColdLimits(time.Now(), limits)
	f.applyColdChanges("configuration")
}

// recordCold applies what the response to a health check that was sent at sentAt says
// about the cold time of an upstream, and tells the other entries if this one did not know.
func (f *Forwarder) recordCold(r magnolialedge.Registration, sentAt time.Time, remaining time.Duration) {
	f.mu.Lock()
	isNew := f.fleet.RecordCold(time.Now(), r, sentAt, remaining)
	f.applyColdChanges("response")
	f.mu.Unlock()
	if isNew && f.cfg.ReportCold != nil {
		f.cfg.ReportCold(r, remaining)
	}
}

// RecordPeerCold applies what another entry says about the remaining cold time of the run
// of an upstream that started at startedAt, in Unix milliseconds; 0 ends it.
func (f *Forwarder) RecordPeerCold(id string, startedAt int64, remaining time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet.RecordPeerCold(time.Now(), id, startedAt, remaining)
	f.applyColdChanges("peer")
}

// ColdUpstreams returns the upstreams that are cold and have a limit.
func (f *Forwarder) ColdUpstreams() []pick.ColdChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet.ColdUpstreams(time.Now())
}

// applyColdChanges logs the cold times that began or ended, dispatches the waiting requests
// of their services, and waits for the next end. from names the source of the change in the log.
// The caller holds f.mu.
func (f *Forwarder) applyColdChanges(from string) {
	changes, next := f.fleet.ColdChanges(time.Now())
	services := map[string]bool{}
	for _, c := range changes {
		services[c.Service] = true
		f.logCold(c, from)
	}
	for service := range services {
		f.dispatchQueue(service)
	}
	if f.coldTimer != nil {
		f.coldTimer.Stop()
		f.coldTimer = nil
	}
	if !next.IsZero() && !f.closed {
		f.coldTimer = time.AfterFunc(time.Until(next), f.endColdTimes)
	}
}

// endColdTimes ends the limits of the upstreams whose cold time is over.
func (f *Forwarder) endColdTimes() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyColdChanges("time")
}

func (f *Forwarder) logCold(c pick.ColdChange, from string) {
	if !c.IsCold {
		f.cfg.Log.Log(event.UpstreamColdEnded, "upstream", c.ID, "service", c.Service, "from", from)
		return
	}
	f.cfg.Log.Log(event.UpstreamCold, "upstream", c.ID, "service", c.Service, "remainingMs", c.Remaining.Milliseconds(), "ownRate", c.Rate, "from", from)
}
