package proc

import "time"

const (
	// lossesToQuarantine is the number of upstreams lost to one request
	// after which it is refused.
	lossesToQuarantine = 2
	// QuarantineTTL is how long a fingerprint is remembered and refused
	// after the last loss.
	QuarantineTTL = 30 * time.Second
	// maxSuspects limits the number of fingerprints in the table.
	maxSuspects = 4096
)

// suspect counts the upstreams lost to requests of one fingerprint.
type suspect struct {
	losses    int
	expiresAt time.Time
}

// Quarantine counts the upstreams that were lost while they executed a request,
// by the fingerprint of the request. It is not safe for concurrent use.
type Quarantine struct {
	suspects  map[uint64]suspect
	succeeded succeededRequests
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{suspects: map[uint64]suspect{}}
}

// RecordSuccess records that an upstream executed the request and responded, which
// discards its losses and those within successTTL: upstreams go down for other reasons,
// too, and a popular request is often in flight there.
func (q *Quarantine) RecordSuccess(now time.Time, fingerprint uint64) {
	delete(q.suspects, fingerprint)
	q.succeeded.add(now, fingerprint)
}

// RecordLoss counts one upstream lost to the request and returns the number of
// losses. It is 0 for a request that an upstream has executed a short time ago.
func (q *Quarantine) RecordLoss(now time.Time, fingerprint uint64) int {
	if q.succeeded.contains(now, fingerprint) {
		return 0
	}
	s := q.get(now, fingerprint)
	return q.set(now, fingerprint, s.losses+1)
}

// RecordPeerLosses records the number of losses reported by a peer if it is
// higher than the known number, and reports whether it was.
func (q *Quarantine) RecordPeerLosses(now time.Time, fingerprint uint64, losses int) bool {
	if losses <= q.get(now, fingerprint).losses || q.succeeded.contains(now, fingerprint) {
		return false
	}
	q.set(now, fingerprint, losses)
	return true
}

// Quarantined is a fingerprint whose requests are refused.
type Quarantined struct {
	Fingerprint uint64
	Losses      int
	// Remaining is how much longer it is remembered.
	Remaining time.Duration
}

// Quarantined returns all fingerprints whose requests are refused.
func (q *Quarantine) Quarantined(now time.Time) []Quarantined {
	var out []Quarantined
	for f := range q.suspects {
		if remaining, refused := q.Remaining(now, f); refused {
			out = append(out, Quarantined{Fingerprint: f, Losses: q.Losses(now, f), Remaining: remaining})
		}
	}
	return out
}

// Adopt records what another entry knows of a fingerprint, unless as much is known, and reports whether
// it did. It is remembered for no longer than there, so that entries which start in turn do not pass it
// on without end.
func (q *Quarantine) Adopt(now time.Time, known Quarantined) bool {
	if !q.RecordPeerLosses(now, known.Fingerprint, known.Losses) {
		return false
	}
	s := q.suspects[known.Fingerprint]
	s.expiresAt = now.Add(min(QuarantineTTL, known.Remaining))
	q.suspects[known.Fingerprint] = s
	return true
}

// Remaining returns how much longer the fingerprint is remembered, and whether
// the request is refused.
func (q *Quarantine) Remaining(now time.Time, fingerprint uint64) (time.Duration, bool) {
	s := q.get(now, fingerprint)
	return s.expiresAt.Sub(now), s.losses >= lossesToQuarantine
}

// Losses returns the number of upstreams lost to the request. Losses are
// discarded QuarantineTTL after the last one.
func (q *Quarantine) Losses(now time.Time, fingerprint uint64) int {
	return q.get(now, fingerprint).losses
}

// Len returns the number of fingerprints in the table, including expired ones.
func (q *Quarantine) Len() int {
	return len(q.suspects)
}

func (q *Quarantine) get(now time.Time, fingerprint uint64) suspect {
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

// evict removes the expired suspects, or the one that expires first if there
// are none.
func (q *Quarantine) evict(now time.Time) {
	var earliest uint64
	var earliestExpiry time.Time
	for f, s := range q.suspects {
		if !now.Before(s.expiresAt) {
			delete(q.suspects, f)
			continue
		}
		if earliestExpiry.IsZero() || s.expiresAt.Before(earliestExpiry) {
			earliest, earliestExpiry = f, s.expiresAt
		}
	}
	if len(q.suspects) >= maxSuspects {
		delete(q.suspects, earliest)
	}
}
