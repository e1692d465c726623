package pick

import (
	"time"

	"magnolialedge/core/proc"
)

// AttemptResult is how a request ended at an upstream.
type AttemptResult struct {
	UpstreamID string
	Request    Request
	Duration   time.Duration
	// Slowdown is that of the upstream as the request began, and TookLastSlot
	// tells that it took the last slot.
	Slowdown     float64
	TookLastSlot bool
	// Status is how the attempt ended.
	Status AttemptStatus
}

// AttemptStatus is the kind of an end.
type AttemptStatus int

const (
	// AttemptSucceeded is a useful answer.
	AttemptSucceeded AttemptStatus = iota
	// AttemptFailed is an answer or a break that is the upstream's fault.
	AttemptFailed
	// AttemptRefused is a refusal for lack of room.
	AttemptRefused
	// AttemptConnectFailed means that no connection could be had.
	AttemptConnectFailed
	// AttemptCanceled means that this side ended it.
	AttemptCanceled
)

// EndAttempt takes the end of a request that BeginAttempt counted.
func (f *Fleet) EndAttempt(now time.Time, e AttemptResult) {
	u, ok := f.byID[e.UpstreamID]
	if !ok {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	switch e.Status {
	case AttemptSucceeded:
		u.result(now, false)
		u.health.RecordSuccess()
		f.learnWork(now, u, e)
	case AttemptFailed:
		u.result(now, true)
		u.health.RecordFailure(now, f.mayEject(now, u.Service))
	case AttemptRefused:
		u.readAt = now
		u.others = max(u.others, float64(u.Slots))
	case AttemptConnectFailed:
		u.unreachable(now)
	case AttemptCanceled:
	}
}

// learnWork learns how long work takes, and how much longer where it took the
// last slot. Where no load is told it learns how slow the upstream is from the
// same answer.
func (f *Fleet) learnWork(now time.Time, u *upstream, e AttemptResult) {
	took := float64(e.Duration - u.trip)
	if took <= 0 || e.Slowdown <= 0 {
		return
	}
	work := f.ServiceTimeNanos(e.Request)
	if u.loadUntold {
		u.measure(now, took/work)
		f.work[e.Request.workKey()] = work + workGain*(took-work)
		return
	}
	if e.TookLastSlot {
		crowding := f.crowdingOf(e.Request.Service)
		measured := min(max(1, took/(e.Slowdown*work)), mostCrowding)
		f.crowding[e.Request.Service] = crowding + crowdingGain*(measured-crowding)
		return
	}
	f.work[e.Request.workKey()] = work + workGain*(took/e.Slowdown-work)
}

// mostCrowding bounds one measured factor, since a slow spell looks the same.
const mostCrowding = 3

func (n Request) workKey() string {
	return n.Route + "\x00" + n.Service
}

// mayEject caps ejections at half of the service's upstreams.
func (f *Fleet) mayEject(now time.Time, service string) bool {
	out, all := 0, 0
	for _, u := range f.byService[service] {
		if u.Draining {
			continue
		}
		all++
		if u.health.StateAt(now) != proc.Healthy {
			out++
		}
	}
	return 2*(out+1) <= all
}
