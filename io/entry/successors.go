package entry

import (
	"sync"
	"time"

	"magnolialedge/core/call"
)

// successors records which peer took over the keys of a stopped peer. Records expire after
// ttl, when none of the keys is valid any more.
type successors struct {
	mu     sync.Mutex
	byPeer map[string]successor
	ttl    time.Duration
}

type successor struct {
	address    string
	recordedAt time.Time
	expiresAt  time.Time
}

func newSuccessors() *successors {
	return &successors{byPeer: map[string]successor{}, ttl: call.KeyTTL + 2*call.MaxClockSkew}
}

// record stores that the peer at address took over the keys of the stopped peer, and
// deletes expired records.
func (s *successors) record(stopped, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for peer, recorded := range s.byPeer {
		if now.After(recorded.expiresAt) {
			delete(s.byPeer, peer)
		}
	}
	s.byPeer[stopped] = successor{address: address, recordedAt: now, expiresAt: now.Add(s.ttl)}
}

// resolve returns the peer that holds the keys of the peer at address. That is address
// itself, unless the peer has stopped and startedAt reports no later start at the same
// address. It follows chains of successors, since a successor may have stopped too.
func (s *successors) resolve(address string, startedAt func(address string) time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range len(s.byPeer) {
		next, ok := s.byPeer[address]
		if !ok || time.Now().After(next.expiresAt) || startedAt(address).After(next.recordedAt) {
			break
		}
		address = next.address
	}
	return address
}
