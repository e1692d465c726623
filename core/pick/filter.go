package pick

import (
	"slices"
	"time"

	"magnolialedge"
	"magnolialedge/core/proc"
)

// filter decides which upstreams may serve a request at one moment. Code that chooses or
// counts upstreams must use it. One with no regions set, as for probes, serves only isUsable
// and mayProbe.
type filter struct {
	now     time.Time
	regions regionSet
}

func (f *Fleet) newFilter(now time.Time, req Request) filter {
	return filter{now: now, regions: f.regionSet(req.Regions)}
}

// admits reports whether an upstream is usable, allowed and open.
func (p filter) admits(u *upstream) bool {
	return p.isUsable(u) && p.isAllowed(u) && p.isOpen(u)
}

// isUsable reports whether an upstream takes requests at all: it is in service, neither backed
// off after failed connections nor ejected, and did not ask this entry to back off.
func (p filter) isUsable(u *upstream) bool {
	return u.isInService() && !u.isPaused(p.now) && !p.now.Before(u.backoffUntil) && u.health.StateAt(p.now) != proc.Ejected
}

// isAllowed reports whether the request may be served in the region of an upstream.
func (p filter) isAllowed(u *upstream) bool {
	return p.regions&u.region != 0
}

// isOpen reports whether the limits of an upstream, the one that it announces and the one
// while it is cold, leave this entry a share.
func (p filter) isOpen(u *upstream) bool {
	return (u.quota == nil || u.quota.IsOpen(p.now)) && (!u.isCold(p.now) || u.cold.IsOpen(p.now))
}

// isWithinQuota reports whether the same limits permit a request from this entry now.
func (p filter) isWithinQuota(u *upstream) bool {
	return (u.quota == nil || u.quota.IsAvailable(p.now)) && (!u.isCold(p.now) || u.cold.IsAvailable(p.now))
}

// mayProbe reports whether a probe may be sent to an upstream, which is a request too.
func (p filter) mayProbe(u *upstream) bool {
	return !u.isLimited(p.now) && !u.isLeaving && !u.isEvacuated && !u.isPaused(p.now)
}

// isInService reports whether an upstream gets requests as far as its operators and itself
// decide: it is not draining, leaving or in an evacuated zone.
func (u *upstream) isInService() bool {
	return !u.Draining && !u.isEvacuated && !u.isLeaving
}

// SetEvacuated begins or ends the evacuation of an availability zone and reports whether this
// is a change. The upstreams of an evacuated zone are not usable.
func (f *Fleet) SetEvacuated(zone string, active bool) bool {
	if f.evacuated[zone] == active {
		return false
	}
	if active {
		f.evacuated[zone] = true
	} else {
		delete(f.evacuated, zone)
	}
	for _, u := range f.byID {
		if u.Zone == zone {
			u.isEvacuated = active
		}
	}
	return true
}

// IsEvacuated reports whether an availability zone is evacuated.
func (f *Fleet) IsEvacuated(zone string) bool {
	return f.evacuated[zone]
}

// Permits reports whether a request may be sent to an upstream as far as evacuations and the
// allowed regions decide.
func (f *Fleet) Permits(r magnolialedge.Registration, req Request) bool {
	return !f.evacuated[r.Zone] && magnolialedge.PermitsRegion(req.Regions, f.cfg.Regions[r.Zone])
}

// hasUsable reports whether the service has an upstream that may serve the request and to
// which it was not sent before.
func (f *Fleet) hasUsable(now time.Time, req Request) bool {
	p := f.newFilter(now, req)
	return slices.ContainsFunc(f.byService[req.Service], func(u *upstream) bool {
		return p.admits(u) && !slices.Contains(req.Tried, u.ID)
	})
}
