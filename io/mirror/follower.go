package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/mirror"
	"magnolialedge/io/event"
	"magnolialedge/io/pause"
)

const (
	// storeRetryDelay is the delay before the next call to a store that failed;
	// a random part of storeRetryJitter is added to it.
	storeRetryDelay  = 100 * time.Millisecond
	storeRetryJitter = 200 * time.Millisecond
	// confirmedRetryDelay replaces storeRetryDelay while other entries confirm that the
	// items are up to date.
	confirmedRetryDelay = time.Second
	// slowReply is the delay of the store's replies from which calls do not wait for
	// changes, so that a reply arrives before the call times out.
	slowReply = 300 * time.Millisecond
	// tickInterval is the time between two checks whether the removals that the
	// mirror holds back have expired.
	tickInterval = 200 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	Store magnolialedge.Keyspace
	// Prefix is the prefix of the keys to follow.
	Prefix string
	// Generation returns the order of an item's value among all values of its key.
	Generation func(magnolialedge.Item) magnolialedge.Generation
	// OnRestored receives all listed items when the store turns out to have been
	// restored from a copy; it may be nil.
	OnRestored func([]magnolialedge.Item)
	// OnChange receives each change that has an effect, in order, and how it reached
	// this entry.
	OnChange func([]magnolialedge.Item, Delivery)
	// Sources returns the addresses of the peers to subscribe to, in order of
	// preference. If there are none, this entry watches the store itself.
	Sources func() []string
	// SpareSources returns the addresses of further peers that watch the store while
	// all sources have lost it, and MayWatch whether this entry does so. nil means
	// that there are no spare sources and that this entry watches the store.
	SpareSources func() []string
	MayWatch     func() bool
	// BackupPeers returns the addresses of other entries, best first. They may still
	// reach the store when this entry and its sources do not. It may be nil.
	BackupPeers func() []string
	// ProbeStore makes a cheap call to the store. An entry that follows sources
	// makes it before it asks for changes while no other entry reaches the store. nil
	// means that it does not call the store then.
	ProbeStore func(context.Context) error
	// OnFirstPage receives the first page of a store with several pages, so
	// that Sources can return peers found in it. If Sources then returns any, a
	// new entry leaves the rest of the listing to them. It may be nil.
	OnFirstPage func([]magnolialedge.Item)
	// SourceTimeout returns how long an entry whose sources all fail keeps
	// trying them before it lists the store itself. Timeouts that differ keep
	// the entries of a large fleet from listing the store all at once. nil means
	// 0.
	SourceTimeout func() time.Duration
	Dialer        PeerDialer
	// Seeds are peer addresses that are known at startup. While the store does
	// not respond, a new entry initializes from them.
	Seeds []string
	// Timing holds the intervals of watch calls and streams; the zero value means
	// the default.
	Timing mirror.Timing
	// Name identifies this entry to its sources.
	Name string
	// Unreachable returns the names of the entries that do not respond, for subscribers of
	// earlier releases. It may be nil.
	Unreachable func() []string
	// OnSubscriberLost receives the name of an entry whose subscription to this
	// one has ended, and OnSourceLost the address of a peer whose stream to
	// this entry has ended; both may be nil.
	OnSubscriberLost func(name string)
	OnSourceLost     func(address string)
	Log              event.Logger
}

// Follower keeps a copy of a store's items up to date, from the store itself or
// from peers, and streams them to subscribers.
type Follower struct {
	cfg Config

	mu     sync.Mutex
	mirror *mirror.Mirror
	// isListed is set while the items are complete up to the mirror's revision,
	// so that the next call only asks for later changes. Otherwise the next call
	// lists the store.
	isListed bool
	// initialized is set once the store has been listed or a source has
	// delivered items.
	initialized bool
	// reachedAt is when the store was last reached, by this entry or by another one
	// from which it receives changes.
	reachedAt time.Time
	// hops is the number of entries between this one and the store as of
	// reachedAt; 0 means that this entry reached the store itself.
	hops int
	// confirmedAt is the latest time as of which the store or the source, without the
	// backup streams, has confirmed that the items are up to date.
	confirmedAt time.Time
	// publishedAt is reachedAt as of the last message to all subscribers.
	publishedAt time.Time
	backups     backups
	// isPolling is set while this entry calls the store instead of following sources.
	isPolling bool
	// replyDelay is by how much the store's last reply was late.
	replyDelay time.Duration
	// unreachable is set from a failed call until the store is reached again.
	unreachable bool
	subscribers map[chan message]struct{}
	snapshots   snapshotCache
	history     history
}

// NewFollower returns a Follower without any items.
func NewFollower(cfg Config) *Follower {
	if cfg.Timing == (mirror.Timing{}) {
		cfg.Timing = mirror.TimingFor(mirror.DefaultPropagation)
	}
	return &Follower{cfg: cfg, mirror: mirror.New(mirror.Config{Generation: cfg.Generation}), subscribers: map[chan message]struct{}{}, backups: newBackups(cfg.Timing)}
}

// Run follows the store until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	go f.expireHeld(ctx)
	go f.followSeeds(ctx)
	if f.cfg.BackupPeers != nil {
		go f.runBackups(ctx)
	}
	for ctx.Err() == nil {
		if len(f.cfg.Sources()) == 0 {
			f.setPolling(true)
			f.pollStore(ctx, f.canDeferListing())
			continue
		}
		f.setPolling(false)
		if f.followSources(ctx) {
			continue
		}
		if f.cfg.MayWatch == nil || f.cfg.MayWatch() {
			f.setPolling(true)
			f.pollStoreFor(ctx, fallbackDuration)
			continue
		}
		if !f.followAny(ctx, f.cfg.SpareSources(), f.sourceLimits()) {
			pause.Sleep(ctx, sourceLossDelay)
		}
		f.setListed(false)
	}
}

func (f *Follower) isInitialized() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.initialized
}

// fallbackDuration is how long an entry watches the store itself if no source
// serves it.
const fallbackDuration = 3 * time.Second

func (f *Follower) hasListed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isListed
}

// Staleness returns the time since the store was last reached, by this entry or by
// another one from which it receives changes.
func (f *Follower) Staleness(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.reachedAt)
}

// Revision returns the store revision of the follower's items.
func (f *Follower) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Position().Revision
}

// Era returns the era of the store to which the follower's items belong.
func (f *Follower) Era() int64 {
	return f.position().Era
}

func (f *Follower) position() magnolialedge.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Position()
}

// Subscribers returns the number of entries that receive changes from this one.
func (f *Follower) Subscribers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.subscribers)
}

// Size returns the number of items.
func (f *Follower) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Len()
}

// pollStoreFor polls the store for the given duration.
func (f *Follower) pollStoreFor(ctx context.Context, duration time.Duration) {
	until := time.Now().Add(duration)
	for ctx.Err() == nil && time.Now().Before(until) {
		f.pollStore(ctx, false)
	}
}

// pollStore lists the store or makes one watch call, and then waits for the delay
// until the next call.
func (f *Follower) pollStore(ctx context.Context, mayDefer bool) {
	start := time.Now()
	var err error
	if !f.hasListed() {
		err = f.list(ctx, mayDefer)
	} else {
		err = f.fetchChanges(ctx)
	}
	switch {
	case errors.Is(err, errListingDeferred):
		go f.listUnlessInitialized(ctx)
	case err == nil:
		pause.Sleep(ctx, f.cfg.Timing.WatchInterval-time.Since(start))
	case errors.Is(err, magnolialedge.ErrHistoryLost), errors.Is(err, magnolialedge.ErrRestored):
		f.cfg.Log.Log(event.HistoryLost, "revision", f.Revision(), "era", f.Era(), "cause", err)
		f.setListed(false)
	default:
		f.recordFailure(err)
		pause.Sleep(ctx, f.retryDelay())
	}
}

// retryDelay returns the delay before the next call to a store that failed.
func (f *Follower) retryDelay() time.Duration {
	if f.Staleness(time.Now()) < f.cfg.Timing.BackupDelay() {
		return confirmedRetryDelay
	}
	return storeRetryDelay + rand.N(storeRetryJitter)
}

func (f *Follower) setPolling(polling bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isPolling = polling
}

func (f *Follower) setListed(listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isListed = listed
}

// apply applies a message to the mirror and publishes the changes that have an effect.
func (f *Follower) apply(now time.Time, a arrival, m message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := a.delivery(now, f.reachedAt)
	f.confirm(now, a, m.Revision)
	own := f.mirror.Position()
	if own.Era != m.Era || own.Revision == 0 {
		defer func() { f.history.reset(f.mirror.Position()) }()
	}
	if a.isBackup {
		defer f.relistAfter(own)
	}
	if !m.Snapshot {
		f.notify(f.mirror.ApplyChanges(now, m.Items, m.Position), d)
		return
	}
	if m.Position.Before(own) {
		f.cfg.Log.Log(event.OlderListIgnored, "revision", m.Revision, "era", m.Era, "ownRevision", own.Revision, "ownEra", own.Era, "items", len(m.Items))
	}
	effective := f.mirror.ApplySnapshot(now, a.origin, m.Items, m.Position)
	if own.Revision == 0 || m.Era <= own.Era {
		f.notify(effective, d)
		return
	}
	f.cfg.Log.Log(event.StoreRestored, "era", m.Era, "previousEra", own.Era, "revision", m.Revision, "previousRevision", own.Revision, "changes", len(effective), "held", f.mirror.HeldCount())
	f.notifyRestored(effective, d)
}

// confirm records as of when an arrival confirms that the items are up to date; f.mu must
// be held.
func (f *Follower) confirm(now time.Time, a arrival, revision int64) {
	if a.isBackup && a.hops > maxConfirmingHops {
		return
	}
	isFresh := now.Sub(a.reachedAt) < maxSourceStaleness
	if isFresh {
		f.mirror.RecordSuccess(now)
	}
	if a.reachedAt.After(f.reachedAt) {
		f.reachedAt, f.hops = a.reachedAt, a.hops
	}
	if a.isBackup {
		f.backups.Confirm(a.source, a.reachedAt)
		return
	}
	if at := a.reachedAt.Add(a.allowance); at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
	if f.unreachable && isFresh {
		f.unreachable = false
		f.cfg.Log.Log(event.StoreReachable, "revision", revision)
	}
}

// relistAfter makes the next call list the store if a backup stream has moved the position
// on from the given one. Its peer may have held back removals older than the new position,
// which the changes after it do not include. f.mu must be held.
func (f *Follower) relistAfter(position magnolialedge.Position) {
	if f.mirror.Position() != position {
		f.isListed = false
	}
}

// notify passes effective changes to OnChange and to the subscribers. Without changes, the
// position tells the subscribers that their items are up to date, if they do not know that
// already: entries that receive changes from each other would repeat it without end. f.mu
// must be held, so that the changes stay in order.
func (f *Follower) notify(changes []magnolialedge.Item, d Delivery) {
	if len(changes) > 0 {
		f.cfg.OnChange(changes, d)
	}
	f.history.record(f.mirror.Position(), changes)
	if len(changes) > 0 || f.reachedAt.Sub(f.publishedAt) >= f.cfg.Timing.Heartbeat/2 {
		f.publish(f.changesMessage(changes))
		f.publishedAt = f.reachedAt
	}
}

// recordFailure records a failed call to the store, and logs the first one since the
// store was last reached.
func (f *Follower) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mirror.RecordFailure(time.Now())
	if !f.unreachable {
		f.unreachable = true
		f.cfg.Log.Log(event.StoreUnreachable, "err", err, "revision", f.mirror.Position().Revision)
	}
}

// expireHeld publishes the removals held back by the mirror once they expire,
// until ctx is done.
func (f *Follower) expireHeld(ctx context.Context) {
	for ctx.Err() == nil {
		pause.Sleep(ctx, tickInterval)
		f.mu.Lock()
		now := time.Now()
		if expired := f.mirror.ExpireHeld(now); len(expired) > 0 {
			f.notify(expired, Delivery{Age: now.Sub(f.reachedAt), Hops: f.hops})
		}
		f.mu.Unlock()
	}
}
