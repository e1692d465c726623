package node

import "github.com/prometheus/client_golang/prometheus"

// creditMetrics holds the metrics of the limits of client accounts.
type creditMetrics struct {
	messages *prometheus.CounterVec
	credits  *prometheus.CounterVec
	requests *prometheus.CounterVec
	wait     prometheus.Histogram
}

// newCreditMetrics returns metrics that are registered with r.
func newCreditMetrics(r prometheus.Registerer) *creditMetrics {
	m := &creditMetrics{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "magnolialedge", Name: "credit_messages_total",
			Help: "Messages about credits to other entries, by kind; lost ones had no reply.",
		}, []string{"kind"}),
		credits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "magnolialedge", Name: "credits_total",
			Help: "Credits of client accounts that this entry was granted and has returned.",
		}, []string{"change"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "magnolialedge", Name: "quota_refused_requests_total",
			Help: "Requests refused for the limit of their account, or because no owner replied.",
		}, []string{"cause"}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "magnolialedge", Name: "quota_wait_seconds",
			Help:    "Time that requests waited for credits.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 9),
		}),
	}
	r.MustRegister(m.messages, m.credits, m.requests, m.wait)
	return m
}
