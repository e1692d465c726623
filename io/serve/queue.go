package serve

import (
	"context"
	"time"

	"magnolialedge/core/pick"
)

// queuePollInterval is the time between two checks for free capacity while
// requests wait.
const queuePollInterval = 15 * time.Millisecond

// queue holds the waiting requests of a service. isPolled is set while pollQueue
// runs.
type queue struct {
	pick.Queue
	isPolled bool
	// healthPath is the path of the service's health check.
	healthPath string
}

func (f *Forwarder) queueFor(service string) *queue {
	q, ok := f.queues[service]
	if !ok {
		q = &queue{}
		q.SetStrictUntil(f.strictLimit())
		f.queues[service] = q
	}
	return q
}

// dispatchQueue wakes waiting requests for which there is capacity. The caller
// holds f.mu.
func (f *Forwarder) dispatchQueue(service string) {
	if q, ok := f.queues[service]; ok && q.Len() > 0 {
		now := time.Now()
		q.Dispatch(now, f.fleet)
		f.recordWaiting(now, service, q)
	}
}

// waitForCapacity queues the request until an upstream has capacity. It returns
// false if the request was not admitted, timed out or was canceled. hasCandidate is set if
// an upstream has capacity, which may be for requests that already wait.
func (x *exchange) waitForCapacity(ctx context.Context, hasCandidate bool) bool {
	f, req := x.f, x.pickReq
	wake := make(chan pick.WakeReason, 1)
	now := time.Now()
	w := &pick.Waiter{Request: req, EnqueuedAt: now, Turn: x.turn, Wake: func(v pick.WakeReason) { wake <- v }}
	f.mu.Lock()
	q := f.queueFor(req.Service)
	q.healthPath = x.match.Service.HealthPath
	x.isNotAdmitted = !hasCandidate && !f.admits(now, q, w)
	queued := !x.isNotAdmitted && q.Push(now, w, f.fleet)
	if queued && !q.isPolled {
		q.isPolled = true
		go f.pollQueue(req.Service, q)
	}
	if queued && q.HasTurns() {
		q.Dispatch(now, f.fleet)
	}
	f.recordWaiting(now, req.Service, q)
	f.mu.Unlock()
	if !queued {
		return false
	}
	select {
	case reason := <-wake:
		x.turn = w.Turn
		return reason == pick.WakeForCapacity
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		q.Remove(w)
		f.recordWaiting(time.Now(), req.Service, q)
		return false
	}
}

// pollQueue refreshes stale load readings and dispatches waiting requests until
// the queue is empty.
func (f *Forwarder) pollQueue(service string, q *queue) {
	ticker := time.NewTicker(queuePollInterval)
	defer ticker.Stop()
	for range ticker.C {
		f.mu.Lock()
		if q.Len() == 0 {
			q.isPolled = false
			f.recordWaiting(time.Now(), service, q)
			f.mu.Unlock()
			return
		}
		stale := f.fleet.StaleUpstreams(time.Now(), service, maxPolledUpstreams)
		healthPath := q.healthPath
		f.mu.Unlock()
		for _, r := range stale {
			f.startProbe(r, 0, healthPath)
		}
		f.mu.Lock()
		f.dispatchQueue(service)
		f.mu.Unlock()
	}
}

// maxPolledUpstreams limits the upstreams that one poll probes.
const maxPolledUpstreams = 3

// SetStrictUntil lets only requests wait, until the given time, that can meet their latency
// target. It reports whether that has an effect, which takes admission control.
func (f *Forwarder) SetStrictUntil(until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.strictUntil = until
	for _, q := range f.queues {
		q.SetStrictUntil(f.strictLimit())
	}
	return f.hasAdmission()
}

// strictLimit returns the time until which the queues are strict, or zero. The caller holds
// f.mu.
func (f *Forwarder) strictLimit() time.Time {
	if !f.hasAdmission() {
		return time.Time{}
	}
	return f.strictUntil
}
