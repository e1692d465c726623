package entry

import (
	"sync"
	"time"

	"magnolialedge/core/call"
)

// heirs remembers which peer answers for a stopped one.
type heirs struct {
	mu      sync.Mutex
	byPeer  map[string]heir
	forgets time.Duration
}

type heir struct {
	address string
	since   time.Time
	until   time.Time
}

func newHeirs() *heirs {
	return &heirs{byPeer: map[string]heir{}, forgets: call.KeyTTL + 2*call.MaxClockSkew}
}

func (h *heirs) set(stopped, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for peer, have := range h.byPeer {
		if now.After(have.until) {
			delete(h.byPeer, peer)
		}
	}
	h.byPeer[stopped] = heir{address: address, since: now, until: now.Add(h.forgets)}
}

// of returns the peer that answers for address, which is address itself unless
// it has stopped and startedAt doesn't show another start there since. An heir
// may have stopped in its turn.
func (h *heirs) of(address string, startedAt func(address string) time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for range len(h.byPeer) {
		next, ok := h.byPeer[address]
		if !ok || time.Now().After(next.until) || startedAt(address).After(next.since) {
			break
		}
		address = next.address
	}
	return address
}
