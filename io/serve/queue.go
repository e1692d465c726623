package serve

import (
	"context"
	"time"

	"magnolialedge/core/pick"
)

// queuePoll is the time between two looks for room while requests wait.
const queuePollInterval = 15 * time.Millisecond

// queue holds a service's waiters and whether someone polls for room.
type queue struct {
	pick.Queue
	isPolled bool
	// health is the path that tells an upstream's load.
	healthPath string
}

func (f *Forwarder) queueOf(service string) *queue {
	q, ok := f.queues[service]
	if !ok {
		q = &queue{}
		f.queues[service] = q
	}
	return q
}

// runQueue wakes waiters for whom there is room; f.mu is held.
func (f *Forwarder) dispatchQueue(service string) {
	if q, ok := f.queues[service]; ok && q.Len() > 0 {
		q.Dispatch(time.Now(), f.fleet)
	}
}

// wait waits for room, and returns false when it would be or was in vain.
func (f *Forwarder) waitForCapacity(ctx context.Context, n pick.Request, healthPath string) bool {
	woken := make(chan pick.WakeReason, 1)
	now := time.Now()
	w := &pick.Waiter{Request: n, EnqueuedAt: now, Wake: func(v pick.WakeReason) { woken <- v }}
	f.mu.Lock()
	q := f.queueOf(n.Service)
	q.healthPath = healthPath
	queued := q.Push(now, w, f.fleet)
	if queued && !q.isPolled {
		q.isPolled = true
		go f.pollQueue(n.Service, q)
	}
	f.mu.Unlock()
	if !queued {
		return false
	}
	select {
	case v := <-woken:
		return v == pick.WakeForRetry
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		q.Remove(w)
		return false
	}
}

// poll looks for room until nobody waits any more.
func (f *Forwarder) pollQueue(service string, q *queue) {
	t := time.NewTicker(queuePollInterval)
	defer t.Stop()
	for range t.C {
		f.mu.Lock()
		if q.Len() == 0 {
			q.isPolled = false
			f.mu.Unlock()
			return
		}
		stale := f.fleet.StaleUpstreams(time.Now(), service, maxPolledUpstreams)
		health := q.healthPath
		f.mu.Unlock()
		for _, r := range stale {
			f.startProbe(r, 0, health)
		}
		f.mu.Lock()
		q.Dispatch(time.Now(), f.fleet)
		f.mu.Unlock()
	}
}

// mostPolled bounds the upstreams that are asked for their load in one look.
const maxPolledUpstreams = 3
