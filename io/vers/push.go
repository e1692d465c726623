package vers

import (
	"context"
	"sync"
	"time"

	"magnolialedge"
	"magnolialedge/io/peer/peerpb"
)

// pushTimeout bounds a push to one relay.
const pushTimeout = time.Second

func pollRequest(after int64, wait time.Duration) *peerpb.PollRequest {
	return &peerpb.PollRequest{After: after, WaitMs: wait.Milliseconds()}
}

// Push sends an accepted version to the relays of every region. It ignores failures,
// because the relays also watch the store.
func (s *Syncer) Push(ctx context.Context, revision int64, encoded []byte) {
	var wg sync.WaitGroup
	for _, in := range s.relaysOfAllRegions() {
		if in.PeerAddress != s.cfg.Self.PeerAddress {
			wg.Go(func() { s.pushTo(ctx, in, &peerpb.Version{Revision: revision, Body: encoded}) })
		}
	}
	wg.Wait()
}

// pushTo sends a version to a peer and returns the peer's revision in force. With an
// empty version it only asks for the revision.
func (s *Syncer) pushTo(ctx context.Context, in magnolialedge.Instance, v *peerpb.Version) (*peerpb.Revision, bool) {
	ctx, cancel := context.WithTimeout(s.cfg.Clients.WithSecret(ctx), pushTimeout)
	defer cancel()
	r, err := s.cfg.Clients.ClientFor(in.Region, in.PeerAddress).Offer(ctx, v)
	return r, err == nil
}

// EntryVersion is the revision that one entry has in force and the time at which the
// entry applied it. Both are zero if the entry did not respond.
type EntryVersion struct {
	Instance  magnolialedge.Instance `json:"instance"`
	Revision  int64                  `json:"revision"`
	Since     time.Time              `json:"since"`
	Responded bool                   `json:"answered"`
}

// QueryEntries asks every listed entry for its revision in force.
func (s *Syncer) QueryEntries(ctx context.Context) []EntryVersion {
	list := s.cfg.Fleet.Instances()
	out := make([]EntryVersion, len(list))
	var wg sync.WaitGroup
	for i, in := range list {
		wg.Go(func() { out[i] = s.queryEntry(ctx, in) })
	}
	wg.Wait()
	return out
}

func (s *Syncer) queryEntry(ctx context.Context, in magnolialedge.Instance) EntryVersion {
	if in.PeerAddress == s.cfg.Self.PeerAddress {
		return EntryVersion{Instance: in, Revision: s.Version().Revision, Since: s.cfg.Fleet.AppliedAt(), Responded: true}
	}
	r, ok := s.pushTo(ctx, in, &peerpb.Version{})
	if !ok {
		return EntryVersion{Instance: in}
	}
	return EntryVersion{Instance: in, Revision: r.GetRevision(), Since: time.UnixMilli(r.GetSinceUnixMs()), Responded: true}
}
