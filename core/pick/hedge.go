package pick

import (
	"slices"
	"time"
)

const (
	// minRemainingShare is the minimum fraction of the service time that is
	// assumed to remain, even for a request that has already taken all of its
	// expected time.
	minRemainingShare = 0.3
	// hangFactor is the multiple of the expected time after which a request
	// without a response is not expected to end.
	hangFactor = 3.5
	// maxHedgeCostShare is the maximum cost of a hedge as a fraction of the
	// time that the first attempt is still expected to take.
	maxHedgeCostShare = 0.6
	// maxProgressReadingAge is the age up to which a load reading is used to
	// estimate the progress of a running attempt.
	maxProgressReadingAge = 90 * time.Millisecond
)

// RunningAttempt is an attempt that is in progress at an upstream.
type RunningAttempt struct {
	Candidate Candidate
	Elapsed   time.Duration
}

// HedgeCandidate returns an upstream for a second, concurrent attempt if the
// upstream of the first attempt has become slow or hangs. The second upstream
// must be in the entry's region, must be expected to respond much sooner, and
// must keep a free slot. HedgeCandidate returns false if there is none, or if
// the hedge would miss the soft deadline while the first attempt is still
// expected to meet the deadline.
func (f *Fleet) HedgeCandidate(now time.Time, req Request, attempt RunningAttempt) (Candidate, bool) {
	remaining, known := f.remainingTime(now, req, attempt)
	if !known {
		return Candidate{}, false
	}
	req.Tried = append(slices.Clone(req.Tried), attempt.Candidate.ID)
	found, _ := f.Candidates(now, req, 1)
	if len(found) == 0 || !found[0].Local || found[0].TakesLastSlot {
		return Candidate{}, false
	}
	c := found[0]
	if float64(c.Cost) > maxHedgeCostShare*float64(remaining) {
		return Candidate{}, false
	}
	meetsTarget := !now.Add(c.ServiceTime + c.RoundTrip).After(req.SoftDeadline)
	missesDeadline := now.Add(remaining).After(req.Deadline)
	return c, meetsTarget || missesDeadline
}

// remainingTime estimates how long an attempt still takes. An attempt that
// hangs is assumed to miss the deadline. It returns false if the upstream is
// not registered or its last load reading is too old for an estimate.
func (f *Fleet) remainingTime(now time.Time, req Request, attempt RunningAttempt) (time.Duration, bool) {
	u, ok := f.byID[attempt.Candidate.ID]
	if !ok {
		return 0, false
	}
	if attempt.Elapsed > time.Duration(hangFactor*float64(attempt.Candidate.ServiceTime+attempt.Candidate.RoundTrip)) {
		return req.Deadline.Sub(now) + time.Second, true
	}
	if now.Sub(u.loadReadAt) > maxProgressReadingAge {
		return 0, false
	}
	serviceTime := f.ServiceTimeNanos(req)
	done := float64(attempt.Elapsed) / max(1, attempt.Candidate.Slowdown)
	remaining := max(minRemainingShare*serviceTime, serviceTime-done)
	return time.Duration(remaining * u.slowdownAt(now)), true
}

// IsAttemptSlow reports whether an attempt is expected to take so much longer
// that a hedge may end sooner.
func (f *Fleet) IsAttemptSlow(now time.Time, req Request, attempt RunningAttempt) bool {
	remaining, known := f.remainingTime(now, req, attempt)
	return known && float64(remaining) > f.ServiceTimeNanos(req)/maxHedgeCostShare
}
