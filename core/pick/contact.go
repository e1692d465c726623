package pick

import (
	"time"

	"magnolialedge"
	"magnolialedge/core/proc"
	"magnolialedge/core/reach"
)

// RecordContact records that an upstream responded, whatever the response was.
func (f *Fleet) RecordContact(now time.Time, id string) {
	if u, ok := f.byID[id]; ok {
		u.contactAt = now
	}
}

// contact returns the number of upstreams that could serve a request and did not respond when
// they were last tried. age is the time since any upstream of the service responded, or -1 if
// none has.
func (f *Fleet) contact(now time.Time, req Request) (unreachable int, age time.Duration) {
	age = -1
	p := f.newFilter(now, req)
	for _, u := range f.byService[req.Service] {
		if u.backoff > 0 && !u.isEvacuated && p.isAllowed(u) {
			unreachable++
		}
		if !u.contactAt.IsZero() && (age < 0 || now.Sub(u.contactAt) < age) {
			age = now.Sub(u.contactAt)
		}
	}
	return unreachable, age
}

// UnreachableCount returns the number of upstreams of all services that did not respond
// when they were last tried.
func (f *Fleet) UnreachableCount() int {
	n := 0
	for _, u := range f.byID {
		if u.backoff > 0 {
			n++
		}
	}
	return n
}

// HasUnreachable reports whether some upstream that could serve a request did not respond
// when it was last tried.
func (f *Fleet) HasUnreachable(req Request) bool {
	p := filter{regions: f.regionSet(req.Regions)}
	for _, u := range f.byService[req.Service] {
		if u.backoff > 0 && u.isInService() && p.isAllowed(u) {
			return true
		}
	}
	return false
}

// Census returns the numbers of upstreams and zones of a service, and of all services.
// Upstreams that are leaving or in an evacuated zone do not count.
func (f *Fleet) Census(service string) (ofService, ofAll reach.Census) {
	serviceZones, allZones := map[string]bool{}, map[string]bool{}
	for _, u := range f.byID {
		if !u.isInService() {
			continue
		}
		ofAll.Upstreams++
		allZones[u.Zone] = true
		if u.Service == service {
			ofService.Upstreams++
			serviceZones[u.Zone] = true
		}
	}
	ofService.Zones, ofAll.Zones = len(serviceZones), len(allZones)
	return ofService, ofAll
}

// LossProbeTarget returns a random upstream that may be probed to learn whether a service
// can be reached again, or false if there is none. With preferLocal it is one of this
// entry's region, if there is any.
func (f *Fleet) LossProbeTarget(now time.Time, service string, preferLocal bool) (magnolialedge.Registration, bool) {
	var local, all []magnolialedge.Registration
	p := filter{now: now}
	for _, u := range f.byService[service] {
		if u.Draining || !p.mayProbe(u) {
			continue
		}
		all = append(all, u.Registration)
		if u.distance != otherRegion {
			local = append(local, u.Registration)
		}
	}
	if preferLocal && len(local) > 0 {
		all = local
	}
	if len(all) == 0 {
		return magnolialedge.Registration{}, false
	}
	return all[f.rand.IntN(len(all))], true
}

// ResetFailures discards what this entry holds against the upstreams of a service,
// since its own links were at fault.
func (f *Fleet) ResetFailures(service string) {
	for _, u := range f.byService[service] {
		u.health = proc.Health{}
		u.failureRate = 0
		u.markReachable()
	}
}
