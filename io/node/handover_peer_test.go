package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/io/conn"
)

func newKnownMembers(n int) *members {
	m := newMembers(magnolialedge.Instance{Name: "self", PeerAddress: "10.9.0.1:1"})
	for i := range n {
		name := fmt.Sprint("e", i)
		m.byName[name] = magnolialedge.Instance{Name: name, PeerAddress: fmt.Sprintf("10.0.%d.%d:70", i/200, i%200)}
	}
	return m
}

// Guards against entries whose address is written in another form, and against names and
// missing addresses that match anything.
func TestAddressesOfKnownEntries(t *testing.T) {
	m := newKnownMembers(3)
	m.byName["name"] = magnolialedge.Instance{Name: "name", PeerAddress: "host:70"}
	m.byName["none"] = magnolialedge.Instance{Name: "none"}
	m.hints = map[string]magnolialedge.Instance{"hint": {PeerAddress: "10.1.0.1:70"}}
	m.recordSelfReport(magnolialedge.Instance{Name: "new", PeerAddress: "[::ffff:10.2.0.1]:70", StartedAt: 1})
	for _, ip := range []string{"10.0.0.2", "10.1.0.1", "10.2.0.1", "10.9.0.1"} {
		require.True(t, m.knowsIP(netip.MustParseAddr(ip)), ip)
	}
	require.False(t, m.knowsIP(netip.MustParseAddr("10.0.0.3")))
	require.False(t, m.knowsIP(netip.Addr{}))
}

// Guards against a log that fills up with refusals.
func TestRefusalsAreLoggedOnceAMinuteAndPeer(t *testing.T) {
	var l peerLogLimiter
	now := time.Unix(100, 0)
	require.True(t, l.shouldLog(now, "a"))
	require.True(t, l.shouldLog(now, "b"))
	require.False(t, l.shouldLog(now.Add(peerLogInterval-1), "a"))
	require.True(t, l.shouldLog(now.Add(peerLogInterval), "a"))
	for i := range 2 * maxLoggedPeers {
		l.shouldLog(now, fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(l.loggedAt), maxLoggedPeers)
}

// Guards against an entry that started a moment ago and cannot hand over requests.
func TestUnknownEntryIntroducesItselfAndTriesAgain(t *testing.T) {
	isKnown := false
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !isKnown {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		w.Header().Set("Upgrade", handoverProtocol)
		w.Header().Set("Connection", "Upgrade")
		w.WriteHeader(http.StatusSwitchingProtocols)
	}))
	defer peer.Close()
	address := peer.Listener.Addr().String()
	introductions := 0
	d := handoverDialer{dialer: conn.NewDialer(conn.DialerConfig{LocalIP: netip.MustParseAddr("127.0.0.5")}), introduce: func(context.Context, string) error {
		introductions++
		return nil
	}}
	_, err := d.Dial(t.Context(), "", address)
	require.ErrorIs(t, err, errUnknownPeer)
	require.Equal(t, 1, introductions, "it tries once")
	d.introduce = func(context.Context, string) error {
		isKnown = true
		return nil
	}
	c, err := d.Dial(t.Context(), "", address)
	require.NoError(t, err)
	require.Contains(t, c.LocalAddr().String(), "127.0.0.5:")
	require.NoError(t, c.Close())
}

func BenchmarkKnowsIP(b *testing.B) {
	m := newKnownMembers(312)
	ip := netip.MustParseAddr("10.0.9.9")
	b.ReportAllocs()
	for b.Loop() {
		m.knowsIP(ip)
	}
}
