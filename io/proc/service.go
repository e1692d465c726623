package proc

import (
	"context"
	"sync"
	"time"

	"magnolialedge"
	"magnolialedge/core/proc"
	"magnolialedge/io/conn"
)

// Service makes the balancing, queueing, retry and hedging decisions for one
// service. It is safe for concurrent use.
type Service struct {
	mu   sync.Mutex
	core *proc.Service
	view serviceView
}

// serviceView is the part of the configuration that requests read.
type serviceView struct {
	config       magnolialedge.Service
	destinations map[string]conn.Destination
}

// Config returns the service's part of the document in force.
func (s *Service) Config() magnolialedge.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.config
}

// Destination returns the destination of the target at address, or false if the
// version in force has no such target.
func (s *Service) Destination(address string) (conn.Destination, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.view.destinations[address]
	return d, ok
}

// CountRequest counts one request from a caller.
func (s *Service) CountRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.CountRequest(time.Now())
}

// RequestRate returns the requests per second that this entry receives for the
// service.
func (s *Service) RequestRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.RequestRate(time.Now())
}

// TryAcquire picks an upstream without waiting. It returns false if none can be
// picked. Each pick must be released.
func (s *Service) TryAcquire(req magnolialedge.PickRequest) (magnolialedge.Pick, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Pick(time.Now(), req)
}

// Acquire picks an upstream. If none has a free slot, it queues the request until one
// is free. It returns false if the queue rejects the request, the deadline passes or
// ctx is done. Each pick must be released.
func (s *Service) Acquire(ctx context.Context, req magnolialedge.PickRequest, deadline time.Time) (magnolialedge.Pick, bool) {
	s.mu.Lock()
	now := time.Now()
	if s.core.Waiting() == 0 {
		if pick, ok := s.core.Pick(now, req); ok {
			s.mu.Unlock()
			return pick, true
		}
	}
	granted := make(chan magnolialedge.Pick, 1)
	w := &proc.Waiter{Deadline: deadline, Request: req, Wake: func(p magnolialedge.Pick) { granted <- p }}
	queued := s.core.Enqueue(now, w)
	if queued {
		s.core.DispatchWaiting(now)
	}
	s.mu.Unlock()
	if !queued {
		return magnolialedge.Pick{}, false
	}
	return s.await(ctx, w, granted)
}

// await waits for w's pick until its deadline or until ctx is done. A pick that is
// granted at that moment is still returned.
func (s *Service) await(ctx context.Context, w *proc.Waiter, granted chan magnolialedge.Pick) (magnolialedge.Pick, bool) {
	timer := time.NewTimer(time.Until(w.Deadline))
	defer timer.Stop()
	select {
	case p := <-granted:
		return p, true
	case <-ctx.Done():
	case <-timer.C:
	}
	s.mu.Lock()
	removed := s.core.Dequeue(w)
	s.mu.Unlock()
	if removed {
		return magnolialedge.Pick{}, false
	}
	return <-granted, true
}

// Release records the result of an attempt and the upstream's load report, if any,
// and gives the free slot to waiting requests.
func (s *Service) Release(a magnolialedge.AttemptResult, report *magnolialedge.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.core.Done(now, a)
	if report != nil {
		s.core.Report(now, a.Address, *report)
	}
	if !a.Failed && !a.Canceled && !a.Shed {
		s.core.CountSuccess()
	}
	s.core.DispatchWaiting(now)
}

// SpendRetry implements call.Budgets.
func (s *Service) SpendRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.SpendRetry()
}

// SpendHedge implements call.Budgets.
func (s *Service) SpendHedge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.SpendHedge()
}

// HedgeDelay counts a request and returns its hedge delay, or false if requests are
// not hedged.
func (s *Service) HedgeDelay() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Hedger().StartRequest()
}

// RecordHedgeUnneeded records that a request ended before its hedge was due.
func (s *Service) RecordHedgeUnneeded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Hedger().RecordHedgeUnneeded()
}

// RecordHedgeDue records that a request's hedge is due, and returns the delay to its
// next one. first is true for the request's first hedge.
func (s *Service) RecordHedgeDue(first bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Hedger().RecordHedgeDue(first)
}

// StallTimeout returns the time after which an attempt without a response counts as
// stalled; 0 means never.
func (s *Service) StallTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.StallTimeout()
}

// MarkDraining marks a target as draining after a peer has reported so.
func (s *Service) MarkDraining(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.MarkDraining(time.Now(), address)
}

// State returns the state of the service for a dump.
func (s *Service) State() proc.ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.State(time.Now())
}

func (s *Service) setEntryCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetEntryCount(n)
}

func (s *Service) recordRoundTrip(address string, roundTrip time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.RecordRoundTrip(address, roundTrip)
}

func (s *Service) update(next func(old *proc.Service) *proc.Service, view serviceView) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core = next(s.core)
	s.view = view
	s.core.DispatchWaiting(time.Now())
}
