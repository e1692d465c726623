package pick

import "time"

// lateReserveShare is the fraction of a service's slots that is kept free of
// requests that cannot meet their latency target. Without a reserve, such requests
// occupy all slots during an overload, and each new one then waits until it cannot
// meet its target either.
const lateReserveShare = 0.33

// hasReserve reports whether the service has more free slots in the entry's region
// than the reserve. Upstreams that are too slow to meet the latency target of the
// request do not count; without any other there is nothing to reserve.
func (f *Fleet) hasReserve(now time.Time, req Request, s selection) bool {
	if req.LatencyTarget <= 0 {
		return true
	}
	total, free := 0.0, 0.0
	p := f.newFilter(now, req)
	for _, u := range f.byService[req.Service] {
		if u.distance == otherRegion || !p.admits(u) || !p.isWithinQuota(u) || isTooSlowForTarget(req, s.serviceTimeNanos*u.slowdownAt(now)) {
			continue
		}
		slots := float64(u.effectiveSlots(s.contention))
		total += slots
		free += max(0, slots-u.reportedLoad(now))
	}
	return total == 0 || free > lateReserveShare*total
}

// isTooSlowForTarget reports whether no request of this kind could meet its latency
// target at an upstream with the given service time.
func isTooSlowForTarget(req Request, serviceTimeNanos float64) bool {
	return serviceTimeNanos > float64(req.LatencyTarget)
}
