package pick

import (
	"maps"
	"time"

	"magnolialedge"
)

// notice is what one run of an upstream says in its responses about further requests.
// The store may contradict it for a while, or for good if it was restored from a copy.
type notice struct {
	// isLeaving is set once the upstream says that it is leaving.
	isLeaving bool
	// pausedUntil is the time until which the upstream asked this entry to back off.
	pausedUntil time.Time
	// isReturning is set from a pause until the upstream has executed a request again.
	isReturning bool
	// quota is set while the upstream announces a limit.
	quota *quota
	// coldUntil is the end of the cold time, and cold its limit, or nil if the service has
	// none or the cold time is over.
	coldUntil time.Time
	cold      *cold
}

// formerNotice is the notice of an upstream that was removed.
type formerNotice struct {
	notice
	run       magnolialedge.Registration
	removedAt time.Time
}

// noticeMemory is how long the notice of a removed upstream is kept, in case the same
// run is registered again.
const noticeMemory = 10 * time.Minute

// keepNotice keeps the notice of an upstream that is removed.
func (f *Fleet) keepNotice(now time.Time, u *upstream) {
	maps.DeleteFunc(f.formerNotices, func(_ string, n formerNotice) bool { return now.Sub(n.removedAt) > noticeMemory })
	if u.notice != (notice{}) {
		f.formerNotices[u.ID] = formerNotice{notice: u.notice, run: u.Registration, removedAt: now}
	}
}

// restoreNotice applies the notice of an upstream that is registered again.
func (f *Fleet) restoreNotice(u *upstream) {
	former, ok := f.formerNotices[u.ID]
	if ok && former.run.IsSameRun(u.Registration) {
		u.notice = former.notice
	}
	delete(f.formerNotices, u.ID)
}

// runOf returns the upstream if r is its present run, or nil.
func (f *Fleet) runOf(r magnolialedge.Registration) *upstream {
	u, ok := f.byID[r.ID]
	if !ok || !u.IsSameRun(r) {
		return nil
	}
	return u
}

// RecordLeaving records that a run of an upstream says that it is leaving, which ends
// new requests to it. It reports whether this was not known.
func (f *Fleet) RecordLeaving(r magnolialedge.Registration) bool {
	u := f.runOf(r)
	if u == nil || u.isLeaving {
		return false
	}
	u.isLeaving = true
	return true
}

// RecordRetryAfter records that a run of an upstream asks this entry to back off.
// Afterwards it gets one request at a time until it has executed one. RecordRetryAfter
// reports whether the upstream was not paused before.
func (f *Fleet) RecordRetryAfter(now time.Time, r magnolialedge.Registration, wait time.Duration) bool {
	u := f.runOf(r)
	if u == nil {
		return false
	}
	isNew := !u.isPaused(now)
	if until := now.Add(wait); until.After(u.pausedUntil) {
		u.pausedUntil = until
	}
	u.isReturning = true
	return isNew
}

// MayProbe reports whether a probe may be sent to an upstream. None is sent to one that is
// leaving, is in an evacuated zone, asks to back off, announces a limit, or is cold with a
// limit.
func (f *Fleet) MayProbe(now time.Time, id string) bool {
	u, ok := f.byID[id]
	return ok && filter{now: now}.mayProbe(u)
}

// recordExecution records that the upstream executed a request that was sent at sentAt.
// One that was sent before the pause does not show that it takes requests again.
func (n *notice) recordExecution(sentAt time.Time) {
	if !sentAt.Before(n.pausedUntil) {
		n.isReturning = false
	}
}

func (n *notice) isPaused(now time.Time) bool {
	return now.Before(n.pausedUntil)
}

// earliestReturn returns the time until the first of the paused upstreams that may serve a
// request takes requests again, and false if none is paused.
func (f *Fleet) earliestReturn(now time.Time, req Request) (time.Duration, bool) {
	wait, found := time.Duration(0), false
	p := f.newFilter(now, req)
	for _, u := range f.byService[req.Service] {
		if !u.isInService() || !p.isAllowed(u) || !u.isPaused(now) {
			continue
		}
		if left := u.pausedUntil.Sub(now); !found || left < wait {
			wait, found = left, true
		}
	}
	return wait, found
}
