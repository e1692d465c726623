package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"magnolialedge"
	"magnolialedge/core/proc"
	"magnolialedge/io/event"
	"magnolialedge/io/link"
)

const (
	// handoverPath is the path on which an entry opens a connection for requests that it
	// hands over. After the switch, the connection carries HTTP/1.1 requests as from a
	// caller.
	handoverPath = "/v1/handover"
	// handoverProtocol is the name of the protocol in the Upgrade header.
	handoverProtocol = "magnolialedge-handover"
	// maxUpgradeResponseBytes limits the response to the request for a switch.
	maxUpgradeResponseBytes = 1 << 10
)

// errNoHandover means that a peer does not accept requests that are handed over.
var errNoHandover = errors.New("the peer does not accept requests that are handed over")

// acceptHandovers switches a connection of a peer to the requests that it hands over.
func (n *Node) acceptHandovers(c echo.Context) error {
	if !strings.EqualFold(c.Request().Header.Get("Upgrade"), handoverProtocol) {
		return c.NoContent(http.StatusUpgradeRequired)
	}
	if !n.acceptsHandoversFrom(c.Request().RemoteAddr) {
		return c.NoContent(http.StatusForbidden)
	}
	netConn, _, err := http.NewResponseController(c.Response()).Hijack()
	if err != nil {
		return errors.Wrap(err, "accept handovers")
	}
	_ = netConn.SetDeadline(time.Time{})
	response := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + handoverProtocol + "\r\n\r\n"
	if _, err := io.WriteString(netConn, response); err != nil {
		n.log.Log(event.PeerUnreachable, "peer", netConn.RemoteAddr(), "err", err)
		return netConn.Close()
	}
	n.handedServer.ServeConn(netConn)
	return nil
}

// handoverDialer opens connections on which requests are handed to another entry. It
// implements link.Dialer.
type handoverDialer struct {
	dialer link.Dialer
	// introduce tells the peer at an address about this entry.
	introduce func(ctx context.Context, address string) error
}

// Dial implements link.Dialer. If the peer does not know this entry, it introduces it and
// tries once more.
func (d handoverDialer) Dial(ctx context.Context, region, address string) (net.Conn, error) {
	c, err := d.open(ctx, region, address)
	if !errors.Is(err, errUnknownPeer) {
		return c, err
	}
	if err := d.introduce(ctx, address); err != nil {
		return nil, errors.Wrap(err, "introduce this entry")
	}
	return d.open(ctx, region, address)
}

func (d handoverDialer) open(ctx context.Context, region, address string) (net.Conn, error) {
	c, err := d.dialer.Dial(ctx, region, address)
	if err != nil {
		return nil, err
	}
	if err := requestUpgrade(ctx, c, address); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// requestUpgrade asks the peer to switch a new connection. The peer sends nothing after
// its response until it has a request.
func requestUpgrade(ctx context.Context, c net.Conn, address string) error {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request := "GET " + handoverPath + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: Upgrade\r\nUpgrade: " + handoverProtocol + "\r\n\r\n"
	if _, err := io.WriteString(c, request); err != nil {
		return errors.Wrap(err, "hand over")
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(c, maxUpgradeResponseBytes)), nil)
	if err != nil {
		return errors.Wrap(err, "hand over")
	}
	if resp.StatusCode == http.StatusForbidden {
		return errUnknownPeer
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return errors.Wrapf(errNoHandover, "status %d", resp.StatusCode)
	}
	return nil
}

// helpers returns the entries that may serve requests of a host in place of this one, best
// first, among those that accepts returns true for.
func (m *members) helpers(host string, accepts func(magnolialedge.Instance) bool) []magnolialedge.Instance {
	accepted := slices.DeleteFunc(m.responding(), func(in magnolialedge.Instance) bool { return !accepts(in) })
	return proc.RankHelpers(accepted, m.self.Name, proc.Place{Region: m.self.Region, Zone: m.self.Zone}, host)
}
