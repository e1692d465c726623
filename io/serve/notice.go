package serve

import (
	"time"

	"magnolialedge"
	"magnolialedge/io/event"
	"magnolialedge/io/link"
)

// invalidNoticeLogInterval is the shortest time between two log lines about invalid
// headers of one upstream.
const invalidNoticeLogInterval = time.Minute

// recordReport applies what the response to a request sent at sentAt says about further
// requests to an upstream. requestID is empty for a health check.
func (f *Forwarder) recordReport(r magnolialedge.Registration, sentAt time.Time, requestID string, report link.Report) {
	f.recordLimit(r, sentAt, report)
	if report.HasCold {
		f.recordCold(r, sentAt, report.ColdRemaining)
	}
	if report.NoticeErr != nil {
		f.mu.Lock()
		f.logInvalidNotice(time.Now(), r, report.NoticeErr)
		f.mu.Unlock()
	}
	if report.IsLeaving {
		f.recordLeaving(r, requestID)
	}
	if report.RetryAfter > 0 {
		f.recordRetryAfter(r, requestID, report.RetryAfter)
	}
}

func (f *Forwarder) recordLeaving(r magnolialedge.Registration, requestID string) {
	f.mu.Lock()
	isNew := f.fleet.RecordLeaving(r)
	f.mu.Unlock()
	if !isNew {
		return
	}
	f.cfg.Pool.CloseIdle(r.ID)
	f.cfg.Log.Log(event.UpstreamDraining, "service", r.Service, "upstream", r.ID, "requestId", requestID, "from", "response")
}

func (f *Forwarder) recordRetryAfter(r magnolialedge.Registration, requestID string, wait time.Duration) {
	f.mu.Lock()
	isNew := f.fleet.RecordRetryAfter(time.Now(), r, wait)
	f.mu.Unlock()
	if isNew {
		f.cfg.Log.Log(event.UpstreamPaused, "service", r.Service, "upstream", r.ID, "requestId", requestID, "retryAfterMs", wait.Milliseconds())
	}
}

// logInvalidNotice logs an invalid header at most once per invalidNoticeLogInterval and
// upstream. The caller holds f.mu.
func (f *Forwarder) logInvalidNotice(now time.Time, r magnolialedge.Registration, err error) {
	if now.Sub(f.invalidNoticeLoggedAt[r.ID]) < invalidNoticeLogInterval {
		return
	}
	f.invalidNoticeLoggedAt[r.ID] = now
	f.cfg.Log.Log(event.UpstreamNoticeInvalid, "upstream", r.ID, "service", r.Service, "err", err)
}
