package pick

import (
	"slices"
	"time"

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
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.waiters)
}

// Push adds a waiter. It returns false if the request is not expected to end
// before its deadline.
func (q *Queue) Push(now time.Time, w *Waiter, f *Fleet) bool {
	ahead := 0
	for _, x := range q.waiters {
		if w.Request.sharesRegion(x.Request) && !isBefore(now, w, x, f) {
			ahead++
		}
	}
	wait, serviceTime := f.expectedWait(now, w.Request, ahead)
	if !now.Add(wait + serviceTime).Before(w.Request.Deadline) {
		return false
	}
	q.waiters = append(q.waiters, w)
	return true
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
	slices.SortStableFunc(q.waiters, func(a, b *Waiter) int {
		switch {
		case isBefore(now, a, b, f):
			return -1
		case isBefore(now, b, a, f):
			return 1
		}
		return 0
	})
	blocked := map[waiterClass]bool{}
	var promised []*upstream
	defer func() {
		for _, u := range promised {
			u.release()
		}
	}()
	q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter) bool {
		class := waiterClass{route: w.Request.serviceTimeKey(), regions: w.Request.regionsKey(), canMeetTarget: f.canMeetTarget(now, w.Request)}
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
		if !tooLate && float64(spent) < maxWaitShare*float64(total) {
			return false
		}
		w.Wake(WakeTimedOut)
		return true
	})
}

// isBefore reports whether a is woken before b. Waiters that can still meet their
// soft deadline come first, then those of higher account priority, then of higher route
// priority, then the latest arrivals.
// In first-in first-out order, an overload would let
// each request reach an upstream just after its soft deadline; the latest
// arrivals have the most time left.
func isBefore(now time.Time, a, b *Waiter, f *Fleet) bool {
	canMeetA, canMeetB := f.canMeetTarget(now, a.Request), f.canMeetTarget(now, b.Request)
	if canMeetA != canMeetB {
		return canMeetA
	}
	if a.Request.AccountPriority != b.Request.AccountPriority {
		return a.Request.AccountPriority < b.Request.AccountPriority
	}
	if a.Request.Priority != b.Request.Priority {
		return a.Request.Priority < b.Request.Priority
	}
	return a.Request.arrivedAt().After(b.Request.arrivedAt())
}

func (req Request) arrivedAt() time.Time {
	return req.SoftDeadline.Add(-req.LatencyTarget)
}

// canMeetTarget reports whether a request could meet its soft deadline at an
// upstream with a slowdown of 1.
func (f *Fleet) canMeetTarget(now time.Time, req Request) bool {
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
