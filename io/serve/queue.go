package serve

import (
	"context"
	"time"

	"magnolialedge/core/pick"
)

// queuePoll is the time between two looks for room while requests wait.
const queuePoll = 15 * time.Millisecond

// queue holds a service's waiters and whether someone polls for room.
type queue struct {
	pick.Queue
	polled bool
	// health is the path that tells an upstream's load.
	health string
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
func (f *Forwarder) runQueue(service string) {
	if q, ok := f.queues[service]; ok && q.Len() > 0 {
		q.Dispatch(time.Now(), f.fleet)
	}
}

// wait waits for room, and returns false when it would be or was in vain.
func (f *Forwarder) wait(ctx context.Context, n pick.Request, healthPath string) bool {
	woken := make(chan pick.WakeReason, 1)
	now := time.Now()
	w := &pick.Waiter{Request: n, EnqueuedAt: now, Wake: func(v pick.WakeReason) { woken <- v }}
	f.mu.Lock()
	q := f.queueOf(n.Service)
	q.health = healthPath
	queued := q.Push(now, w, f.fleet)
	if queued && !q.polled {
		q.polled = true
		go f.poll(n.Service, q)
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
func (f *Forwarder) poll(service string, q *queue) {
	t := time.NewTicker(queuePoll)
	defer t.Stop()
	for range t.C {
		f.mu.Lock()
		if q.Len() == 0 {
			q.polled = false
			f.mu.Unlock()
			return
		}
		stale := f.fleet.StaleUpstreams(time.Now(), service, mostPolled)
		health := q.health
		f.mu.Unlock()
		for _, r := range stale {
			f.ask(r, 0, health)
		}
		f.mu.Lock()
		q.Dispatch(time.Now(), f.fleet)
		f.mu.Unlock()
	}
}

// mostPolled bounds the upstreams that are asked for their load in one look.
const mostPolled = 3
