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

// StoreKey is the name under which the platform's service holds the configuration.
const StoreKey = "magnolialedge/config"

const (
	// storeWait is how long a relay's watch waits.
	storeWait = 10 * time.Second
	// pollWait is how long a poll of a relay waits.
	pollWait = 3 * time.Second
	// pollMargin is what a poll may take beyond its wait.
	pollMargin = time.Second
	// quietLimit is the time without word from a relay after which an entry
	// reads the store itself.
	quietLimit = pollWait + 2*pollMargin
	// againAfter is the pause after a failure, or before a role is looked at
	// again.
	againAfter = 250 * time.Millisecond
)

// SyncerConfig constructs a Syncer.
type SyncerConfig struct {
	Self    magnolialedge.Instance
	Store   magnolialedge.Store
	Clients *peer.Clients
	Fleet   *proc.Fleet
	Log     event.Logger
}

// Syncer keeps this entry at the newest version.
type Syncer struct {
	cfg     SyncerConfig
	mu      sync.Mutex
	holder  vers.ActiveVersion
	encoded []byte
	changed chan struct{}
	// heard is when a relay or the store last answered, in Unix nanoseconds.
	heard      atomic.Int64
	storeCalls atomic.Int64
	storeDown  atomic.Bool
	relay      atomic.Bool
}

// NewSyncer returns a Syncer without a version.
func NewSyncer(cfg SyncerConfig) *Syncer {
	return &Syncer{cfg: cfg, changed: make(chan struct{})}
}

// Version returns the version in force.
func (k *Syncer) Version() magnolialedge.DocumentVersion {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Version()
}

// StoreCalls returns the number of calls made to the platform's service.
func (k *Syncer) StoreCalls() int64 {
	return k.storeCalls.Load()
}

// IsRelay reports whether this entry passes versions on to its region.
func (k *Syncer) IsRelay() bool {
	return k.relay.Load()
}

// ApplyEncoded puts an encoded version in force if it is newer.
func (k *Syncer) ApplyEncoded(data []byte) error {
	v, err := Decode(data)
	if err != nil {
		k.cfg.Log.Log(event.VersionRejected, "err", err)
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.holder.Advance(v) {
		return nil
	}
	k.encoded = data
	k.cfg.Fleet.Apply(v)
	close(k.changed)
	k.changed = make(chan struct{})
	k.cfg.Log.Log(event.VersionInForce, "revision", v.Revision, "changeId", v.ChangeID, "bytes", len(data))
	return nil
}

// Poll returns the encoded version in force as soon as its revision is above
// after, or none when wait has passed.
func (k *Syncer) Poll(ctx context.Context, after int64, wait time.Duration) (int64, []byte) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		k.mu.Lock()
		revision, data, changed := k.holder.Version().Revision, k.encoded, k.changed
		k.mu.Unlock()
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

// Run keeps the version new until ctx is done.
func (k *Syncer) Run(ctx context.Context) {
	k.start(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { k.storeLoop(ctx) })
	for slot := range 2 {
		wg.Go(func() { k.pollLoop(ctx, slot) })
	}
	wg.Wait()
}

// start takes the first version, from the store or else from peers.
func (k *Syncer) start(ctx context.Context) {
	for ctx.Err() == nil && k.Version().Revision == 0 {
		if k.readStore(ctx) != nil {
			k.askAll(ctx)
		}
		if k.Version().Revision == 0 {
			pause(ctx, againAfter)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (k *Syncer) readStore(ctx context.Context) error {
	k.storeCalls.Add(1)
	v, err := k.cfg.Store.Get(ctx, StoreKey)
	return k.took(v, err)
}

// took takes what the store answered and notes whether it can be reached.
func (k *Syncer) took(v magnolialedge.Value, err error) error {
	if err != nil {
		if !k.storeDown.Swap(true) {
			k.cfg.Log.Log(event.StoreUnreachable, "err", err)
		}
		return err
	}
	if k.storeDown.Swap(false) {
		k.cfg.Log.Log(event.StoreReachable)
	}
	k.heard.Store(time.Now().UnixNano())
	if v.Revision == 0 {
		return nil
	}
	return k.ApplyEncoded(v.Data)
}

// askAll takes the highest version that any peer has.
func (k *Syncer) askAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, in := range k.cfg.Fleet.Instances() {
		if in.PeerAddress != k.cfg.Self.PeerAddress {
			wg.Go(func() { _ = k.pollPeer(ctx, in, 0) })
		}
	}
	wg.Wait()
}

// storeLoop watches the store while this entry is a relay, and reads it when no
// relay gives word.
func (k *Syncer) storeLoop(ctx context.Context) {
	var revision int64
	for ctx.Err() == nil {
		if !k.updateRole() {
			k.readIfQuiet(ctx)
			pause(ctx, againAfter)
			continue
		}
		k.storeCalls.Add(1)
		v, err := k.cfg.Store.Watch(ctx, StoreKey, revision, storeWait)
		if k.took(v, err) != nil {
			k.askRelaysElsewhere(ctx)
			pause(ctx, againAfter)
			continue
		}
		revision = v.Revision
	}
}

func (k *Syncer) updateRole() bool {
	is := false
	for _, in := range vers.Relays(k.cfg.Fleet.Instances(), k.cfg.Self.Region) {
		is = is || in.PeerAddress == k.cfg.Self.PeerAddress
	}
	if k.relay.Swap(is) != is {
		k.cfg.Log.Log(event.RelayChanged, "relay", is)
	}
	return is
}

func (k *Syncer) readIfQuiet(ctx context.Context) {
	quiet := time.Since(time.Unix(0, k.heard.Load()))
	if quiet < quietLimit {
		return
	}
	_ = k.readStore(ctx)
	k.heard.Store(time.Now().UnixNano())
}

// askRelaysElsewhere takes versions from other regions' relays while the store
// can't be reached.
func (k *Syncer) askRelaysElsewhere(ctx context.Context) {
	var wg sync.WaitGroup
	for _, in := range k.relaysOfAll() {
		if in.Region != k.cfg.Self.Region {
			wg.Go(func() { _ = k.pollPeer(ctx, in, pollWait) })
		}
	}
	wg.Wait()
}

func (k *Syncer) relaysOfAll() []magnolialedge.Instance {
	list := k.cfg.Fleet.Instances()
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

// pollLoop polls one of the region's relays.
func (k *Syncer) pollLoop(ctx context.Context, slot int) {
	for ctx.Err() == nil {
		relays := vers.Relays(k.cfg.Fleet.Instances(), k.cfg.Self.Region)
		if slot >= len(relays) || relays[slot].PeerAddress == k.cfg.Self.PeerAddress {
			pause(ctx, againAfter)
			continue
		}
		if k.pollPeer(ctx, relays[slot], pollWait) != nil {
			pause(ctx, againAfter)
			continue
		}
		k.heard.Store(time.Now().UnixNano())
	}
}

func (k *Syncer) pollPeer(ctx context.Context, in magnolialedge.Instance, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(k.cfg.Clients.With(ctx), wait+pollMargin)
	defer cancel()
	reply, err := k.cfg.Clients.To(in.Region, in.PeerAddress).Poll(ctx, pollRequest(k.Version().Revision, wait))
	if err != nil {
		return errors.Wrap(err, "poll")
	}
	if len(reply.GetBody()) == 0 {
		return nil
	}
	return k.ApplyEncoded(reply.GetBody())
}
