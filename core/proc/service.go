package proc

import (
	"time"

	"magnolialedge"
)

const (
	// stallLatencyFactor is the multiple of the mean latency after which an attempt
	// without an answer counts as stalled.
	stallLatencyFactor = 8
	// minStallTimeout bounds the time to a stall from below.
	minStallTimeout = 300 * time.Millisecond
)

// ServiceConfig constructs a Service.
type ServiceConfig struct {
	BalancerConfig
	// Naive replaces the decisions by round robin without hedges, queue or
	// limits.
	Naive bool
}

// Service holds the decisions of one entry for one service: picking, waiting,
// retry and hedge budgets. It isn't safe for concurrent use.
type Service struct {
	magnolialedge.Picker
	cfg         ServiceConfig
	balancer    *Balancer
	queue       Queue
	hedger      *Hedger
	retries     *RatioBudget
	requestRate RateEstimator
}

// NewService returns a Service.
func NewService(cfg ServiceConfig) *Service {
	s := &Service{
		cfg:     cfg,
		hedger:  NewHedger(cfg.Service.HedgePercent),
		retries: NewRatioBudget(cfg.Service.RetryPercent),
	}
	if cfg.Naive {
		s.hedger = NewHedger(0)
		s.Picker = NewRoundRobin(cfg.Service.Targets, int(cfg.Seed%1024))
		return s
	}
	s.balancer = NewBalancer(cfg.BalancerConfig)
	s.Picker = s.balancer
	return s
}

// Config returns the service's part of the document.
func (s *Service) Config() magnolialedge.Service {
	return s.cfg.Service
}

// WithVersion returns a Service for another version of the document that keeps
// what s has learned, its attempts in flight and its waiters.
func (s *Service) WithVersion(cfg ServiceConfig) *Service {
	next := NewService(cfg)
	next.requestRate = s.requestRate
	next.queue = s.queue
	if s.balancer != nil && next.balancer != nil {
		next.balancer.CopyStateFrom(s.balancer)
	}
	next.hedger.delayNs = s.hedger.delayNs
	return next
}

// SkipWarmUp treats every target as warm.
func (s *Service) SkipWarmUp() {
	if s.balancer != nil {
		s.balancer.SkipWarmUp()
	}
}

// SetEntryCount sets the number of entries that share the service in the region.
func (s *Service) SetEntryCount(share int) {
	if s.balancer != nil {
		s.balancer.SetEntryCount(share)
	}
}

// RecordArrival counts one request from a caller.
func (s *Service) RecordArrival(now time.Time) {
	s.requestRate.Record(now)
}

// RequestRate returns the requests a second that this entry gets.
func (s *Service) RequestRate(now time.Time) float64 {
	return s.requestRate.PerSecond(now)
}

// CountSuccess counts one useful answer, which earns retry budget.
func (s *Service) CountSuccess() {
	s.retries.Deposit()
}

// SpendRetry implements call.Budgets.
func (s *Service) SpendRetry() bool {
	return s.retries.Withdraw()
}

// SpendHedge implements call.Budgets. Nothing is hedged while requests wait for
// room, because a hedge would take the room from one of them.
func (s *Service) SpendHedge() bool {
	return s.queue.Len() == 0 && s.hedger.SpendHedge()
}

// Hedger returns the control of the hedge delay.
func (s *Service) Hedger() *Hedger {
	return s.hedger
}

// StallTimeout returns the time after which an attempt counts as stalled.
func (s *Service) StallTimeout() time.Duration {
	if s.balancer == nil {
		return 0
	}
	return max(minStallTimeout, stallLatencyFactor*s.balancer.MeanLatency())
}

// Enqueue lets w wait for room. False means that it would wait in vain.
func (s *Service) Enqueue(now time.Time, w *Waiter) bool {
	if s.balancer == nil {
		return false
	}
	return s.queue.Push(now, w, s.balancer.Capacity(now, w.Request), s.balancer.MeanLatency())
}

// Dequeue takes w out of the queue and reports whether it still waited.
func (s *Service) Dequeue(w *Waiter) bool {
	return s.queue.Remove(w)
}

// DispatchWaiting gives free room to the waiters with the earliest deadlines.
func (s *Service) DispatchWaiting(now time.Time) {
	for {
		w := s.queue.Peek()
		if w == nil {
			return
		}
		pick, ok := s.Pick(now, w.Request)
		if !ok {
			return
		}
		s.queue.Remove(w)
		w.Wake(pick)
	}
}

// Waiting returns the number of requests that wait for room.
func (s *Service) Waiting() int {
	return s.queue.Len()
}

// MarkDraining marks a target as draining on the word of a peer.
func (s *Service) MarkDraining(now time.Time, address string) {
	s.Report(now, address, magnolialedge.LoadReport{Draining: true})
}

// RecordRoundTrip takes the round trip that a new connection to a target showed.
func (s *Service) RecordRoundTrip(address string, trip time.Duration) {
	if s.balancer != nil {
		s.balancer.RecordRoundTrip(address, trip)
	}
}

// ServiceState is a service as a dump shows it.
type ServiceState struct {
	Name         string          `json:"name"`
	Rate         float64         `json:"rate"`
	Waiting      int             `json:"waiting"`
	HedgeDelayMs float64         `json:"hedgeDelayMs"`
	Upstreams    []UpstreamState `json:"upstreams,omitempty"`
}

// State returns the service as a dump shows it.
func (s *Service) State(now time.Time) ServiceState {
	st := ServiceState{
		Name:         s.cfg.Service.Name,
		Rate:         s.RequestRate(now),
		Waiting:      s.queue.Len(),
		HedgeDelayMs: s.hedger.delayNs / float64(time.Millisecond),
	}
	if s.balancer != nil {
		st.Upstreams = s.balancer.State(now)
	}
	return st
}
