package serve

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of a Forwarder.
type Metrics struct {
	Requests    *prometheus.CounterVec
	Attempts    *prometheus.CounterVec
	Latency     *prometheus.HistogramVec
	QueueWait   prometheus.Histogram
	ConnsOpened prometheus.Counter
	Probes      prometheus.Counter
	// AccountRequests counts callers' requests by client account.
	AccountRequests *prometheus.CounterVec
	// Handovers counts the requests that were handed to other entries.
	Handovers *prometheus.CounterVec
	// ProbesSkipped counts probes that the probe budget did not allow.
	ProbesSkipped prometheus.Counter
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "magnolialedge", Name: "routed_requests_total",
			Help: "Requests by route and what became of them.",
		}, []string{"route", "result"}),
		Attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "magnolialedge", Name: "routed_attempts_total",
			Help: "Attempts by service and how they ended.",
		}, []string{"service", "end"}),
		AccountRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "magnolialedge", Name: "account_requests_total",
			Help: "Requests of callers by client account; `other` holds all but the 100 accounts with most requests.",
		}, []string{"account"}),
		Handovers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "magnolialedge", Name: "handovers_total",
			Help: "Requests handed to other entries, by service and how that ended.",
		}, []string{"service", "end"}),
		Latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "magnolialedge", Name: "routed_request_seconds",
			Help:    "Time from a request's head to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"route"}),
		QueueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "magnolialedge", Name: "routed_wait_seconds",
			Help:    "Time that requests waited for room.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}),
		ConnsOpened: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "magnolialedge", Name: "upstream_connections_opened_total",
			Help: "Connections opened to upstreams.",
		}),
		Probes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "magnolialedge", Name: "upstream_readings_total",
			Help: "Readings of load asked of upstreams.",
		}),
		ProbesSkipped: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "magnolialedge", Name: "upstream_readings_spared_total",
			Help: "Readings that the budget of readings did not allow.",
		}),
	}
	r.MustRegister(m.Requests, m.Attempts, m.Latency, m.QueueWait, m.ConnsOpened, m.Probes, m.ProbesSkipped, m.Handovers, m.AccountRequests)
	return m
}

// formatSeconds formats a duration for Retry-After, in seconds with three
// decimals.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
