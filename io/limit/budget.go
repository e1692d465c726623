package limit

import (
	"sync"
	"sync/atomic"
)

// Budget limits the bytes that a process holds on behalf of requests, for all holders together.
// It is safe for concurrent use.
type Budget struct {
	maxBytes int64
	held     atomic.Int64
}

// NewBudget returns a Budget of maxBytes; 0 means no limit.
func NewBudget(maxBytes int64) *Budget {
	return &Budget{maxBytes: maxBytes}
}

// reserve reserves n bytes and reports whether they fit.
func (b *Budget) reserve(n int64) bool {
	if b.held.Add(n) <= b.maxBytes || b.maxBytes == 0 {
		return true
	}
	b.held.Add(-n)
	return false
}

// HolderConfig configures a Holder.
type HolderConfig struct {
	Name string
	// Budget is the budget that the holder shares with others. It may be nil.
	Budget *Budget
	// MaxBytes limits the bytes of this holder; 0 means that only Budget does.
	MaxBytes int64
}

// Holder is one purpose for which bytes are held. It is safe for concurrent use.
type Holder struct {
	name     string
	budget   *Budget
	own      Budget
	refusals atomic.Int64
}

// NewHolder returns a Holder that holds nothing.
func NewHolder(cfg HolderConfig) *Holder {
	budget := cfg.Budget
	if budget == nil {
		budget = NewBudget(0)
	}
	return &Holder{name: cfg.Name, budget: budget, own: Budget{maxBytes: cfg.MaxBytes}}
}

// Reserve reserves n bytes and reports whether they fit. Each reserved byte must be released
// once.
func (h *Holder) Reserve(n int64) bool {
	if !h.own.reserve(n) {
		h.refusals.Add(1)
		return false
	}
	if !h.budget.reserve(n) {
		h.own.held.Add(-n)
		h.refusals.Add(1)
		return false
	}
	return true
}

// Release returns n reserved bytes.
func (h *Holder) Release(n int64) {
	h.own.held.Add(-n)
	h.budget.held.Add(-n)
}

// Name returns the name of the holder.
func (h *Holder) Name() string {
	return h.name
}

// HeldBytes returns the number of reserved bytes.
func (h *Holder) HeldBytes() int64 {
	return h.own.held.Load()
}

// Refusals returns the number of calls of Reserve that failed.
func (h *Holder) Refusals() int64 {
	return h.refusals.Load()
}

// Share is what one request holds. A nil Share reserves nothing and has no limit. It is safe for
// concurrent use.
type Share struct {
	holder *Holder
	mu     sync.Mutex
	held   int64
	closed bool
}

// NewShare returns an empty Share.
func (h *Holder) NewShare() *Share {
	return &Share{holder: h}
}

// Reserve reserves n bytes until Close and reports whether they fit. It fails after Close.
func (s *Share) Reserve(n int64) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.holder.Reserve(n) {
		return false
	}
	s.held += n
	return true
}

// Close releases all bytes of the share. Further calls have no effect.
func (s *Share) Close() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.holder.Release(s.held)
	s.held = 0
}
