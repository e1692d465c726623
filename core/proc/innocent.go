package proc

import "time"

const (
	// innocenceTTL is how long a request that an upstream has answered is not blamed for
	// the loss of upstreams.
	innocenceTTL = 5 * time.Second
	// maxInnocents limits the fingerprints that are remembered for each half of
	// innocenceTTL. When there are more, some requests may be blamed again.
	maxInnocents = 4096
)

// innocents remembers the fingerprints of requests that upstreams have answered, in two
// generations, so that forgetting costs nothing.
type innocents struct {
	recent, former map[uint64]struct{}
	startedAt      time.Time
}

func (s *innocents) add(now time.Time, fingerprint uint64) {
	s.rotate(now)
	if len(s.recent) < maxInnocents {
		s.recent[fingerprint] = struct{}{}
	}
}

func (s *innocents) contains(now time.Time, fingerprint uint64) bool {
	s.rotate(now)
	_, isRecent := s.recent[fingerprint]
	_, isFormer := s.former[fingerprint]
	return isRecent || isFormer
}

// rotate starts a new generation after half of innocenceTTL.
func (s *innocents) rotate(now time.Time) {
	age := now.Sub(s.startedAt)
	if s.recent != nil && age < innocenceTTL/2 {
		return
	}
	s.former = s.recent
	if age >= innocenceTTL {
		s.former = nil
	}
	s.recent = map[uint64]struct{}{}
	s.startedAt = now
}
