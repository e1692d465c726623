package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"magnolialedge"
	"magnolialedge/io/event"
)

const (
	// peerCheckPath is the path where an entry asks another one whether it reaches an
	// upstream.
	peerCheckPath = "/v1/check"
	// maxAskedPeers limits the entries that are asked until one can tell.
	maxAskedPeers = 2
)

// peerCheck asks for an upstream, or is the response: whether the peer reaches it, if
// it knows.
type peerCheck struct {
	Upstream string `json:"upstream"`
	Reached  bool   `json:"reached,omitempty"`
	Known    bool   `json:"known,omitempty"`
}

// handlePeerCheck tells a peer whether this entry reaches an upstream.
func (n *Node) handlePeerCheck(c echo.Context) error {
	var check peerCheck
	if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxPeerMessageBytes)).Decode(&check); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	check.Reached, check.Known = n.forwarder.CheckUpstream(check.Upstream)
	return c.JSON(http.StatusOK, check)
}

// askPeer asks other entries, one after the other, whether they reach an upstream, until
// one can tell. It returns the name of that entry and whether it does.
func (n *Node) askPeer(ctx context.Context, upstreamID string) (peer string, reached bool) {
	helpers := n.members.helpers(upstreamID, anyInstance)
	for _, in := range helpers[:min(maxAskedPeers, len(helpers))] {
		check, err := n.postCheck(ctx, in.PeerAddress, upstreamID)
		if err != nil {
			n.log.Log(event.PeerUnreachable, "peer", in.PeerAddress, "err", err)
			continue
		}
		if check.Known {
			return in.Name, check.Reached
		}
	}
	return "", false
}

func anyInstance(magnolialedge.Instance) bool {
	return true
}

func (n *Node) postCheck(ctx context.Context, address, upstreamID string) (peerCheck, error) {
	body, err := json.Marshal(peerCheck{Upstream: upstreamID})
	if err != nil {
		return peerCheck{}, err
	}
	resp, err := postMessage(ctx, n.peerClient, address, peerCheckPath, body)
	if err != nil {
		return peerCheck{}, err
	}
	defer resp.Body.Close()
	var check peerCheck
	return check, json.NewDecoder(io.LimitReader(resp.Body, maxPeerMessageBytes)).Decode(&check)
}
