package proc

import (
	"time"

	"magnolialedge"
)

const (
	// stallServiceTimeFactor is the multiple of the mean service time after
	// which an attempt without a response counts as stalled.
	stallServiceTimeFactor = 8
	// minStallTimeout is the minimum time after which an attempt counts as
	// stalled.
	minStallTimeout = 300 * time.Millisecond
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	BalancerConfig
	// Naive selects round robin without hedging, queueing or concurrency
	// limits.
	Naive bool
}

// Service combines the load balancer, the admission queue and the retry and
// hedge budgets of one service at one entry. It is not safe for concurrent use.
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

// Config returns the service's section of the document.
func (s *Service) Config() magnolialedge.Service {
	return s.cfg.Service
}

// WithVersion returns a Service for another version of the document. It keeps
// the state of the targets, the attempts in flight, the queue, the request rate
// and the hedge delay.
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

// SkipWarmUp ends the warm-up of every target.
func (s *Service) SkipWarmUp() {
	if s.balancer != nil {
		s.balancer.SkipWarmUp()
	}
}

// SetEntryCount sets the number of entries that share the service in the
// region.
func (s *Service) SetEntryCount(n int) {
	if s.balancer != nil {
		s.balancer.SetEntryCount(n)
	}
}

// CountRequest counts one request from a caller.
func (s *Service) CountRequest(now time.Time) {
	s.requestRate.Record(now)
}

// RequestRate returns the number of requests per second that this entry
// receives.
func (s *Service) RequestRate(now time.Time) float64 {
	return s.requestRate.PerSecond(now)
}

// CountSuccess adds the retry budget that one successful request earns.
func (s *Service) CountSuccess() {
	s.retries.Deposit()
}

// SpendRetry implements call.Budgets.
func (s *Service) SpendRetry() bool {
	return s.retries.Withdraw()
}

// SpendHedge implements call.Budgets. Requests are not hedged while others are
// queued, because a hedge would take a slot from one of them.
func (s *Service) SpendHedge() bool {
	return s.queue.Len() == 0 && s.hedger.SpendHedge()
}

// Hedger returns the controller of the hedge delay.
func (s *Service) Hedger() *Hedger {
	return s.hedger
}

// StallTimeout returns the time after which an attempt without a response
// counts as stalled, or 0 if stalls are not detected.
func (s *Service) StallTimeout() time.Duration {
	if s.balancer == nil {
		return 0
	}
	return max(minStallTimeout, stallServiceTimeFactor*s.balancer.MeanServiceTime())
}

// Enqueue adds w to the admission queue and returns true, unless the queue is
// full or w is not expected to complete before its deadline.
func (s *Service) Enqueue(now time.Time, w *Waiter) bool {
	if s.balancer == nil {
		return false
	}
	return s.queue.Push(now, w, s.balancer.Capacity(now, w.Request), s.balancer.MeanServiceTime())
}

// Dequeue removes w from the queue and reports whether it was still queued.
func (s *Service) Dequeue(w *Waiter) bool {
	return s.queue.Remove(w)
}

// DispatchWaiting assigns upstreams to queued requests in the order of their
// deadlines, until no upstream is available for the next one.
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

// Waiting returns the number of queued requests.
func (s *Service) Waiting() int {
	return s.queue.Len()
}

// MarkDraining marks a target as draining when a peer has reported it.
func (s *Service) MarkDraining(now time.Time, address string) {
	s.Report(now, address, magnolialedge.LoadReport{Draining: true})
}

// RecordRoundTrip records the round-trip time measured on a new connection to a
// target.
func (s *Service) RecordRoundTrip(address string, roundTrip time.Duration) {
	if s.balancer != nil {
		s.balancer.RecordRoundTrip(address, roundTrip)
	}
}

// ServiceState is the state of a service as shown in a dump.
type ServiceState struct {
	Name         string          `json:"name"`
	Rate         float64         `json:"rate"`
	Waiting      int             `json:"waiting"`
	HedgeDelayMs float64         `json:"hedgeDelayMs"`
	Upstreams    []UpstreamState `json:"upstreams,omitempty"`
}

// State returns the state of the service.
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
