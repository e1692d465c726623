package pick

import (
	"time"

	"magnolialedge/core/proc"
)

// AttemptResult describes how an attempt at an upstream ended.
type AttemptResult struct {
	UpstreamID string
	Request    Request
	// Duration is the time from sending the request to the end of the attempt.
	Duration time.Duration
	// Slowdown is the estimated slowdown of the upstream when the attempt
	// began, and TookLastSlot is true if the attempt took the upstream's last
	// slot.
	Slowdown     float64
	TookLastSlot bool
	Status       AttemptStatus
}

// AttemptStatus classifies the end of an attempt.
type AttemptStatus int

const (
	// AttemptSucceeded means that the upstream returned a valid response.
	AttemptSucceeded AttemptStatus = iota
	// AttemptFailed means that the upstream failed: it did not respond in time,
	// broke the connection, or returned an invalid response or a server error.
	AttemptFailed
	// AttemptRefused means that the upstream had no capacity for the request.
	AttemptRefused
	// AttemptConnectFailed means that the upstream could not be reached: no
	// connection could be opened, or another instance responded.
	AttemptConnectFailed
	// AttemptCanceled means that the entry canceled the attempt.
	AttemptCanceled
)

// EndAttempt records the result of an attempt that BeginAttempt counted.
func (f *Fleet) EndAttempt(now time.Time, result AttemptResult) {
	u, ok := f.byID[result.UpstreamID]
	if !ok {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	switch result.Status {
	case AttemptSucceeded:
		u.recordResult(now, false)
		u.health.RecordSuccess()
		u.recordExecution(now.Add(-result.Duration))
		f.recordServiceTime(now, u, result)
	case AttemptFailed:
		u.recordResult(now, true)
		u.health.RecordFailure(now, f.canEject(now, u.Service))
	case AttemptRefused:
		u.loadReadAt = now
		u.refusedAt = now
	case AttemptConnectFailed:
		u.markUnreachable(now)
	case AttemptCanceled:
	}
}

// recordServiceTime updates the moving average of the service time, or that of
// the contention if the attempt took the last slot. For an upstream that
// reports no load, the duration also measures its slowdown.
func (f *Fleet) recordServiceTime(now time.Time, u *upstream, result AttemptResult) {
	took := float64(result.Duration - u.roundTrip)
	if took <= 0 || result.Slowdown <= 0 {
		return
	}
	serviceTime := f.ServiceTimeNanos(result.Request)
	if u.isCold(now) {
		u.recordColdSlowdown(took / serviceTime)
		return
	}
	if f.ranCold(u, now.Add(-result.Duration)) {
		return
	}
	if u.reportsNoLoad {
		u.recordSlowdown(now, took/serviceTime)
		f.serviceTimes[result.Request.serviceTimeKey()] = serviceTime + serviceTimeGain*(took-serviceTime)
		return
	}
	if result.TookLastSlot {
		contention := f.contentionOf(result.Request.Service)
		measured := min(max(1, took/(result.Slowdown*serviceTime)), maxContention)
		f.contention[result.Request.Service] = contention + contentionGain*(measured-contention)
		return
	}
	f.serviceTimes[result.Request.serviceTimeKey()] = serviceTime + serviceTimeGain*(took/result.Slowdown-serviceTime)
}

// maxContention limits one sample of the contention, since a temporary slowdown
// of the upstream has the same effect on the duration.
const maxContention = 3

// serviceTimeKey returns the key of the request's service time: its route and
// service.
func (req Request) serviceTimeKey() string {
	return req.Route + "\x00" + req.Service
}

// canEject reports whether another upstream of the service may be ejected. At most half of
// those that are neither draining nor evacuated may be ejected or on probation at a time.
func (f *Fleet) canEject(now time.Time, service string) bool {
	unhealthy, total := 0, 0
	for _, u := range f.byService[service] {
		if u.Draining || u.isEvacuated {
			continue
		}
		total++
		if u.health.StateAt(now) != proc.Healthy {
			unhealthy++
		}
	}
	return 2*(unhealthy+1) <= total
}
