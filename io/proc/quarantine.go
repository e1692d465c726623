package proc

import (
	"sync"
	"time"

	"magnolialedge/core/proc"
)

// Quarantine is a table of the requests that lost upstreams. It is safe for
// concurrent use.
type Quarantine struct {
	mu   sync.Mutex
	core *proc.Quarantine
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{core: proc.NewQuarantine()}
}

// RecordLoss counts an upstream that was lost while it ran the request, and returns
// the request's count.
func (q *Quarantine) RecordLoss(fingerprint uint64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.RecordLoss(time.Now(), fingerprint)
}

// RecordPeerLosses records the number of losses that a peer reported if it is higher
// than the known number, and reports whether it was.
func (q *Quarantine) RecordPeerLosses(fingerprint uint64, losses int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.RecordPeerLosses(time.Now(), fingerprint, losses)
}

// Remaining returns how much longer the request is remembered, and whether it is
// refused.
func (q *Quarantine) Remaining(fingerprint uint64) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.Remaining(time.Now(), fingerprint)
}

// Losses returns the number of upstreams lost recently while they ran the request.
func (q *Quarantine) Losses(fingerprint uint64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.Losses(time.Now(), fingerprint)
}

// Len returns the number of requests in the table.
func (q *Quarantine) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.Len()
}
