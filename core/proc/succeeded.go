package proc

import "time"

const (
	// successTTL is how long the loss of upstreams does not count against a request that
	// an upstream has executed.
	successTTL = 5 * time.Second
	// maxSucceeded limits the fingerprints that are remembered for each half of
	// successTTL. Losses count against the requests beyond it.
	maxSucceeded = 4096
)

// succeededRequests holds the fingerprints of requests that upstreams have executed a
// short time ago, in two generations, so that expiry needs no scan.
type succeededRequests struct {
	recent, former map[uint64]struct{}
	startedAt      time.Time
}

func (s *succeededRequests) add(now time.Time, fingerprint uint64) {
	s.rotate(now)
	if len(s.recent) < maxSucceeded {
		s.recent[fingerprint] = struct{}{}
	}
}

func (s *succeededRequests) contains(now time.Time, fingerprint uint64) bool {
	s.rotate(now)
	_, isRecent := s.recent[fingerprint]
	_, isFormer := s.former[fingerprint]
	return isRecent || isFormer
}

// rotate starts a new generation after half of successTTL.
func (s *succeededRequests) rotate(now time.Time) {
	age := now.Sub(s.startedAt)
	if s.recent != nil && age < successTTL/2 {
		return
	}
	s.former = s.recent
	if age >= successTTL {
		s.former = nil
	}
	s.recent = map[uint64]struct{}{}
	s.startedAt = now
}
