package serve

import (
	"strconv"
	"strings"
	"time"

	"magnolialedge/io/event"
	"magnolialedge/io/front"
)

// report logs the request and updates the metrics.
func (x *exchange) report(resp *front.Response) {
	elapsed := time.Since(x.req.Arrived)
	result := "answered"
	switch {
	case x.errorKind != "":
		result = string(x.errorKind)
	case x.truncated:
		result = "cut"
	}
	m := x.f.cfg.Metrics
	m.Requests.WithLabelValues(x.match.Name, result).Inc()
	m.Latency.WithLabelValues(x.match.Name).Observe(elapsed.Seconds())
	if x.queueWait > 0 {
		m.QueueWait.Observe(x.queueWait.Seconds())
	}
	fields := []any{
		"requestId", x.id,
		"route", x.match.Name,
		"service", x.pickReq.Service,
		"routing", x.f.Version(),
		"status", resp.Status,
		"result", result,
		"tookMs", elapsed.Milliseconds(),
		"waitedMs", x.queueWait.Milliseconds(),
		"limitMs", x.deadline.Sub(x.req.Arrived).Milliseconds(),
		"retryAfter", resp.Header.Get("Retry-After"),
		"attempts", x.attemptsText(),
	}
	if x.identity.account != nil && x.handover == nil {
		x.f.countAccount(x.identity.account.Name)
	}
	if x.identity.account != nil {
		fields = append(fields, "account", x.identity.account.Name)
	}
	if x.identity.fault != "" {
		fields = append(fields, "keyFault", string(x.identity.fault))
	}
	if x.handover != nil {
		fields = append(fields, "handedBy", x.handover.From, "handedRouting", x.handover.Version)
	}
	if x.pickReq.Regions != nil {
		fields = append(fields, "regions", strings.Join(x.pickReq.Regions, ","))
	}
	fields = append(fields, x.quotaFields()...)
	x.f.cfg.Log.Log(event.RequestServed, append(fields, x.shortageFields()...)...)
}

// shortageFields returns the log fields with the capacity for which the request was
// rejected, or none.
func (x *exchange) shortageFields() []any {
	s := x.shortage
	if s == nil {
		return nil
	}
	fields := []any{
		"usable", s.Usable,
		"freeSlots", s.FreeSlots,
		"limited", s.Limited,
		"unreachable", s.Unreachable,
		"contactAgeMs", contactAgeMs(s.ContactAge),
		"queued", x.queued,
		"expectedWaitMs", s.ExpectedWait.Milliseconds(),
		"serviceMs", s.ServiceTime.Milliseconds(),
		"readingAgeMs", s.ReadingAge.Milliseconds(),
		"notAdmitted", x.isNotAdmitted,
	}
	if s.Evacuated > 0 {
		fields = append(fields, "evacuated", s.Evacuated)
	}
	if s.Disallowed > 0 {
		fields = append(fields, "disallowed", s.Disallowed)
	}
	return fields
}

// contactAgeMs returns the age in milliseconds, or -1 for one that is negative.
func contactAgeMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// attemptsText formats each attempt as
// upstream:end:tookMs:readingAgeMs:slowness:load, separated by spaces.
func (x *exchange) attemptsText() string {
	var b strings.Builder
	for i, s := range x.summaries {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(s.upstream + ":" + s.status)
		b.WriteString(":" + strconv.FormatInt(s.duration.Milliseconds(), 10))
		b.WriteString(":" + strconv.FormatInt(s.loadAge.Milliseconds(), 10))
		b.WriteString(":" + strconv.FormatFloat(s.slowdown, 'f', 1, 64))
		b.WriteString(":" + strconv.FormatFloat(s.load, 'f', 1, 64))
	}
	return b.String()
}
