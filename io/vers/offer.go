package vers

import (
	"context"
	"sync"
	"time"

	"magnolialedge"
	"magnolialedge/io/peer/peerpb"
)

// offerTimeout bounds an offer to one relay.
const offerTimeout = time.Second

func pollRequest(after int64, wait time.Duration) *peerpb.PollRequest {
	return &peerpb.PollRequest{After: after, WaitMs: wait.Milliseconds()}
}

// Push gives the relays of every region a version that has been accepted.
func (k *Syncer) Push(ctx context.Context, revision int64, encoded []byte) {
	var wg sync.WaitGroup
	for _, in := range k.relaysOfAll() {
		if in.PeerAddress != k.cfg.Self.PeerAddress {
			wg.Go(func() { k.offerTo(ctx, in, &peerpb.Version{Revision: revision, Body: encoded}) })
		}
	}
	wg.Wait()
}

func (k *Syncer) offerTo(ctx context.Context, in magnolialedge.Instance, v *peerpb.Version) (*peerpb.Revision, bool) {
	ctx, cancel := context.WithTimeout(k.cfg.Clients.With(ctx), offerTimeout)
	defer cancel()
	r, err := k.cfg.Clients.To(in.Region, in.PeerAddress).Offer(ctx, v)
	return r, err == nil
}

// EntryVersion is what one entry has in force.
type EntryVersion struct {
	Instance magnolialedge.Instance `json:"instance"`
	Revision int64                  `json:"revision"`
	Since    time.Time              `json:"since"`
	Answered bool                   `json:"answered"`
}

// QueryEntries asks every listed entry what it has in force.
func (k *Syncer) QueryEntries(ctx context.Context) []EntryVersion {
	list := k.cfg.Fleet.Instances()
	out := make([]EntryVersion, len(list))
	var wg sync.WaitGroup
	for i, in := range list {
		wg.Go(func() { out[i] = k.surveyOne(ctx, in) })
	}
	wg.Wait()
	return out
}

func (k *Syncer) surveyOne(ctx context.Context, in magnolialedge.Instance) EntryVersion {
	if in.PeerAddress == k.cfg.Self.PeerAddress {
		return EntryVersion{Instance: in, Revision: k.Version().Revision, Since: k.cfg.Fleet.AppliedAt(), Answered: true}
	}
	r, ok := k.offerTo(ctx, in, &peerpb.Version{})
	if !ok {
		return EntryVersion{Instance: in}
	}
	return EntryVersion{Instance: in, Revision: r.GetRevision(), Since: time.UnixMilli(r.GetSinceUnixMs()), Answered: true}
}
