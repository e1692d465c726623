package call

import (
	"context"
	"time"

	"magnolialedge/core/call"
	"magnolialedge/core/proc"
	"magnolialedge/io/peer"
)

const (
	// askTimeout is how long an earlier entry may take to say a first word.
	askTimeout = 500 * time.Millisecond
	// askWait is how long it may hold back its answer while the key is running.
	askWait = time.Second
	// mostHops bounds how often a key is followed from entry to entry.
	mostHops = 4
)

// FenceClient asks earlier entries about a key.
type FenceClient struct {
	cfg FenceClientConfig
}

// FenceClientConfig constructs a FenceClient.
type FenceClientConfig struct {
	Clients *peer.Clients
	// RegionOf returns the region of a peer address.
	RegionOf func(address string) string
	// PeerOf returns the peer address of the entry that callers reach at an
	// address, also of one that is listed no more.
	PeerOf func(callers string) (string, bool)
	// SuccessorOf returns the peer that answers for a stopped one, or the address
	// itself.
	SuccessorOf func(address string) string
}

// NewFenceClient returns a FenceClient.
func NewFenceClient(cfg FenceClientConfig) *FenceClient {
	return &FenceClient{cfg: cfg}
}

// question is a key and who asks for it.
type question struct {
	key         call.Key
	fingerprint uint64
	by          proc.Owner
}

// ask asks the entry to which the key belonged, and those it moved to. No
// answer within the time counts as unknown.
func (k *FenceClient) ask(ctx context.Context, q question, earlier proc.Owner) proc.FenceReply {
	for range mostHops {
		reply := k.askOne(ctx, q, earlier)
		if reply.Status != proc.FenceMoved {
			return reply
		}
		if reply.MovedTo.Peer == q.by.Peer {
			return proc.FenceReply{Status: proc.FenceUnknown}
		}
		earlier = reply.MovedTo
	}
	return proc.FenceReply{Status: proc.FenceUnknown}
}

// askOne asks one entry, again and again while the key is running there.
func (k *FenceClient) askOne(ctx context.Context, q question, earlier proc.Owner) proc.FenceReply {
	wait := time.Duration(0)
	for {
		reply, err := k.call(ctx, q, earlier, wait)
		if err != nil {
			return proc.FenceReply{Status: proc.FenceUnknown}
		}
		if reply.Status != proc.FenceRunning || ctx.Err() != nil {
			return reply
		}
		wait = askWait
	}
}

func (k *FenceClient) call(ctx context.Context, q question, earlier proc.Owner, wait time.Duration) (proc.FenceReply, error) {
	ctx, cancel := context.WithTimeout(k.cfg.Clients.With(ctx), wait+askTimeout)
	defer cancel()
	address := k.cfg.SuccessorOf(earlier.Peer)
	client := k.cfg.Clients.To(k.cfg.RegionOf(address), address)
	ask := proc.FenceRequest{Key: q.key, Fingerprint: q.fingerprint, Generation: earlier.Generation, ToSuccessor: address != earlier.Peer, Requester: q.by}
	m, err := client.Ask(ctx, peer.AskToWire(ask, wait))
	if err != nil {
		return proc.FenceReply{}, err
	}
	return peer.ReplyFromWire(m)
}
