package pick

import (
	"slices"
	"time"
)

const (
	// leastLeftShare is the part of the work that is assumed to be left of a
	// request that has taken as long as it should.
	leastLeftShare = 0.3
	// hungFactor is the multiple of the expected time after which a request
	// without an answer isn't expected to end.
	hungFactor = 3.5
	// rescueShare is how much sooner than the first attempt, as a share of the
	// time left to it, a second one must be expected to end.
	rescueShare = 0.6
	// knownSlowness is the age up to which a reading tells how a request in
	// progress gets on.
	knownSlowness = 90 * time.Millisecond
)

// RunningAttempt is a request in progress at an upstream.
type RunningAttempt struct {
	Candidate Candidate
	Elapsed   time.Duration
}

// HedgeCandidate returns an upstream at which a request would end so much sooner than
// where it is that a second attempt pays: its upstream has turned slow or gives
// no answer.
func (f *Fleet) HedgeCandidate(now time.Time, n Request, p RunningAttempt) (Candidate, bool) {
	left, known := f.timeLeft(now, n, p)
	if !known {
		return Candidate{}, false
	}
	n.Tried = append(slices.Clone(n.Tried), p.Candidate.ID)
	found, _ := f.Candidates(now, n, 1)
	if len(found) == 0 || !found[0].Local || found[0].TakesLastSlot {
		return Candidate{}, false
	}
	c := found[0]
	if float64(c.Cost) > rescueShare*float64(left) {
		return Candidate{}, false
	}
	inTime := !now.Add(c.ServiceTime + c.RoundTrip).After(n.SoftDeadline)
	lost := now.Add(left).After(n.Deadline)
	return c, inTime || lost
}

// timeLeft estimates how long a request in progress still takes.
func (f *Fleet) timeLeft(now time.Time, n Request, p RunningAttempt) (time.Duration, bool) {
	u, ok := f.byID[p.Candidate.ID]
	if !ok {
		return 0, false
	}
	if p.Elapsed > time.Duration(hungFactor*float64(p.Candidate.ServiceTime+p.Candidate.RoundTrip)) {
		return n.Deadline.Sub(now) + time.Second, true
	}
	if now.Sub(u.readAt) > knownSlowness {
		return 0, false
	}
	work := f.ServiceTimeNanos(n)
	done := float64(p.Elapsed) / max(1, p.Candidate.Slowdown)
	left := max(leastLeftShare*work, work-done)
	return time.Duration(left * u.slownessAt(now)), true
}

// IsAttemptSlow reports whether a request's upstream has turned so slow that it may
// be worth looking for another.
func (f *Fleet) IsAttemptSlow(now time.Time, n Request, p RunningAttempt) bool {
	left, known := f.timeLeft(now, n, p)
	return known && float64(left) > f.ServiceTimeNanos(n)/rescueShare
}
