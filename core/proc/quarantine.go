package proc

import "time"

const (
	// lossesToQuarantine is the number of upstreams lost to one request after
	// which it is refused.
	lossesToQuarantine = 2
	// QuarantineLife is how long a fingerprint is refused.
	QuarantineLife = 30 * time.Second
	// mostSuspects bounds the table of fingerprints.
	mostSuspects = 4096
)

type suspect struct {
	losses int
	until  time.Time
}

// Quarantine remembers the requests during which upstreams were lost.
type Quarantine struct {
	suspects map[uint64]suspect
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{suspects: map[uint64]suspect{}}
}

// Lost counts an upstream lost to the request and returns the count.
func (q *Quarantine) Lost(now time.Time, fingerprint uint64) int {
	s := q.at(now, fingerprint)
	return q.set(now, fingerprint, s.losses+1)
}

// Told takes a peer's count, and reports whether it was news.
func (q *Quarantine) Told(now time.Time, fingerprint uint64, losses int) bool {
	if losses <= q.at(now, fingerprint).losses {
		return false
	}
	q.set(now, fingerprint, losses)
	return true
}

// Refuses reports whether the request is refused, and for how long.
func (q *Quarantine) Refuses(now time.Time, fingerprint uint64) (time.Duration, bool) {
	s := q.at(now, fingerprint)
	return s.until.Sub(now), s.losses >= lossesToQuarantine
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
	if !ok || !now.Before(s.until) {
		return suspect{}
	}
	return s
}

func (q *Quarantine) set(now time.Time, fingerprint uint64, losses int) int {
	if len(q.suspects) >= mostSuspects {
		q.evict(now)
	}
	q.suspects[fingerprint] = suspect{losses: losses, until: now.Add(QuarantineLife)}
	return losses
}

// evict forgets what has lapsed, or else the suspect that lapses first.
func (q *Quarantine) evict(now time.Time) {
	var first uint64
	var firstUntil time.Time
	for f, s := range q.suspects {
		if !now.Before(s.until) {
			delete(q.suspects, f)
			continue
		}
		if firstUntil.IsZero() || s.until.Before(firstUntil) {
			first, firstUntil = f, s.until
		}
	}
	if len(q.suspects) >= mostSuspects {
		delete(q.suspects, first)
	}
}
