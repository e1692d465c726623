package proc

import "time"

const (
	// lossesToQuarantine is the number of upstreams lost to one request after
	// which it is refused.
	lossesToQuarantine = 2
	// QuarantineTTL is how long a fingerprint is refused.
	QuarantineTTL = 30 * time.Second
	// maxSuspects bounds the table of fingerprints.
	maxSuspects = 4096
)

type suspect struct {
	losses    int
	expiresAt time.Time
}

// Quarantine remembers the requests during which upstreams were lost.
type Quarantine struct {
	suspects map[uint64]suspect
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{suspects: map[uint64]suspect{}}
}

// RecordLoss counts an upstream lost to the request and returns the count.
func (q *Quarantine) RecordLoss(now time.Time, fingerprint uint64) int {
	s := q.at(now, fingerprint)
	return q.set(now, fingerprint, s.losses+1)
}

// RecordPeerLosses takes a peer's count, and reports whether it was news.
func (q *Quarantine) RecordPeerLosses(now time.Time, fingerprint uint64, losses int) bool {
	if losses <= q.at(now, fingerprint).losses {
		return false
	}
	q.set(now, fingerprint, losses)
	return true
}

// Remaining reports whether the request is refused, and for how long.
func (q *Quarantine) Remaining(now time.Time, fingerprint uint64) (time.Duration, bool) {
	s := q.at(now, fingerprint)
	return s.expiresAt.Sub(now), s.losses >= lossesToQuarantine
}

// Losses returns the number of upstreams lost to the request of late.
func (q *Quarantine) Losses(now time.Time, fingerprint uint64) int {
	return q.at(now, fingerprint).losses
}

// Len returns the number of fingerprints remembered.
func (q *Quarantine) Len() int {
	return len(q.suspects)
}

func (q *Quarantine) at(now time.Time, fingerprint uint64) suspect {
	s, ok := q.suspects[fingerprint]
	if !ok || !now.Before(s.expiresAt) {
		return suspect{}
	}
	return s
}

func (q *Quarantine) set(now time.Time, fingerprint uint64, losses int) int {
	if len(q.suspects) >= maxSuspects {
		q.evict(now)
	}
	q.suspects[fingerprint] = suspect{losses: losses, expiresAt: now.Add(QuarantineTTL)}
	return losses
}

// evict forgets what has lapsed, or else the suspect that lapses first.
func (q *Quarantine) evict(now time.Time) {
	var first uint64
	var firstUntil time.Time
	for f, s := range q.suspects {
		if !now.Before(s.expiresAt) {
			delete(q.suspects, f)
			continue
		}
		if firstUntil.IsZero() || s.expiresAt.Before(firstUntil) {
			first, firstUntil = f, s.expiresAt
		}
	}
	if len(q.suspects) >= maxSuspects {
		delete(q.suspects, first)
	}
}
