package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/proc"
	"magnolialedge/io/event"
	"magnolialedge/io/pause"
)

// announcePollInterval is the time between two checks whether the entry is leaving
// or has lost its listing.
const announcePollInterval = 50 * time.Millisecond

const (
	// storeLossAge is the time since the store was last reached, by this entry or
	// by its source, after which it counts as away. An entry whose calls fail
	// then calls again when its source reaches the store.
	storeLossAge = 2 * time.Second
	// storeReturnJitter spreads the calls of all entries after the store's return.
	storeReturnJitter = 300 * time.Millisecond
)

// listing is the state of this entry's own item in the store.
type listing struct {
	lease magnolialedge.Lease
	// isWritten is set while the item is in the store, as far as this entry knows,
	// and written is what was last written, or was last to be.
	isWritten bool
	written   magnolialedge.Generation
	failures  int
	// waitsForStore is set if the last call failed because the store was away.
	waitsForStore bool
	// nextRefresh is the time of the next call.
	nextRefresh time.Time
}

// reset makes the next call open a lease and write the item again.
func (l *listing) reset(nextRefresh time.Time) {
	l.lease, l.isWritten = magnolialedge.Lease{}, false
	l.nextRefresh = nextRefresh
}

// announce keeps this entry listed in the store until ctx is done, then revokes
// its lease.
func (n *Node) announce(ctx context.Context) {
	l := &listing{nextRefresh: time.Now(), written: memberGeneration(n.members.current())}
	for ctx.Err() == nil {
		n.observeStore(time.Now(), l)
		self := n.members.current()
		if time.Now().Before(l.nextRefresh) && memberGeneration(self) == l.written {
			pause.Sleep(ctx, announcePollInterval)
			continue
		}
		n.refreshListing(ctx, l, self)
	}
	n.revokeListing(l.lease)
}

// observeStore applies what the store says about this entry's item.
func (n *Node) observeStore(now time.Time, l *listing) {
	if n.members.consumeDelisted() {
		l.reset(now)
	}
	if own, ok := n.members.consumeRestored(); ok {
		next := now.Add(rand.N(restorationSpread(n.members.size())))
		if !isListedAs(own, n.members.current(), l.lease) {
			l.reset(next)
		}
		l.nextRefresh = next
	}
	if l.waitsForStore && n.follower.Staleness(now) < storeLossAge {
		l.waitsForStore = false
		l.nextRefresh = now.Add(rand.N(storeReturnJitter))
	}
}

const (
	// restorationSpreadPerEntry is the time per entry over which the entries list
	// themselves again in a store that was restored. It keeps hundreds of entries
	// within the rates of the store.
	restorationSpreadPerEntry = 4 * time.Millisecond
	// maxRestorationSpread limits that time, because callers are steered away from
	// entries that are not listed.
	maxRestorationSpread = 1200 * time.Millisecond
)

func restorationSpread(entries int) time.Duration {
	return min(maxRestorationSpread, max(storeReturnJitter, time.Duration(entries)*restorationSpreadPerEntry))
}

// isListedAs reports whether a listed item is the one that this run of the entry
// wrote last under its lease. The store may have given the lease's ID to another entry.
func isListedAs(item magnolialedge.Item, self magnolialedge.Instance, lease magnolialedge.Lease) bool {
	in, ok := memberOf(item)
	return ok && lease.ID != 0 && item.Lease == lease.ID && memberGeneration(in) == memberGeneration(self)
}

// refreshListing renews the lease or writes the item, and schedules the next call.
func (n *Node) refreshListing(ctx context.Context, l *listing, self magnolialedge.Instance) {
	l.nextRefresh = time.Now().Add(n.leaseTiming().RenewInterval)
	isCurrent := l.isWritten && memberGeneration(self) == l.written
	err := n.callForListing(ctx, &l.lease, self, isCurrent)
	if errors.Is(err, magnolialedge.ErrLeaseEnded) {
		l.reset(time.Now())
		pause.Sleep(ctx, announcePollInterval)
		return
	}
	l.written = memberGeneration(self)
	if err != nil {
		n.log.Log(event.AnnounceFailed, "err", err, "lease", l.lease.ID)
		l.isWritten = isCurrent
		l.failures++
		l.waitsForStore = n.follower.Staleness(time.Now()) >= storeLossAge
		l.nextRefresh = time.Now().Add(n.leaseTiming().RetryDelay(l.failures))
		return
	}
	l.isWritten = true
	l.failures, l.waitsForStore = 0, false
	n.leaseID.Store(l.lease.ID)
	n.isListed.Store(true)
}

// errNoLease is returned by probeStore before this entry is listed.
var errNoLease = errors.New("this entry has no lease yet")

// probeStore renews the lease once more, which shows whether the store serves this entry.
func (n *Node) probeStore(ctx context.Context) error {
	id := n.leaseID.Load()
	if id == 0 {
		return errNoLease
	}
	err := n.store.Renew(ctx, id)
	if errors.Is(err, magnolialedge.ErrLeaseEnded) {
		return nil
	}
	return err
}

func (n *Node) leaseTiming() proc.LeaseTiming {
	return proc.LeaseTimingFor(n.settings.MaxPropagation, n.settings.MinLeaseTTL)
}

// callForListing opens a lease if there is none, and then renews it if the entry
// is already written, or else writes the entry.
func (n *Node) callForListing(ctx context.Context, lease *magnolialedge.Lease, self magnolialedge.Instance, isWritten bool) error {
	if lease.ID == 0 {
		granted, err := n.store.Grant(ctx, n.leaseTiming().TTL)
		if err != nil {
			return err
		}
		*lease = granted
	}
	if isWritten {
		return n.store.Renew(ctx, lease.ID)
	}
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	return n.store.Put(ctx, []magnolialedge.Put{{Key: membersPrefix + n.settings.Name, Value: value, Lease: lease.ID}})
}

// revokeTimeout limits the call that revokes the lease when the entry stops.
const revokeTimeout = 300 * time.Millisecond

func (n *Node) revokeListing(lease magnolialedge.Lease) {
	if lease.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := n.store.Revoke(ctx, lease.ID); err != nil {
		n.log.Log(event.AnnounceFailed, "err", err, "lease", lease.ID)
	}
}
