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
	case x.kind != "":
		result = string(x.kind)
	case x.cut:
		result = "cut"
	}
	m := x.f.cfg.Metrics
	m.Requests.WithLabelValues(x.match.Name, result).Inc()
	m.Latency.WithLabelValues(x.match.Name).Observe(took.Seconds())
	if x.waited > 0 {
		m.QueueWait.Observe(x.waited.Seconds())
	}
	x.f.cfg.Log.Log(event.RequestServed,
		"requestId", x.id,
		"route", x.match.Name,
		"service", x.need.Service,
		"routing", x.f.Version(),
		"status", a.Status,
		"result", result,
		"tookMs", took.Milliseconds(),
		"waitedMs", x.waited.Milliseconds(),
		"limitMs", x.deadline.Sub(x.req.Arrived).Milliseconds(),
		"retryAfter", a.Header.Get("Retry-After"),
		"attempts", x.storyText(),
	)
}

// storyText writes each attempt as upstream:end:tookMs:readAgeMs:slowness:load.
func (x *exchange) storyText() string {
	var b strings.Builder
	for i, s := range x.story {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(s.upstream + ":" + s.end)
		b.WriteString(":" + strconv.FormatInt(s.took.Milliseconds(), 10))
		b.WriteString(":" + strconv.FormatInt(s.readAge.Milliseconds(), 10))
		b.WriteString(":" + strconv.FormatFloat(s.slowness, 'f', 1, 64))
		b.WriteString(":" + strconv.FormatFloat(s.load, 'f', 1, 64))
	}
	return b.String()
}
