package call

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the request metrics of callers' traffic.
type Metrics struct {
	Requests      *prometheus.CounterVec
	Latency       *prometheus.HistogramVec
	Hedges        *prometheus.CounterVec
	Stalls        *prometheus.CounterVec
	UpstreamsLost *prometheus.CounterVec
	InFlight      prometheus.Gauge
}

// NewMetrics returns Metrics registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "magnolialedge", Name: name, Help: help}, labels)
		r.MustRegister(c)
		return c
	}
	m := &Metrics{
		Requests:      counter("requests_total", "Requests by service, kind and outcome; an upstream's answer has no kind.", "service", "kind", "outcome"),
		Hedges:        counter("hedges_total", "Second attempts sent beside a first one.", "service"),
		Stalls:        counter("stalls_total", "Attempts without any sign of life.", "service"),
		UpstreamsLost: counter("upstreams_lost_total", "Connections that broke after a request was written.", "service"),
		Latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "magnolialedge",
			Name:      "request_seconds",
			Help:      "Time from a request's head to the end of its answer.",
			Buckets:   prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"service"}),
		InFlight: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "magnolialedge", Name: "requests_in_flight", Help: "Requests of callers in flight."}),
	}
	r.MustRegister(m.Latency, m.InFlight)
	return m
}
