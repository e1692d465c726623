package pick

import (
	"slices"
	"time"

	"magnolialedge/core/admit"
	"magnolialedge/core/proc"
)

const (
	// maxWaitShare is the fraction of a request's time to its deadline that it
	// may spend in the queue.
	maxWaitShare = 0.25
)

// Waiter is a request that waits for a free slot.
type Waiter struct {
	Request Request
	// EnqueuedAt is the time at which the request entered the queue.
	EnqueuedAt time.Time
	// Turn is the turn of the request's account that was spent on the request, if any.
	Turn Turn
	// Wake is called once, when a slot may be free or when the wait has timed
	// out.
	Wake func(WakeReason)
}

// WakeReason is the reason for which a waiter is woken.
type WakeReason int

const (
	// WakeForCapacity means that an upstream may have a free slot, so that the
	// waiter should look for candidates again.
	WakeForCapacity WakeReason = iota
	// WakeTimedOut means that the request cannot be served in time.
	WakeTimedOut
)

// Queue holds the waiting requests of one service. It is not safe for
// concurrent use.
type Queue struct {
	waiters []*Waiter
	turns   map[turnClass]*turns
	// strictUntil is the time until which only requests wait that can meet their latency
	// target.
	strictUntil time.Time
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.waiters)
}

// Push adds a waiter. It returns false if the request is not expected to end
// before its deadline.
func (q *Queue) Push(now time.Time, w *Waiter, f *Fleet) bool {
	wait, serviceTime := f.expectedWait(now, w.Request, q.countAhead(now, w, f))
	end := now.Add(wait + serviceTime)
	if !end.Before(w.Request.Deadline) || (end.After(w.Request.SoftDeadline) && q.isStrict(now, w.Request, f)) {
		return false
	}
	q.waiters = append(q.waiters, w)
	return true
}

// AdmissionRequest describes a waiter that is not in the queue yet, for the decision whether it
// is admitted.
func (q *Queue) AdmissionRequest(now time.Time, w *Waiter, f *Fleet) admit.Request {
	return admit.Request{
		Rank:    admit.Rank{Account: w.Request.AccountPriority, Route: w.Request.Priority},
		Ahead:   q.countAhead(now, w, f),
		MaxWait: time.Duration(maxWaitShare * float64(w.Request.Deadline.Sub(now))),
	}
}

// countAhead returns the number of waiters that are woken before w and may need the same
// upstreams.
func (q *Queue) countAhead(now time.Time, w *Waiter, f *Fleet) int {
	rivals := slices.DeleteFunc(slices.Clone(q.waiters), func(x *Waiter) bool { return !w.Request.sharesRegion(x.Request) })
	positions := q.order(now, append(rivals, w), f)
	return slices.IndexFunc(positions, func(p position) bool { return p.waiter == w })
}

// SetStrictUntil lets only requests wait, until the given time, that can meet their latency
// target. When all entries start together, their callers return at once; served in the
// usual order, many requests would be served late that can be served in time when they
// come back.
func (q *Queue) SetStrictUntil(until time.Time) {
	q.strictUntil = until
}

// isStrict reports whether the request waits only while it can meet its latency target. One
// that was sent before is exempt, as is one that no upstream serves within its target.
func (q *Queue) isStrict(now time.Time, req Request, f *Fleet) bool {
	return now.Before(q.strictUntil) && req.LatencyTarget > 0 && len(req.Tried) == 0 && f.hasFastUpstream(now, req)
}

// hasFastUpstream reports whether some usable upstream serves requests of this kind within
// their latency target.
func (f *Fleet) hasFastUpstream(now time.Time, req Request) bool {
	serviceTime := f.ServiceTimeNanos(req)
	p := f.newFilter(now, req)
	return slices.ContainsFunc(f.byService[req.Service], func(u *upstream) bool {
		return p.admits(u) && !isTooSlowForTarget(req, serviceTime*u.slowdownAt(now))
	})
}

// Remove removes a waiter and reports whether it was in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// WakeAll wakes all waiters, so that each looks for another way.
func (q *Queue) WakeAll() {
	for _, w := range q.waiters {
		w.Wake(WakeForCapacity)
	}
	q.waiters = nil
}

// Dispatch wakes the waiters that have timed out. It then wakes the others that
// have a candidate, in order, and no more of them than there are free slots.
func (q *Queue) Dispatch(now time.Time, f *Fleet) {
	q.dropExpired(now, f)
	for i, r := range q.order(now, q.waiters, f) {
		q.waiters[i] = r.waiter
	}
	blocked := map[waiterClass]bool{}
	var promised []*upstream
	defer func() {
		for _, u := range promised {
			u.release()
		}
	}()
	q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter) bool {
		class := waiterClass{route: w.Request.serviceTimeKey(), regions: w.Request.regionsKey(), canMeetTarget: f.CanMeetTarget(now, w.Request)}
		if blocked[class] {
			return false
		}
		found, _ := f.Candidates(now, w.Request, 1)
		if len(found) == 0 {
			// One that was refused elsewhere has fewer candidates than its class.
			blocked[class] = len(w.Request.Tried) == 0
			return false
		}
		u := f.byID[found[0].ID]
		u.reserve()
		promised = append(promised, u)
		q.TakeTurn(f, w.Request, &w.Turn)
		w.Wake(WakeForCapacity)
		return true
	})
}

// waiterClass identifies the waiters that the same upstreams can serve.
type waiterClass struct {
	route         string
	regions       string
	canMeetTarget bool
}

// dropExpired removes and wakes the waiters that have used up their share of
// waiting time or can no longer meet their deadline.
func (q *Queue) dropExpired(now time.Time, f *Fleet) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter) bool {
		total := w.Request.Deadline.Sub(w.EnqueuedAt)
		spent := now.Sub(w.EnqueuedAt)
		tooLate := now.Add(time.Duration(f.ServiceTimeNanos(w.Request))).After(w.Request.Deadline)
		isMissed := !f.CanMeetTarget(now, w.Request) && q.isStrict(now, w.Request, f)
		if !tooLate && !isMissed && float64(spent) < maxWaitShare*float64(total) {
			return false
		}
		w.Wake(WakeTimedOut)
		return true
	})
}

func (req Request) arrivedAt() time.Time {
	return req.SoftDeadline.Add(-req.LatencyTarget)
}

// CanMeetTarget reports whether a request could meet its soft deadline at an
// upstream with a slowdown of 1.
func (f *Fleet) CanMeetTarget(now time.Time, req Request) bool {
	return now.Add(time.Duration(f.ServiceTimeNanos(req))).Before(req.SoftDeadline)
}

// expectedWait returns the expected time until a request gets a slot, and its
// service time. ahead is the number of requests that are served first. Without
// usable upstreams, the wait is the time to the deadline.
func (f *Fleet) expectedWait(now time.Time, req Request, ahead int) (wait, serviceTime time.Duration) {
	requestsPerNano := 0.0
	contention := f.contentionOf(req.Service)
	p := f.newFilter(now, req)
	for _, u := range f.byService[req.Service] {
		if !p.admits(u) || u.health.StateAt(now) == proc.Probation {
			continue
		}
		rate := float64(u.effectiveSlots(contention)) / u.slowdownAt(now) / f.ServiceTimeNanos(req)
		if u.quota != nil {
			rate = min(rate, u.quota.Rate()/float64(time.Second))
		}
		requestsPerNano += u.coldRate(now, rate)
	}
	if requestsPerNano == 0 {
		return req.Deadline.Sub(now), 0
	}
	return time.Duration(float64(ahead+1) / requestsPerNano), time.Duration(f.ServiceTimeNanos(req))
}

// Shortage describes the capacity of a service at the time of a rejection.
type Shortage struct {
	// Usable is the number of upstreams that may receive the request, and
	// FreeSlots the number of their free slots.
	Usable    int
	FreeSlots int
	// Evacuated is the number of upstreams in evacuated zones, and Disallowed that of the
	// others that are outside the allowed regions of the request.
	Evacuated  int
	Disallowed int
	// Limited is the number of upstreams that announce a limit in which this entry has no
	// share, or has used it up.
	Limited int
	// Unreachable is the number of upstreams that did not respond to this entry when it
	// last tried them, and ContactAge the time since any upstream of the service responded
	// to it, or -1 if none has.
	Unreachable int
	ContactAge  time.Duration
	// ExpectedWait is the expected time until the request gets a slot, and
	// ServiceTime the time that it then takes.
	ExpectedWait time.Duration
	ServiceTime  time.Duration
	// ReadingAge is the average age of the load readings.
	ReadingAge time.Duration
}

// ShortageFor returns the capacity for a request before which the given number of
// requests wait.
func (f *Fleet) ShortageFor(now time.Time, req Request, waiting int) Shortage {
	s := Shortage{}
	s.ExpectedWait, s.ServiceTime = f.expectedWait(now, req, waiting)
	s.Unreachable, s.ContactAge = f.contact(now, req)
	contention := f.contentionOf(req.Service)
	age, readings := time.Duration(0), 0
	p := f.newFilter(now, req)
	for _, u := range f.byService[req.Service] {
		switch {
		case u.isEvacuated:
			s.Evacuated++
			continue
		case !p.isAllowed(u):
			s.Disallowed++
			continue
		}
		isWithinQuota := p.isWithinQuota(u)
		if !isWithinQuota {
			s.Limited++
		}
		if !p.admits(u) {
			continue
		}
		s.Usable++
		if !isWithinQuota {
			continue
		}
		s.FreeSlots += max(0, u.effectiveSlots(contention)-int(u.load(now)+0.5))
		if !u.loadReadAt.IsZero() {
			age += now.Sub(u.loadReadAt)
			readings++
		}
	}
	if readings > 0 {
		s.ReadingAge = age / time.Duration(readings)
	}
	return s
}

// RetryAfter returns the time after which a rejected request is likely to find
// a free slot. waiting is the number of queued requests. If all upstreams asked to back
// off, it is the shortest of their times.
func (f *Fleet) RetryAfter(now time.Time, req Request, waiting int) time.Duration {
	if wait, ok := f.earliestReturn(now, req); ok && !f.hasUsable(now, req.withoutTried()) {
		return max(wait, minRetryAfter)
	}
	wait, serviceTime := f.expectedWait(now, req, waiting)
	return min(max(wait+serviceTime/2, minRetryAfter), maxRetryAfter)
}

const (
	// minRetryAfter and maxRetryAfter limit the retry time that is sent to
	// callers.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)
