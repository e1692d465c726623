package pick

import "time"

const (
	// newcomerWindow is the time after its registration for which an upstream
	// without any request from this entry is admitted.
	newcomerWindow = 8 * time.Second
	// newcomerInterval is the shortest time between two requests of one service
	// that admit a newcomer, so that several newcomers, which may still be
	// slow, do not receive all requests at once.
	newcomerInterval = 100 * time.Millisecond
)

// admitsNewcomer reports whether an upstream precedes all others because it
// registered a short time ago and has received no request from this entry. The
// cost alone would keep requests on the upstreams that this entry already uses.
// Upstreams of other zones are left to the entries there, unless the entry's own
// zone has none.
func (f *Fleet) admitsNewcomer(now time.Time, u *upstream) bool {
	if !u.isNewcomer || now.Sub(u.registeredAt) > newcomerWindow {
		return false
	}
	if u.distance == otherRegion {
		return false
	}
	// Only the holders of a share may send to a cold upstream, whatever their zone.
	if u.distance == sameRegion && !u.isCold(now) && f.hasSameZoneUpstream(u.Service) {
		return false
	}
	return now.Sub(f.newcomerAdmittedAt[u.Service]) >= newcomerInterval
}

// hasSameZoneUpstream reports whether a service has an upstream in the entry's
// zone, unless the zone is evacuated.
func (f *Fleet) hasSameZoneUpstream(service string) bool {
	for _, u := range f.byService[service] {
		if u.distance == sameZone && !u.isEvacuated {
			return true
		}
	}
	return false
}
