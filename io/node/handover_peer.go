package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/io/conn"
	"magnolialedge/io/event"
)

const (
	// peerLogInterval is the shortest time between two log lines of a peerLogLimiter about
	// one peer.
	peerLogInterval = time.Minute
	// maxLoggedPeers limits the peers whose last log line is remembered.
	maxLoggedPeers = 1024
)

// errUnknownPeer means that a peer refused a connection for handovers because it does not
// know this entry.
var errUnknownPeer = errors.New("the peer does not know this entry")

// acceptsHandoversFrom reports whether a peer may hand requests to this entry, and logs a refusal.
// With client accounts, an entry relies on the account that the peer found, so the
// peer must have the address of a known entry.
func (n *Node) acceptsHandoversFrom(remoteAddress string) bool {
	if !n.forwarder.HasAccounts() {
		return true
	}
	ip, ok := ipOf(remoteAddress)
	if ok && n.members.knowsIP(ip) {
		return true
	}
	if n.refusals.shouldLog(time.Now(), ip.String()) {
		n.log.Log(event.HandoverRefused, "peer", remoteAddress)
	}
	return false
}

// knowsIP reports whether an entry that the store lists, that was on its first page or that
// reported itself has the given address for peers.
func (m *members) knowsIP(ip netip.Addr) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, known := range []map[string]magnolialedge.Instance{m.byName, m.hints, m.selfReported} {
		for _, in := range known {
			if own, ok := ipOf(in.PeerAddress); ok && own == ip {
				return true
			}
		}
	}
	own, ok := ipOf(m.self.PeerAddress)
	return ok && own == ip
}

// ipOf returns the IP of an address with a port, or false if it has a name instead.
func ipOf(address string) (netip.Addr, bool) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return netip.Addr{}, false
	}
	ip, err := netip.ParseAddr(host)
	return ip.Unmap(), err == nil
}

// newHandoverDialer returns the dialer for handovers. It sends from the address that the
// members know, because a host may have several.
func (n *Node) newHandoverDialer() handoverDialer {
	cfg := conn.DialerConfig{}
	if ip, ok := ipOf(n.self().PeerAddress); ok && !ip.IsUnspecified() {
		cfg.LocalIP = ip
	}
	return handoverDialer{dialer: conn.NewDialer(cfg), introduce: n.introduce}
}

// introduce tells a peer about this entry. A peer may not know one that started a moment
// ago.
func (n *Node) introduce(ctx context.Context, address string) error {
	body, err := json.Marshal(n.members.current())
	if err != nil {
		return err
	}
	resp, err := postMessage(ctx, n.peerClient, address, memberPath, body)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Newf("introduce this entry: unexpected status %d", resp.StatusCode)
	}
	return nil
}

// peerLogLimiter limits log lines about each peer. The zero value is ready for use.
type peerLogLimiter struct {
	mu       sync.Mutex
	loggedAt map[string]time.Time
}

// shouldLog reports whether a line about a peer is due, and records it.
func (l *peerLogLimiter) shouldLog(now time.Time, peer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.loggedAt[peer]; ok && now.Sub(at) < peerLogInterval {
		return false
	}
	if l.loggedAt == nil || len(l.loggedAt) >= maxLoggedPeers {
		l.loggedAt = map[string]time.Time{}
	}
	l.loggedAt[peer] = now
	return true
}
