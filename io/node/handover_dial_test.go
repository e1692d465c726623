package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/io/conn"
)

// Guards against requests that are sent to a peer that does not know handovers, such as
// an entry of an earlier release.
func TestPeerWithoutHandoversIsNotUsed(t *testing.T) {
	peer := httptest.NewServer(http.NotFoundHandler())
	defer peer.Close()
	d := handoverDialer{dialer: conn.NewDialer(conn.DialerConfig{})}
	_, err := d.Dial(context.Background(), "", peer.Listener.Addr().String())
	require.ErrorIs(t, err, errNoHandover)
}

// Guards against a wait for a peer that accepts connections and does not respond, as one
// that is paused.
func TestSilentPeerEndsTheDialInTime(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err = handoverDialer{dialer: conn.NewDialer(conn.DialerConfig{})}.Dial(ctx, "", l.Addr().String())
	require.Error(t, err)
	require.Less(t, time.Since(start), time.Second)
}
