package serve

import (
	"time"

	"magnolialedge"
	"magnolialedge/core/route"
)

const (
	// startReadingTime is the time after the first routes within which load readings are
	// taken before requests ask for them, and startReadingInterval the time between
	// two rounds.
	startReadingTime     = 200 * time.Millisecond
	startReadingInterval = 20 * time.Millisecond
	// maxStartReadings limits the upstreams whose load is read. An entry uses few, and each
	// reading needs a new connection.
	maxStartReadings = 16
)

// readLoadsAtStart takes the load readings of the upstreams that this entry will use, as
// far as the probe budget allows. When all entries start together, the callers return at
// once, and the first requests would all go by no reading at all.
func (f *Forwarder) readLoadsAtStart() {
	ticker := time.NewTicker(startReadingInterval)
	defer ticker.Stop()
	left := maxStartReadings
	for end := time.Now().Add(startReadingTime); left > 0 && time.Now().Before(end); <-ticker.C {
		f.mu.Lock()
		now := time.Now()
		if f.closed {
			f.mu.Unlock()
			return
		}
		limit := min(left, f.probeBudget.Available(now))
		unread := f.fleet.UnreadUpstreams(now, routedServices(f.routes), limit)
		healthPaths := healthPaths(f.routes)
		f.mu.Unlock()
		left -= len(unread)
		for _, r := range unread {
			f.startProbe(r, 0, healthPaths[r.Service])
		}
	}
}

// routedServices returns the names of the configured services.
func routedServices(t *route.Table) []string {
	var names []string
	for _, s := range t.Config().Services {
		names = append(names, s.Name)
	}
	return names
}

func healthPaths(t *route.Table) map[string]string {
	paths := map[string]string{}
	for _, s := range t.Config().Services {
		paths[s.Name] = s.HealthPath
	}
	return paths
}

// setRoutes applies a configuration. The caller holds f.mu.
func (f *Forwarder) setRoutes(r magnolialedge.RoutingConfig) {
	isFirst := f.routes == nil
	f.routes = route.NewTable(r, f.routes)
	if isFirst && f.hasAdmission() {
		go f.readLoadsAtStart()
	}
}
