package call

import (
	"context"
	"time"

	"magnolialedge/core/call"
	"magnolialedge/core/proc"
	"magnolialedge/io/peer"
)

const (
	// fenceTimeout bounds the time to the response of an earlier entry, beyond the
	// time that it was asked to wait.
	fenceTimeout = 500 * time.Millisecond
	// fenceWait is how long an earlier entry may delay its response while the key
	// is still running there.
	fenceWait = time.Second
	// maxHops limits the number of owners of a key that are queried one after the
	// other.
	maxHops = 4
)

// FenceClient asks the earlier owners of a key to fence it.
type FenceClient struct {
	cfg FenceClientConfig
}

// FenceClientConfig configures a FenceClient.
type FenceClientConfig struct {
	Clients *peer.Clients
	// RegionOf returns the region of a peer address.
	RegionOf func(address string) string
	// PeerOf returns the peer address of the entry with a caller address. It also
	// knows entries that left the instance list recently.
	PeerOf func(callerAddress string) (string, bool)
	// SuccessorOf returns the address of the peer that took over the key table of
	// a stopped peer, or address itself if no peer did.
	SuccessorOf func(address string) string
}

// NewFenceClient returns a FenceClient.
func NewFenceClient(cfg FenceClientConfig) *FenceClient {
	return &FenceClient{cfg: cfg}
}

// fenceQuery is a key and the owner on whose behalf it is fenced.
type fenceQuery struct {
	key         call.Key
	fingerprint uint64
	requester   proc.Owner
}

// query asks the entry that owned the key, and then each entry that the key moved
// to. A reply that fails or times out counts as FenceUnknown.
func (c *FenceClient) query(ctx context.Context, q fenceQuery, owner proc.Owner) proc.FenceReply {
	for range maxHops {
		reply := c.queryEntry(ctx, q, owner)
		if reply.Status != proc.FenceMoved {
			return reply
		}
		if reply.MovedTo.Peer == q.requester.Peer {
			return proc.FenceReply{Status: proc.FenceUnknown}
		}
		owner = reply.MovedTo
	}
	return proc.FenceReply{Status: proc.FenceUnknown}
}

// queryEntry asks one entry, and repeats the request while the key is running
// there and ctx is not done.
func (c *FenceClient) queryEntry(ctx context.Context, q fenceQuery, owner proc.Owner) proc.FenceReply {
	wait := time.Duration(0)
	for {
		reply, err := c.send(ctx, q, owner, wait)
		if err != nil {
			return proc.FenceReply{Status: proc.FenceUnknown}
		}
		if reply.Status != proc.FenceRunning || ctx.Err() != nil {
			return reply
		}
		wait = fenceWait
	}
}

func (c *FenceClient) send(ctx context.Context, q fenceQuery, owner proc.Owner, wait time.Duration) (proc.FenceReply, error) {
	ctx, cancel := context.WithTimeout(c.cfg.Clients.WithSecret(ctx), wait+fenceTimeout)
	defer cancel()
	address := c.cfg.SuccessorOf(owner.Peer)
	client := c.cfg.Clients.ClientFor(c.cfg.RegionOf(address), address)
	req := proc.FenceRequest{Key: q.key, Fingerprint: q.fingerprint, Generation: owner.Generation, ToSuccessor: address != owner.Peer, Requester: q.requester}
	m, err := client.Ask(ctx, peer.FenceRequestToProto(req, wait))
	if err != nil {
		return proc.FenceReply{}, err
	}
	return peer.FenceReplyFromProto(m)
}
