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
	// watchWait is how long one call waits for changes. A store that went
	// silent shows after it.
	watchWait = 1200 * time.Millisecond
	// watchGap is the least time between two calls, so that many small changes
	// cost few calls.
	watchGap = 150 * time.Millisecond
	// retryGap is the time between two calls to a store that fails, with
	// retryJitter added to it at random.
	retryGap    = 100 * time.Millisecond
	retryJitter = 200 * time.Millisecond
	// tickEvery is the time between two looks at held removals.
	tickEvery = 200 * time.Millisecond
)

// Config constructs a Follower.
type Config struct {
	Store magnolialedge.Keyspace
	// Prefix is that of the keys to follow.
	Prefix string
	// OnChange is told each change that has an effect, in order.
	OnChange func([]magnolialedge.Item)
	// Sources returns the peer addresses to take changes from, the best first;
	// none means that this entry watches the store itself.
	Sources func() []string
	// FallbackPeers returns further peer addresses, which may know more than this entry
	// when it has lost the store; it may be nil.
	FallbackPeers func() []string
	// OnFirstPage is told the first items of a store with more of them, so that Sources
	// may know some; it may be nil.
	OnFirstPage func([]magnolialedge.Item)
	// SourceTimeout returns for how long an entry that no source serves goes on asking
	// them before it lists the store itself, so that the entries of a large fleet
	// don't all list it at the same time; nil stands for none.
	SourceTimeout func() time.Duration
	Dialer        PeerDialer
	// Seeds are peer addresses known from the start, from which a new entry
	// learns what they know while the store gives no answer.
	Seeds []string
	// Name is what this entry calls itself at its sources.
	Name string
	// OnSubscriberLost is told the name of an entry whose stream from here has ended,
	// and OnSourceLost the address of one whose stream to here has; both may be
	// nil.
	OnSubscriberLost func(name string)
	OnSourceLost     func(address string)
	Log              event.Logger
}

// Follower keeps a mirror of a store.
type Follower struct {
	cfg Config

	mu     sync.Mutex
	mirror *mirror.Mirror
	listed bool
	// known tells that the store was listed or a source has told of it.
	known   bool
	reached time.Time
	lost    bool
	subs    map[chan message]struct{}
	pack    pack
}

// NewFollower returns a Follower that knows nothing.
func NewFollower(cfg Config) *Follower {
	return &Follower{cfg: cfg, mirror: mirror.New(), subs: map[chan message]struct{}{}}
}

// Run follows the store until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	go f.tick(ctx)
	go f.seed(ctx)
	for ctx.Err() == nil {
		if len(f.cfg.Sources()) == 0 {
			f.watch(ctx, f.mayDefer())
			f.followOthers(ctx)
			continue
		}
		if !f.followSources(ctx) {
			f.watchFor(ctx, fallbackTime)
		}
	}
}

func (f *Follower) isKnown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// followOthers takes changes from any other entry for a while if this one has
// lost the store, which may turn away some entries and serve others.
func (f *Follower) followOthers(ctx context.Context) {
	if f.cfg.FallbackPeers == nil || !f.isAway() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fallbackTime)
	defer cancel()
	f.followAny(ctx, f.cfg.FallbackPeers())
	f.setListed(false)
}

func (f *Follower) isAway() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.IsOutage(time.Now())
}

// fallbackTime is how long an entry watches the store itself when no peer
// passes changes on.
const fallbackTime = 3 * time.Second

func (f *Follower) hasListed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// Staleness returns the time since the store was last known to be reached.
func (f *Follower) Staleness(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.reached)
}

// Revision returns the revision up to which the store is known.
func (f *Follower) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Revision()
}

// Size returns the number of items that are known.
func (f *Follower) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Len()
}

func (f *Follower) watchFor(ctx context.Context, length time.Duration) {
	until := time.Now().Add(length)
	for ctx.Err() == nil && time.Now().Before(until) {
		f.watch(ctx, false)
	}
}

// watch lists or watches once, and leaves the time between calls.
func (f *Follower) watch(ctx context.Context, mayDefer bool) {
	begun := time.Now()
	var err error
	if !f.hasListed() {
		err = f.list(ctx, mayDefer)
	} else {
		err = f.changes(ctx)
	}
	switch {
	case errors.Is(err, errDeferred):
		go f.ensureStart(ctx)
	case err == nil:
		pause.Sleep(ctx, watchGap-time.Since(begun))
	case errors.Is(err, magnolialedge.ErrHistoryLost):
		f.cfg.Log.Log(event.HistoryLost, "revision", f.Revision())
		f.setListed(false)
	default:
		f.failed(err)
		pause.Sleep(ctx, retryGap+rand.N(retryJitter))
	}
}

func (f *Follower) setListed(listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = listed
}

// errDeferred tells that the rest of a listing is left to the sources.
var errDeferred = errors.New("the sources are asked for what the store holds")

// list reads all items. The revision of the first page is the one from which
// changes are asked for, since pages aren't a snapshot. If mayDefer is set it
// ends behind the first of several pages when that names sources to ask.
func (f *Follower) list(ctx context.Context, mayDefer bool) error {
	var items []magnolialedge.Item
	revision, after := int64(-1), ""
	for {
		page, err := f.cfg.Store.Range(ctx, f.cfg.Prefix, after)
		if err != nil {
			return err
		}
		if revision < 0 {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.HasMore || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
		if mayDefer {
			mayDefer = false
			f.cfg.OnFirstPage(items)
			if len(f.cfg.Sources()) > 0 {
				return errDeferred
			}
		}
	}
	f.take(mirror.FromStore, message{Snapshot: true, Items: items, Revision: revision}, time.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = true
	f.known = true
	return nil
}

func (f *Follower) changes(ctx context.Context) error {
	page, err := f.cfg.Store.Changes(ctx, f.cfg.Prefix, f.Revision(), f.wait())
	if err != nil {
		return err
	}
	f.take(mirror.FromStore, message{Items: page.Items, Revision: page.Revision}, time.Now())
	return nil
}

// wait is how long a call may wait for changes. While the store is lost a call
// asks for an answer at once, so that its return is noticed soon.
func (f *Follower) wait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return 0
	}
	return watchWait
}

// take brings news into the mirror and passes on what has an effect.
func (f *Follower) take(from mirror.Origin, m message, reached time.Time) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(reached) < mostStreamAge {
		f.mirror.RecordSuccess(now)
	}
	f.reached = reached
	if f.lost && now.Sub(reached) < mostStreamAge {
		f.lost = false
		f.cfg.Log.Log(event.StoreReachable, "revision", m.Revision)
	}
	var effective []magnolialedge.Item
	if m.Snapshot {
		effective = f.mirror.ApplySnapshot(now, from, m.Items, m.Revision)
	} else {
		effective = f.mirror.ApplyChanges(now, m.Items, m.Revision)
	}
	f.pass(effective)
}

// pass tells of effective changes; f.mu is held, so that they stay in order.
func (f *Follower) pass(changes []magnolialedge.Item) {
	if len(changes) > 0 {
		f.cfg.OnChange(changes)
	}
	f.publish(message{Items: changes, Revision: f.mirror.Revision()})
}

func (f *Follower) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mirror.RecordFailure(time.Now())
	if !f.lost {
		f.lost = true
		f.cfg.Log.Log(event.StoreUnreachable, "err", err, "revision", f.mirror.Revision())
	}
}

func (f *Follower) tick(ctx context.Context) {
	for ctx.Err() == nil {
		pause.Sleep(ctx, tickEvery)
		f.mu.Lock()
		f.pass(f.mirror.ExpireHeld(time.Now()))
		f.mu.Unlock()
	}
}
