package pick

import (
	"slices"
	"time"

	"magnolialedge/core/proc"
)

const (
	// waitShare is the part of the time left that a request may spend waiting
	// for room.
	waitShare = 0.5
)

// Waiter is a request that waits for room.
type Waiter struct {
	Request Request
	// EnqueuedAt is when it began to wait.
	EnqueuedAt time.Time
	// Wake is called once, when there may be room or when the wait has ended
	// in vain.
	Wake func(WakeReason)
}

// WakeReason tells a waiter why it was woken.
type WakeReason int

const (
	// WakeForRetry means that there may be room.
	WakeForRetry WakeReason = iota
	// WakeTimedOut means that room won't come in time.
	WakeTimedOut
)

// Queue holds the requests of one service that wait for room. It isn't safe for
// concurrent use.
type Queue struct {
	waiters []*Waiter
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	return len(q.waiters)
}

// Push adds a waiter; false means that it would wait in vain.
func (q *Queue) Push(now time.Time, w *Waiter, f *Fleet) bool {
	ahead := 0
	for _, x := range q.waiters {
		if !before(now, w, x, f) {
			ahead++
		}
	}
	wait, work := f.expectedWait(now, w.Request, ahead)
	if !now.Add(wait + work).Before(w.Request.Deadline) {
		return false
	}
	q.waiters = append(q.waiters, w)
	return true
}

// Remove takes w out and reports whether it still waited.
func (q *Queue) Remove(w *Waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// Dispatch wakes the waiters for which there is room, and those who wait in vain.
func (q *Queue) Dispatch(now time.Time, f *Fleet) {
	q.expire(now, f)
	slices.SortStableFunc(q.waiters, func(a, b *Waiter) int {
		switch {
		case before(now, a, b, f):
			return -1
		case before(now, b, a, f):
			return 1
		}
		return 0
	})
	for len(q.waiters) > 0 {
		w := q.waiters[0]
		found, _ := f.Candidates(now, w.Request, 1)
		if len(found) == 0 {
			return
		}
		q.waiters = q.waiters[1:]
		w.Wake(WakeForRetry)
	}
}

func (q *Queue) expire(now time.Time, f *Fleet) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter) bool {
		total := w.Request.Deadline.Sub(w.EnqueuedAt)
		spent := now.Sub(w.EnqueuedAt)
		late := now.Add(time.Duration(f.ServiceTimeNanos(w.Request))).After(w.Request.Deadline)
		if !late && float64(spent) < waitShare*float64(total) {
			return false
		}
		w.Wake(WakeTimedOut)
		return true
	})
}

// before orders waiters: the more urgent kind, then those who can still make
// their aim, then the youngest. When room is short, the first in line would get
// it just too late one after the other; the youngest still have time.
func before(now time.Time, a, b *Waiter, f *Fleet) bool {
	if a.Request.Priority != b.Request.Priority {
		return a.Request.Priority < b.Request.Priority
	}
	inTimeA, inTimeB := f.canMakeAim(now, a.Request), f.canMakeAim(now, b.Request)
	if inTimeA != inTimeB {
		return inTimeA
	}
	return a.Request.arrived().After(b.Request.arrived())
}

func (n Request) arrived() time.Time {
	return n.SoftDeadline.Add(-n.LatencyTarget)
}

func (f *Fleet) canMakeAim(now time.Time, n Request) bool {
	return now.Add(time.Duration(f.ServiceTimeNanos(n))).Before(n.SoftDeadline)
}

// expectedWait returns the expected time until a request gets room when ahead
// others go before it, and the time of its work.
func (f *Fleet) expectedWait(now time.Time, n Request, ahead int) (wait, work time.Duration) {
	slots := 0.0
	crowding := f.crowdingOf(n.Service)
	for _, u := range f.byService[n.Service] {
		if !u.isUsable(now) || u.health.StateAt(now) == proc.Probation {
			continue
		}
		slots += float64(u.usefulSlots(crowding)) / u.slownessAt(now)
	}
	if slots == 0 {
		return n.Deadline.Sub(now), 0
	}
	each := f.ServiceTimeNanos(n) / slots
	return time.Duration(each * float64(ahead+1)), time.Duration(f.ServiceTimeNanos(n))
}

// RetryAfter returns when a refused request has a fair chance of room.
func (f *Fleet) RetryAfter(now time.Time, n Request, waiting int) time.Duration {
	wait, work := f.expectedWait(now, n, waiting)
	return min(max(wait+work/2, leastRetryAfter), mostRetryAfter)
}

const (
	// leastRetryAfter and mostRetryAfter bound what refused callers are told.
	leastRetryAfter = 50 * time.Millisecond
	mostRetryAfter  = 2 * time.Second
)
