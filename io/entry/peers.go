package entry

import (
	"context"
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"magnolialedge/io/event"
	"magnolialedge/io/peer"
	"magnolialedge/io/peer/peerpb"
)

// maxPeerMessageBytes limits the size of a message from a peer.
const maxPeerMessageBytes = 32 << 20

// maxPeerWait limits how long a peer can ask this entry to delay a response.
const maxPeerWait = 30 * time.Second

// peerService implements peerpb.Peer: the RPCs that other entries call.
type peerService struct {
	entry *Entry
}

func (e *Entry) peerHandler() http.Handler {
	rpc := peerpb.NewPeerServer(&peerService{entry: e})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !secretsEqual(r.Header.Get(peer.SecretHeader), e.settings.Secret) {
			e.log.Log(event.PeerForbidden, "from", r.RemoteAddr)
			http.Error(w, "wrong secret", http.StatusForbidden)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxPeerMessageBytes)
		rpc.ServeHTTP(w, r)
	})
}

func secretsEqual(have, want string) bool {
	return subtle.ConstantTimeCompare([]byte(have), []byte(want)) == 1
}

func waitDuration(ms int64) time.Duration {
	return min(max(0, time.Duration(ms)*time.Millisecond), maxPeerWait)
}

// Poll returns the version in force once its revision exceeds the requested one. If the wait
// time passes first, it returns the current revision without a body.
func (p *peerService) Poll(ctx context.Context, m *peerpb.PollRequest) (*peerpb.Version, error) {
	revision, body := p.entry.syncer.Poll(ctx, m.GetAfter(), waitDuration(m.GetWaitMs()))
	return &peerpb.Version{Revision: revision, Body: body}, nil
}

// Offer applies a version that a peer pushes, unless the message has no body or the version
// is not newer, and returns the revision that is then in force.
func (p *peerService) Offer(_ context.Context, m *peerpb.Version) (*peerpb.Revision, error) {
	if len(m.GetBody()) > 0 {
		if err := p.entry.syncer.ApplyEncoded(m.GetBody()); err != nil {
			return nil, twirp.InvalidArgumentError("body", err.Error())
		}
	}
	return &peerpb.Revision{
		Revision:    p.entry.syncer.Version().Revision,
		SinceUnixMs: p.entry.fleet.AppliedAt().UnixMilli(),
	}, nil
}

// Ask handles a fence request for an idempotency key. While the key's request is running
// here, it delays the response by up to the requested wait time.
func (p *peerService) Ask(ctx context.Context, m *peerpb.AskRequest) (*peerpb.AskReply, error) {
	req, err := peer.FenceRequestFromProto(m)
	if err != nil {
		return nil, twirp.InvalidArgumentError("key", err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, waitDuration(m.GetWaitMs()))
	defer cancel()
	return peer.FenceReplyToProto(p.entry.keys.Fence(ctx, req))
}

// Tell applies a peer's update about a request or an upstream.
func (p *peerService) Tell(_ context.Context, m *peerpb.News) (*peerpb.Nothing, error) {
	p.entry.notifier.handleUpdate(m)
	return &peerpb.Nothing{}, nil
}

// Adopt takes over the key table of a stopping peer. It refuses if this entry is leaving too
// or if the table exceeds the capacity.
func (p *peerService) Adopt(_ context.Context, m *peerpb.Handover) (*peerpb.AdoptReply, error) {
	if p.entry.leaving.isSet() {
		return &peerpb.AdoptReply{}, nil
	}
	table, err := decodeHandover(m.GetBody())
	if err != nil {
		return nil, twirp.InvalidArgumentError("body", err.Error())
	}
	if !p.entry.keys.Import(table) {
		return &peerpb.AdoptReply{}, nil
	}
	p.entry.successors.record(table.Peer, p.entry.self.PeerAddress)
	p.entry.log.Log(event.Adopted, "stopped", table.Peer, "keys", len(table.Records))
	return &peerpb.AdoptReply{Adopted: true}, nil
}

// Recall returns the recently reported drains to a peer that is starting.
func (p *peerService) Recall(context.Context, *peerpb.Nothing) (*peerpb.Drains, error) {
	return p.entry.notifier.recentDrains(), nil
}

// Leave records that a peer is leaving.
func (p *peerService) Leave(_ context.Context, m *peerpb.Leaver) (*peerpb.Nothing, error) {
	p.entry.fleet.MarkLeaving(m.GetPeer(), m.GetStartedAtUnixMs())
	return &peerpb.Nothing{}, nil
}

// Succeed records which peer took over the keys of a stopped peer.
func (p *peerService) Succeed(_ context.Context, m *peerpb.Successor) (*peerpb.Nothing, error) {
	p.entry.successors.record(m.GetStopped(), m.GetHeir())
	return &peerpb.Nothing{}, nil
}
