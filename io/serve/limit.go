package serve

import (
	"time"

	"magnolialedge"
	"magnolialedge/io/event"
	"magnolialedge/io/link"
)

// invalidLimitLogInterval is the shortest time between two log lines about invalid
// limits of one upstream.
const invalidLimitLogInterval = time.Minute

// recordLimit logs a limit that an upstream names, changes or no longer names.
func (f *Forwarder) recordLimit(r magnolialedge.Registration, report link.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if report.LimitErr != nil {
		f.logInvalidLimit(time.Now(), r, report.LimitErr)
		return
	}
	known, isKnown := f.limits[r.ID]
	switch {
	case report.Limit.IsSet && (!isKnown || known != report.Limit.PerSecond):
		f.limits[r.ID] = report.Limit.PerSecond
		f.cfg.Log.Log(event.UpstreamLimited, "upstream", r.ID, "service", r.Service, "limit", report.Limit.PerSecond)
	case !report.Limit.IsSet && isKnown:
		delete(f.limits, r.ID)
		f.cfg.Log.Log(event.UpstreamLimitEnded, "upstream", r.ID, "service", r.Service)
	}
}

// logInvalidLimit logs an invalid limit at most once per invalidLimitLogInterval. The
// caller holds f.mu.
func (f *Forwarder) logInvalidLimit(now time.Time, r magnolialedge.Registration, err error) {
	if now.Sub(f.invalidLimitLoggedAt[r.ID]) < invalidLimitLogInterval {
		return
	}
	f.invalidLimitLoggedAt[r.ID] = now
	f.cfg.Log.Log(event.UpstreamLimitInvalid, "upstream", r.ID, "service", r.Service, "err", err)
}
