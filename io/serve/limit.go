package serve

import (
	"time"

	"magnolialedge"
	"magnolialedge/core/pick"
	"magnolialedge/io/event"
	"magnolialedge/io/link"
)

// recordLimit applies what the response to a request sent at sentAt says about the limit
// of an upstream. If this entry shares the limit, it tells the others when the limit
// begins and ends, because those without a share send nothing that could tell them.
func (f *Forwarder) recordLimit(r magnolialedge.Registration, sentAt time.Time, report link.Report) {
	f.mu.Lock()
	now := time.Now()
	if report.LimitErr != nil {
		f.logInvalidNotice(now, r, report.LimitErr)
		f.mu.Unlock()
		return
	}
	rateBefore, _ := f.fleet.QuotaRate(r.ID)
	change := f.fleet.RecordLimit(now, r, sentAt, report.Limit)
	rate, _ := f.fleet.QuotaRate(r.ID)
	f.mu.Unlock()
	f.logLimit(r, change, report.Limit, rate, "response")
	hasShare := rate > 0 || rateBefore > 0
	if hasShare && (change == pick.LimitBegun || change == pick.LimitEnded) {
		f.cfg.ReportLimit(r, report.Limit)
	}
}

// RecordPeerLimit applies what another entry says about the limit of the run of an
// upstream that started at startedAt, in Unix milliseconds.
func (f *Forwarder) RecordPeerLimit(id string, startedAt int64, limit magnolialedge.RateLimit) {
	f.mu.Lock()
	change := f.fleet.RecordPeerLimit(time.Now(), id, startedAt, limit)
	rate, _ := f.fleet.QuotaRate(id)
	r, _ := f.fleet.Find(id)
	f.mu.Unlock()
	f.logLimit(r, change, limit, rate, "peer")
}

// LimitedUpstreams returns the number of upstreams that announce a limit.
func (f *Forwarder) LimitedUpstreams() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet.LimitedCount()
}

// logLimit logs a change of a limit. rate is the part of it that this entry may use.
func (f *Forwarder) logLimit(r magnolialedge.Registration, change pick.LimitChange, limit magnolialedge.RateLimit, rate float64, from string) {
	switch change {
	case pick.LimitBegun, pick.LimitChanged:
		f.cfg.Log.Log(event.UpstreamLimited, "upstream", r.ID, "service", r.Service, "limit", limit.PerSecond, "ownRate", rate, "from", from)
	case pick.LimitEnded:
		f.cfg.Log.Log(event.UpstreamLimitEnded, "upstream", r.ID, "service", r.Service, "from", from)
	}
}
