package mirror

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/io/event"
)

const (
	// maxConsultedPeers limits the peers that a new entry asks for what they know of
	// the time before a restoration, and consultTimeout the time for each.
	maxConsultedPeers = 2
	consultTimeout    = 150 * time.Millisecond
)

// checkEra returns ErrRestored if a reply of the store belongs to a later era than
// expected, and another error if it belongs to an earlier one, which the store no
// longer has.
func (f *Follower) checkEra(got, expected int64) error {
	if got > expected {
		return magnolialedge.ErrRestored
	}
	if own := f.Era(); got < max(expected, own) {
		return errors.Newf("the store's reply names era %d after era %d", got, max(expected, own))
	}
	return nil
}

// notifyRestored passes the changes that took effect with the first list of a new era
// to OnChange, and the whole list to the subscribers. f.mu must be held.
func (f *Follower) notifyRestored(changes []magnolialedge.Item, d Delivery) {
	if len(changes) > 0 {
		f.cfg.OnChange(changes, d)
	}
	if f.cfg.OnRestored != nil {
		f.cfg.OnRestored(f.mirror.Confirmed())
	}
	f.publish(message{Snapshot: true, Compressed: f.compressedSnapshot(), Position: f.mirror.Position()})
}

// consultPeers takes the items of a peer before a new entry applies its first list of
// a store that has eras: the store may just have been restored, and only the peers
// know what the copy lacks. Without a peer that responds, the list is all there is.
func (f *Follower) consultPeers(ctx context.Context, items []magnolialedge.Item, era int64) {
	if era == 0 || f.isInitialized() || f.Revision() != 0 || f.cfg.BackupPeers == nil || f.cfg.OnFirstPage == nil {
		return
	}
	f.cfg.OnFirstPage(items)
	peers := f.cfg.BackupPeers()
	for _, address := range peers[:min(maxConsultedPeers, len(peers))] {
		err := f.readSnapshot(ctx, address)
		if err == nil {
			return
		}
		f.cfg.Log.Log(event.SourceLost, "source", address, "err", err, "revision", f.Revision())
	}
}

// readSnapshot applies the first message of a peer's stream.
func (f *Follower) readSnapshot(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, consultTimeout)
	defer cancel()
	r, err := f.openStream(ctx, address, limits{staleness: unlimitedStaleness, hops: unlimitedHops})
	if err != nil {
		return err
	}
	defer r.Close()
	m, err := r.next(f.Era())
	if err != nil {
		return err
	}
	if err := m.decompress(); err != nil {
		return err
	}
	now := time.Now()
	f.apply(now, fromPeer(now, f.cfg.Timing, address, m), m)
	return nil
}
