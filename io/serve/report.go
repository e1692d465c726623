package serve

import (
	"strconv"
	"strings"
	"time"

	"magnolialedge/io/event"
	"magnolialedge/io/front"
)

// report writes the request's log line and counts it.
func (x *exchange) report(a *front.Response) {
	took := time.Since(x.req.Arrived)
	result := "answered"
	switch {
	case x.errorKind != "":
		result = string(x.errorKind)
	case x.truncated:
		result = "cut"
	}
	m := x.f.cfg.Metrics
	m.Requests.WithLabelValues(x.match.Name, result).Inc()
	m.Latency.WithLabelValues(x.match.Name).Observe(took.Seconds())
	if x.queueWait > 0 {
		m.QueueWait.Observe(x.queueWait.Seconds())
	}
	x.f.cfg.Log.Log(event.RequestServed,
		"requestId", x.id,
		"route", x.match.Name,
		"service", x.pickReq.Service,
		"routing", x.f.Version(),
		"status", a.Status,
		"result", result,
		"tookMs", took.Milliseconds(),
		"waitedMs", x.queueWait.Milliseconds(),
		"limitMs", x.deadline.Sub(x.req.Arrived).Milliseconds(),
		"retryAfter", a.Header.Get("Retry-After"),
		"attempts", x.attemptsText(),
	)
}

// storyText writes each attempt as upstream:end:tookMs:readAgeMs:slowness:load.
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
