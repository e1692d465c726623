package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/io/pause"
)

// deferredListDelay plus the source timeout is how long a new entry that has left the
// listing to its sources waits for them before it lists the store itself.
const deferredListDelay = 150 * time.Millisecond

// errListingDeferred means that the rest of a listing is left to the sources.
var errListingDeferred = errors.New("the listing is left to the sources")

// list reads all items from the store and applies them. If mayDefer is set, it may
// return errListingDeferred.
func (f *Follower) list(ctx context.Context, mayDefer bool) error {
	start := time.Now()
	items, first, err := f.readItems(ctx, mayDefer)
	if err != nil {
		return err
	}
	f.consultPeers(ctx, items, first.Era)
	f.apply(time.Now(), fromStore(start), message{Snapshot: true, Items: items, Position: first})
	f.mu.Lock()
	defer f.mu.Unlock()
	// A list that was not applied as older does not tell which items were removed since.
	f.isListed = !first.Before(f.mirror.Position())
	f.initialized = true
	return nil
}

// readItems reads all items from the store. It returns the position of the first page,
// from which later calls request the changes, because the pages are not a snapshot of
// one revision. If mayDefer is set, it passes the first of several pages to OnFirstPage;
// if there are sources afterwards, it leaves the rest to them and returns
// errListingDeferred.
func (f *Follower) readItems(ctx context.Context, mayDefer bool) (items []magnolialedge.Item, first magnolialedge.Position, err error) {
	after := ""
	for {
		page, err := f.cfg.Store.Range(ctx, f.cfg.Prefix, after)
		if err != nil {
			return nil, first, err
		}
		if after == "" {
			first = page.Position.WithEra(f.Era())
		}
		page.Position = page.Position.WithEra(first.Era)
		if err := f.checkEra(page.Era, first.Era); err != nil {
			return nil, first, err
		}
		items = append(items, page.Items...)
		if !page.HasMore || len(page.Items) == 0 {
			return items, first, nil
		}
		after = page.Items[len(page.Items)-1].Key
		if mayDefer {
			mayDefer = false
			f.cfg.OnFirstPage(items)
			if len(f.cfg.Sources()) > 0 {
				return nil, first, errListingDeferred
			}
		}
	}
}

// fetchChanges waits for changes of the store and applies them.
func (f *Follower) fetchChanges(ctx context.Context) error {
	return f.fetch(ctx, f.watchWait(), false)
}

// fetch waits for changes of the store for up to wait and applies them. isBackup is set for a
// call beside the primary way.
func (f *Follower) fetch(ctx context.Context, wait time.Duration, isBackup bool) error {
	asked, start := f.position(), time.Now()
	page, err := f.cfg.Store.Changes(ctx, f.cfg.Prefix, asked.Revision, wait)
	if err != nil {
		return err
	}
	now := time.Now()
	reachedAt := f.replyTime(page, start, now, wait)
	page.Position = page.Position.WithEra(asked.Era)
	if err := f.checkEra(page.Era, asked.Era); err != nil {
		return err
	}
	a := fromStore(reachedAt)
	a.isBackup = isBackup
	f.apply(now, a, message{Items: page.Items, Position: page.Position})
	return nil
}

// replyTime returns the latest time as of which a reply surely tells the state of the
// store, and records by how much the reply was late. A reply without changes was made when
// the wait ended, and may have been on its way since.
func (f *Follower) replyTime(page magnolialedge.Page, start, now time.Time, wait time.Duration) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	elapsed := now.Sub(start)
	if len(page.Items) == 0 {
		f.replyDelay = max(0, elapsed-wait)
		return now.Add(-f.replyDelay)
	}
	f.replyDelay = min(f.replyDelay, elapsed)
	return now.Add(-f.replyDelay)
}

// watchWait returns how long a call may wait for changes: until the next confirmation is
// due. It is 0 during an outage, so that its end is noticed soon, and while replies are late,
// so that they arrive in time.
func (f *Follower) watchWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable || f.replyDelay >= slowReply {
		return 0
	}
	untilDue := f.cfg.Timing.WatchWait - time.Since(f.confirmedAt)
	return min(f.cfg.Timing.WatchWait, max(0, untilDue))
}

// listUnlessInitialized lists the store if the sources to which a new entry left the
// listing have not delivered items in time, for example because they are down or
// unreachable.
func (f *Follower) listUnlessInitialized(ctx context.Context) {
	pause.Sleep(ctx, deferredListDelay+f.sourceTimeout())
	for ctx.Err() == nil && !f.isInitialized() {
		if err := f.list(ctx, false); err != nil {
			f.recordFailure(err)
			pause.Sleep(ctx, storeRetryDelay+rand.N(storeRetryJitter))
		}
	}
}

// canDeferListing reports whether the listing of a store with several pages may
// be left to the sources.
func (f *Follower) canDeferListing() bool {
	return f.cfg.OnFirstPage != nil && !f.isInitialized()
}
