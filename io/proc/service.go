package proc

import (
	"context"
	"sync"
	"time"

	"magnolialedge"
	"magnolialedge/core/proc"
	"magnolialedge/io/conn"
)

// Service guards the decisions for one service.
type Service struct {
	mu   sync.Mutex
	core *proc.Service
	view serviceView
}

// serviceView is what requests read of the service's version.
type serviceView struct {
	config magnolialedge.Service
	dests  map[string]conn.Destination
}

// Config returns the service's part of the document in force.
func (s *Service) Config() magnolialedge.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.config
}

// Destination returns where the target at address is reached.
func (s *Service) Destination(address string) (conn.Destination, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.view.dests[address]
	return d, ok
}

// CountRequest counts one request from a caller.
func (s *Service) CountRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.CountRequest(time.Now())
}

// RequestRate returns the requests a second that this entry gets.
func (s *Service) RequestRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.RequestRate(time.Now())
}

// TryAcquire picks an upstream without waiting.
func (s *Service) TryAcquire(req magnolialedge.PickRequest) (magnolialedge.Pick, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Pick(time.Now(), req)
}

// Acquire picks an upstream, and waits for room until deadline if that is of
// use. Each pick must be released.
func (s *Service) Acquire(ctx context.Context, req magnolialedge.PickRequest, deadline time.Time) (magnolialedge.Pick, bool) {
	s.mu.Lock()
	now := time.Now()
	if s.core.Waiting() == 0 {
		if pick, ok := s.core.Pick(now, req); ok {
			s.mu.Unlock()
			return pick, true
		}
	}
	woken := make(chan magnolialedge.Pick, 1)
	w := &proc.Waiter{Deadline: deadline, Request: req, Wake: func(p magnolialedge.Pick) { woken <- p }}
	queued := s.core.Enqueue(now, w)
	if queued {
		s.core.DispatchWaiting(now)
	}
	s.mu.Unlock()
	if !queued {
		return magnolialedge.Pick{}, false
	}
	return s.await(ctx, w, woken)
}

func (s *Service) await(ctx context.Context, w *proc.Waiter, woken chan magnolialedge.Pick) (magnolialedge.Pick, bool) {
	timer := time.NewTimer(time.Until(w.Deadline))
	defer timer.Stop()
	select {
	case p := <-woken:
		return p, true
	case <-ctx.Done():
	case <-timer.C:
	}
	s.mu.Lock()
	waited := s.core.Dequeue(w)
	s.mu.Unlock()
	if waited {
		return magnolialedge.Pick{}, false
	}
	return <-woken, true
}

// Release ends an attempt and gives its room to those who wait.
func (s *Service) Release(a magnolialedge.AttemptResult, report *magnolialedge.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.core.Done(now, a)
	if report != nil {
		s.core.Report(now, a.Address, *report)
	}
	if !a.Failed && !a.Cancelled && !a.Shed {
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

// HedgeDelay returns the hedge delay, and false when requests aren't hedged.
func (s *Service) HedgeDelay() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Hedger().StartRequest()
}

// RecordHedgeUnneeded tells the control of the hedge delay that a request ended before
// its hedge was due.
func (s *Service) RecordHedgeUnneeded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Hedger().CompletedBeforeHedge()
}

// RecordHedgeDue tells the control of the hedge delay that a hedge is due, and returns
// the time to the next one of the same request.
func (s *Service) RecordHedgeDue(first bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Hedger().HedgeDue(first)
}

// StallTimeout returns the time after which an attempt counts as stalled; zero
// means never.
func (s *Service) StallTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.StallTimeout()
}

// MarkDraining marks a target as draining on the word of a peer.
func (s *Service) MarkDraining(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.MarkDraining(time.Now(), address)
}

// State returns the service as a dump shows it.
func (s *Service) State() proc.ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.State(time.Now())
}

func (s *Service) setShare(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetEntryCount(n)
}

func (s *Service) trip(address string, trip time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetRTT(address, trip)
}

func (s *Service) change(next func(old *proc.Service) *proc.Service, view serviceView) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core = next(s.core)
	s.view = view
	s.core.DispatchWaiting(time.Now())
}
