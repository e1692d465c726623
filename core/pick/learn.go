package pick

import (
	"time"

	"magnolialedge/core/proc"
)

// End is how a request ended at an upstream.
type End struct {
	ID   string
	Need Need
	Took time.Duration
	// Slowness is that of the upstream as the request began, and FilledUp
	// tells that it took the last slot.
	Slowness float64
	FilledUp bool
	// Ended tells how.
	Ended Ending
}

// Ending is the kind of an end.
type Ending int

const (
	// EndedWell is a useful answer.
	EndedWell Ending = iota
	// EndedFailed is an answer or a break that is the upstream's fault.
	EndedFailed
	// EndedRefused is a refusal for lack of room.
	EndedRefused
	// EndedUnreached means that no connection could be had.
	EndedUnreached
	// EndedCancelled means that this side ended it.
	EndedCancelled
)

// End takes the end of a request that Begin counted.
func (f *Fleet) End(now time.Time, e End) {
	u, ok := f.byID[e.ID]
	if !ok {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	switch e.Ended {
	case EndedWell:
		u.result(now, false)
		u.health.RecordSuccess()
		f.learnWork(now, u, e)
	case EndedFailed:
		u.result(now, true)
		u.health.RecordFailure(now, f.mayEject(now, u.Service))
	case EndedRefused:
		u.readAt = now
		u.others = max(u.others, float64(u.Slots))
	case EndedUnreached:
		u.unreachable(now)
	case EndedCancelled:
	}
}

// learnWork learns how long work takes, and how much longer where it took the
// last slot. Where no load is told it learns how slow the upstream is from the
// same answer.
func (f *Fleet) learnWork(now time.Time, u *upstream, e End) {
	took := float64(e.Took - u.trip)
	if took <= 0 || e.Slowness <= 0 {
		return
	}
	work := f.Work(e.Need)
	if u.loadUntold {
		u.measure(now, took/work)
		f.work[e.Need.workKey()] = work + workGain*(took-work)
		return
	}
	if e.FilledUp {
		crowding := f.crowdingOf(e.Need.Service)
		measured := min(max(1, took/(e.Slowness*work)), mostCrowding)
		f.crowding[e.Need.Service] = crowding + crowdingGain*(measured-crowding)
		return
	}
	f.work[e.Need.workKey()] = work + workGain*(took/e.Slowness-work)
}

// mostCrowding bounds one measured factor, since a slow spell looks the same.
const mostCrowding = 3

func (n Need) workKey() string {
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
