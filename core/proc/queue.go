package proc

import (
	"container/heap"
	"time"

	"magnolialedge"
)

// Waiter is a request that waits for room at an upstream.
type Waiter struct {
	Deadline time.Time
	Request  magnolialedge.PickRequest
	// Wake is called with the pick once there is room.
	Wake  func(magnolialedge.Pick)
	index int
}

// Queue holds the requests of one service that wait for room, the earliest
// deadline first. It is bounded, and it refuses a request that would not be
// served before its deadline.
type Queue struct {
	waiters waiterHeap
}

// Push adds w unless the queue is full or the expected wait passes the
// deadline. capacity is the number of slots that serve the queue and mean the
// time of service.
func (q *Queue) Push(now time.Time, w *Waiter, capacity int, mean time.Duration) bool {
	if capacity <= 0 || len(q.waiters) >= capacity {
		return false
	}
	if now.Add(q.ExpectedWait(capacity, mean) + mean).After(w.Deadline) {
		return false
	}
	heap.Push(&q.waiters, w)
	return true
}

// ExpectedWait returns the expected wait of a request that joins the queue now.
func (q *Queue) ExpectedWait(capacity int, mean time.Duration) time.Duration {
	return mean * time.Duration(len(q.waiters)+1) / time.Duration(max(1, capacity))
}

// Peek returns the waiter with the earliest deadline, or nil.
func (q *Queue) Peek() *Waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[0]
}

// Remove takes w out of the queue and reports whether it was there.
func (q *Queue) Remove(w *Waiter) bool {
	if w.index >= len(q.waiters) || q.waiters[w.index] != w {
		return false
	}
	heap.Remove(&q.waiters, w.index)
	return true
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	return len(q.waiters)
}

type waiterHeap []*Waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
