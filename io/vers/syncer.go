package vers

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/vers"
	"magnolialedge/io/event"
	"magnolialedge/io/peer"
	"magnolialedge/io/proc"
)

// StoreKey is the key of the configuration in the platform's key-value service.
const StoreKey = "magnolialedge/config"

const (
	// watchWait is how long a relay's watch of the store waits for a change.
	watchWait = 10 * time.Second
	// pollWait is how long a poll of a relay waits for a change.
	pollWait = 3 * time.Second
	// pollMargin is the time that a poll may take in addition to its wait.
	pollMargin = time.Second
	// maxRelaySilence is the time without a response from a relay or the store after
	// which an entry reads the store itself.
	maxRelaySilence = pollWait + 2*pollMargin
	// retryPause is the pause after a failure, and between two checks of whether
	// this entry is a relay.
	retryPause = 250 * time.Millisecond
)

// SyncerConfig configures a Syncer.
type SyncerConfig struct {
	Self    magnolialedge.Instance
	Store   magnolialedge.Store
	Clients *peer.Clients
	Fleet   *proc.Fleet
	Log     event.Logger
}

// Syncer keeps this entry at the newest configuration version. Each region has
// relays, which watch the store; the other entries poll the relays.
type Syncer struct {
	cfg     SyncerConfig
	mu      sync.Mutex
	active  vers.ActiveVersion
	encoded []byte
	changed chan struct{}
	// lastResponse is when a relay or the store last responded, in Unix
	// nanoseconds.
	lastResponse atomic.Int64
	storeCalls   atomic.Int64
	isStoreDown  atomic.Bool
	isRelay      atomic.Bool
}

// NewSyncer returns a Syncer without a version.
func NewSyncer(cfg SyncerConfig) *Syncer {
	return &Syncer{cfg: cfg, changed: make(chan struct{})}
}

// Version returns the version in force.
func (s *Syncer) Version() magnolialedge.DocumentVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active.Version()
}

// StoreCalls returns the number of calls made to the store to read the
// configuration.
func (s *Syncer) StoreCalls() int64 {
	return s.storeCalls.Load()
}

// IsRelay reports whether this entry is a relay of its region.
func (s *Syncer) IsRelay() bool {
	return s.isRelay.Load()
}

// ApplyEncoded puts an encoded version in force if it is newer than the present one.
// It returns an error if the version is malformed or invalid.
func (s *Syncer) ApplyEncoded(data []byte) error {
	v, err := Decode(data)
	if err != nil {
		s.cfg.Log.Log(event.VersionRejected, "err", err)
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active.Advance(v) {
		return nil
	}
	s.encoded = data
	s.cfg.Fleet.Apply(v)
	close(s.changed)
	s.changed = make(chan struct{})
	s.cfg.Log.Log(event.VersionInForce, "revision", v.Revision, "changeId", v.ChangeID, "bytes", len(data))
	return nil
}

// Poll waits until the revision in force is above after, and returns it with the
// encoded version. When wait has passed, it returns the present revision and nil.
func (s *Syncer) Poll(ctx context.Context, after int64, wait time.Duration) (int64, []byte) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		revision, data, changed := s.active.Version().Revision, s.encoded, s.changed
		s.mu.Unlock()
		if revision > after {
			return revision, data
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return revision, nil
		}
	}
}

// Run obtains a first version, and then watches the store or polls the relays until ctx
// is done.
func (s *Syncer) Run(ctx context.Context) {
	s.fetchFirst(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.storeLoop(ctx) })
	for slot := range 2 {
		wg.Go(func() { s.pollLoop(ctx, slot) })
	}
	wg.Wait()
}

// fetchFirst obtains the first version from the store, or from peers if the store
// cannot be read.
func (s *Syncer) fetchFirst(ctx context.Context) {
	for ctx.Err() == nil && s.Version().Revision == 0 {
		if s.readStore(ctx) != nil {
			s.pollAllPeers(ctx)
		}
		if s.Version().Revision == 0 {
			pause(ctx, retryPause)
		}
	}
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (s *Syncer) readStore(ctx context.Context) error {
	s.storeCalls.Add(1)
	v, err := s.cfg.Store.Get(ctx, StoreKey)
	return s.handleStoreValue(v, err)
}

// handleStoreValue applies a value read from the store, and logs when the store
// becomes unreachable or reachable.
func (s *Syncer) handleStoreValue(v magnolialedge.Value, err error) error {
	if err != nil {
		if !s.isStoreDown.Swap(true) {
			s.cfg.Log.Log(event.StoreUnreachable, "err", err)
		}
		return err
	}
	if s.isStoreDown.Swap(false) {
		s.cfg.Log.Log(event.StoreReachable)
	}
	s.lastResponse.Store(time.Now().UnixNano())
	if v.Revision == 0 {
		return nil
	}
	return s.ApplyEncoded(v.Data)
}

// pollAllPeers polls every listed peer once and applies the newest version that any of
// them has.
func (s *Syncer) pollAllPeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, in := range s.cfg.Fleet.Instances() {
		if in.PeerAddress != s.cfg.Self.PeerAddress {
			wg.Go(func() { _ = s.pollPeer(ctx, in, 0) })
		}
	}
	wg.Wait()
}

// storeLoop watches the store while this entry is a relay. Otherwise it reads the
// store only if the relays do not respond.
func (s *Syncer) storeLoop(ctx context.Context) {
	var revision int64
	for ctx.Err() == nil {
		if !s.updateRole() {
			s.readStoreIfSilent(ctx)
			pause(ctx, retryPause)
			continue
		}
		s.storeCalls.Add(1)
		v, err := s.cfg.Store.Watch(ctx, StoreKey, revision, watchWait)
		if s.handleStoreValue(v, err) != nil {
			s.pollRemoteRelays(ctx)
			pause(ctx, retryPause)
			continue
		}
		revision = v.Revision
	}
}

// updateRole determines whether this entry is a relay, logs a change, and returns the
// result.
func (s *Syncer) updateRole() bool {
	isRelay := false
	for _, in := range vers.Relays(s.cfg.Fleet.Instances(), s.cfg.Self.Region) {
		isRelay = isRelay || in.PeerAddress == s.cfg.Self.PeerAddress
	}
	if s.isRelay.Swap(isRelay) != isRelay {
		s.cfg.Log.Log(event.RelayChanged, "relay", isRelay)
	}
	return isRelay
}

// readStoreIfSilent reads the store if neither a relay nor the store has responded
// within maxRelaySilence. After a failed read it waits for maxRelaySilence again.
func (s *Syncer) readStoreIfSilent(ctx context.Context) {
	silence := time.Since(time.Unix(0, s.lastResponse.Load()))
	if silence < maxRelaySilence {
		return
	}
	_ = s.readStore(ctx)
	s.lastResponse.Store(time.Now().UnixNano())
}

// pollRemoteRelays polls the relays of other regions. A relay does so while it
// cannot reach the store.
func (s *Syncer) pollRemoteRelays(ctx context.Context) {
	var wg sync.WaitGroup
	for _, in := range s.relaysOfAllRegions() {
		if in.Region != s.cfg.Self.Region {
			wg.Go(func() { _ = s.pollPeer(ctx, in, pollWait) })
		}
	}
	wg.Wait()
}

// relaysOfAllRegions returns the relays of every region that has a listed instance.
func (s *Syncer) relaysOfAllRegions() []magnolialedge.Instance {
	list := s.cfg.Fleet.Instances()
	seen := map[string]bool{}
	var out []magnolialedge.Instance
	for _, in := range list {
		if !seen[in.Region] {
			seen[in.Region] = true
			out = append(out, vers.Relays(list, in.Region)...)
		}
	}
	return out
}

// pollLoop polls the region's relay with index slot, unless that is this entry.
func (s *Syncer) pollLoop(ctx context.Context, slot int) {
	for ctx.Err() == nil {
		relays := vers.Relays(s.cfg.Fleet.Instances(), s.cfg.Self.Region)
		if slot >= len(relays) || relays[slot].PeerAddress == s.cfg.Self.PeerAddress {
			pause(ctx, retryPause)
			continue
		}
		if s.pollPeer(ctx, relays[slot], pollWait) != nil {
			pause(ctx, retryPause)
			continue
		}
		s.lastResponse.Store(time.Now().UnixNano())
	}
}

// pollPeer polls a peer for a newer version and applies it.
func (s *Syncer) pollPeer(ctx context.Context, in magnolialedge.Instance, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(s.cfg.Clients.WithSecret(ctx), wait+pollMargin)
	defer cancel()
	reply, err := s.cfg.Clients.ClientFor(in.Region, in.PeerAddress).Poll(ctx, pollRequest(s.Version().Revision, wait))
	if err != nil {
		return errors.Wrap(err, "poll peer")
	}
	if len(reply.GetBody()) == 0 {
		return nil
	}
	return s.ApplyEncoded(reply.GetBody())
}
