package proc

import (
	"sync"
	"time"

	"magnolialedge/core/proc"
)

// Quarantine guards the table of requests that lost upstreams.
type Quarantine struct {
	mu   sync.Mutex
	core *proc.Quarantine
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{core: proc.NewQuarantine()}
}

// RecordLoss counts an upstream lost to the request and returns the count.
func (q *Quarantine) RecordLoss(fingerprint uint64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.RecordLoss(time.Now(), fingerprint)
}

// MergePeerLosses takes a peer's count, and reports whether it was news.
func (q *Quarantine) MergePeerLosses(fingerprint uint64, losses int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.MergePeerLosses(time.Now(), fingerprint, losses)
}

// RefusedFor reports whether the request is refused, and for how long.
func (q *Quarantine) RefusedFor(fingerprint uint64) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.RefusedFor(time.Now(), fingerprint)
}

// Losses returns the number of upstreams lost to the request of late.
func (q *Quarantine) Losses(fingerprint uint64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.Losses(time.Now(), fingerprint)
}

// Len returns the number of requests remembered.
func (q *Quarantine) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.Len()
}
