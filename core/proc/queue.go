package proc

import (
	"container/heap"
	"time"

	"magnolialedge"
)

// Waiter is a queued request that waits for a free slot.
type Waiter struct {
	Deadline time.Time
	Request  magnolialedge.PickRequest
	// Wake is called with the picked upstream once a slot is free.
	Wake  func(magnolialedge.Pick)
	index int
}

// Queue is the admission queue of one service, ordered by deadline. Its length
// is limited, and it rejects requests that are not expected to complete before
// their deadline.
type Queue struct {
	waiters waiterHeap
}

// Push adds w and returns true, unless the queue is full or w is not expected
// to complete before its deadline. capacity is the number of slots that serve
// the queue and also limits its length; mean is the mean service time.
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

// ExpectedWait returns the expected wait of a request that is added now.
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

// Remove removes w and reports whether it was in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	if w.index >= len(q.waiters) || q.waiters[w.index] != w {
		return false
	}
	heap.Remove(&q.waiters, w.index)
	return true
}

// Len returns the number of queued requests.
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
