package node

import (
	"maps"
	"slices"
	"sync"

	"magnolialedge"
	"magnolialedge/io/event"
)

// evacuatedZone is an evacuated availability zone as the dump shows it.
type evacuatedZone struct {
	Zone string `json:"zone"`
	// Revision is the revision of the store with which the evacuation began or was repeated.
	Revision int64 `json:"revision"`
}

// evacuations holds the evacuated availability zones.
type evacuations struct {
	mu sync.Mutex
	// revisions holds the revision of each evacuated zone, and ignored the unknown zones
	// that have been logged.
	revisions map[string]int64
	ignored   map[string]bool
}

func newEvacuations() *evacuations {
	return &evacuations{revisions: map[string]int64{}, ignored: map[string]bool{}}
}

// record records the beginning, the repetition or the end of an evacuation.
func (e *evacuations) record(ev magnolialedge.Evacuation, revision int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ev.Active {
		e.revisions[ev.Zone] = revision
		return
	}
	delete(e.revisions, ev.Zone)
}

// maxIgnoredZones limits the unknown zones that are remembered.
const maxIgnoredZones = 1024

// ignore reports whether an unknown zone is ignored for the first time.
func (e *evacuations) ignore(zone string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ignored[zone] || len(e.ignored) >= maxIgnoredZones {
		return false
	}
	e.ignored[zone] = true
	return true
}

// list returns the evacuated zones in alphabetical order.
func (e *evacuations) list() []evacuatedZone {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []evacuatedZone{}
	for _, zone := range slices.Sorted(maps.Keys(e.revisions)) {
		out = append(out, evacuatedZone{Zone: zone, Revision: e.revisions[zone]})
	}
	return out
}

// applyEvacuation applies the beginning or the end of an evacuation. An unknown zone is ignored.
func (n *Node) applyEvacuation(ev magnolialedge.Evacuation, revision int64) {
	if _, ok := n.settings.Regions[ev.Zone]; !ok {
		if ev.Active && n.evacuations.ignore(ev.Zone) {
			n.log.Log(event.EvacuationIgnored, "zone", ev.Zone, "revision", revision)
		}
		return
	}
	n.evacuations.record(ev, revision)
	if !n.forwarder.SetEvacuated(ev.Zone, ev.Active) {
		return
	}
	if ev.Active {
		n.log.Log(event.ZoneEvacuated, "zone", ev.Zone, "revision", revision)
		return
	}
	n.log.Log(event.ZoneReturned, "zone", ev.Zone, "revision", revision)
}
