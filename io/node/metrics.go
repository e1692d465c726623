package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// registerGauges registers gauges for what this entry knows of the store and of the
// upstreams, so that entries that lag behind can be found by comparison.
func (n *Node) registerGauges() {
	n.credits.registerGauges(n.registry)
	n.memory.registerGauges(n.registry)
	n.registry.MustRegister(n.hearing.evidenceAge)
	gauges := []struct {
		name, help string
		value      func() float64
	}{
		{"routing_version", "Version of the routes in force.", func() float64 { return float64(n.forwarder.Version()) }},
		{"store_revision", "Revision of the store that the entry's items reflect.", func() float64 { return float64(n.follower.Revision()) }},
		{"store_era", "Number of times that the store was restored, as far as the entry knows.", func() float64 { return float64(n.follower.Era()) }},
		{"backup_streams", "Further entries from which this entry receives changes because its primary way does not confirm them.", func() float64 { return float64(n.follower.BackupStreams()) }},
		{"upstream_limits", "Upstreams that announce a limit on the requests from all entries.", func() float64 { return float64(n.forwarder.LimitedUpstreams()) }},
		{"upstreams_cold", "Upstreams that are cold and whose service limits the requests to them.", func() float64 { return float64(len(n.forwarder.ColdUpstreams())) }},
		{"upstreams_unreachable", "Upstreams that did not respond to this entry when it last tried them.", func() float64 { return float64(n.forwarder.UnreachableUpstreams()) }},
		{"evacuated_zones", "Evacuated availability zones.", func() float64 { return float64(len(n.evacuations.list())) }},
		{"admission_levels", "Services of which less urgent requests are refused.", func() float64 { return float64(len(n.forwarder.AdmissionLevels())) }},
		{"members_left_out", "Listed entries that resolve responses leave out because they do not respond.", func() float64 { return float64(len(n.hearing.silent())) }},
		{"isolated", "1 while this entry reaches no upstream.", func() float64 { return boolGauge(n.forwarder.IsIsolated()) }},
		{"store_age_seconds", "Time since the store was last reached, by the entry or by its source.", func() float64 { return n.follower.Staleness(time.Now()).Seconds() }},
	}
	for _, g := range gauges {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "magnolialedge", Name: g.name, Help: g.help}, g.value))
	}
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
