package pick

import (
	"slices"
	"strings"
	"time"

	"magnolialedge"
	"magnolialedge/core/stop"
)

// WakeUnservable wakes the waiters that no upstream may serve any longer, so that they are
// refused at once instead of at their timeout.
func (q *Queue) WakeUnservable(now time.Time, f *Fleet) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter) bool {
		if f.hasUsable(now, w.Request) {
			return false
		}
		w.Wake(WakeForCapacity)
		return true
	})
}

// WakeUnpermitted wakes the waiters that may no longer be sent before this entry stops, so that
// they are refused at once.
func (q *Queue) WakeUnpermitted(now time.Time, s stop.Schedule) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter) bool {
		if s.Permits(now, stop.Work{Deadline: w.Request.Deadline}) {
			return false
		}
		w.Wake(WakeForCapacity)
		return true
	})
}

// regionsKey identifies the allowed regions of a request, in their order.
func (req Request) regionsKey() string {
	if req.Regions == nil {
		return ""
	}
	return "\x00" + strings.Join(req.Regions, "\x00")
}

// sharesRegion reports whether two requests may need the same upstreams.
func (req Request) sharesRegion(other Request) bool {
	if req.Regions == nil || other.Regions == nil {
		return true
	}
	return slices.ContainsFunc(req.Regions, func(region string) bool { return magnolialedge.PermitsRegion(other.Regions, region) })
}

// withoutTried returns the request as if it had not been sent anywhere.
func (req Request) withoutTried() Request {
	req.Tried = nil
	return req
}
