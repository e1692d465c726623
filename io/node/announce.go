package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/io/event"
	"magnolialedge/io/pause"
)

const (
	// leaseTTL is how long the store lists an entry that gives no sign of life.
	leaseTTL = 5 * time.Second
	// renewEvery is the time between two renewals, and renewAgainAfter the time
	// after one that failed.
	renewInterval   = 2 * time.Second
	renewRetryDelay = time.Second
	// announcePoll is the time between two looks whether the entry leaves.
	announcePollInterval = 50 * time.Millisecond
)

// announce keeps this entry listed in the store until ctx is done.
func (n *Node) announce(ctx context.Context) {
	var lease magnolialedge.Lease
	written, toldLeaving := false, false
	next := time.Now()
	for ctx.Err() == nil {
		leaving := n.isLeaving.Load()
		if n.members.consumeDelisted() {
			lease, written = magnolialedge.Lease{}, false
			next = time.Now()
		}
		if time.Now().Before(next) && leaving == toldLeaving {
			pause.Sleep(ctx, announcePollInterval)
			continue
		}
		next = time.Now().Add(renewInterval)
		err := n.refreshListing(ctx, &lease, written && leaving == toldLeaving)
		if errors.Is(err, magnolialedge.ErrLeaseEnded) {
			lease, written = magnolialedge.Lease{}, false
			next = time.Now()
			pause.Sleep(ctx, announcePollInterval)
			continue
		}
		if err != nil {
			n.log.Log(event.AnnounceFailed, "err", err, "lease", lease.ID)
			toldLeaving = leaving
			written = written && leaving == toldLeaving
			next = time.Now().Add(renewRetryDelay)
			continue
		}
		written, toldLeaving = true, leaving
		n.isListed.Store(true)
	}
	n.revokeListing(lease)
}

// keepListed opens the lease, writes the entry or renews, whichever is due.
func (n *Node) refreshListing(ctx context.Context, lease *magnolialedge.Lease, written bool) error {
	if lease.ID == 0 {
		granted, err := n.store.Grant(ctx, max(leaseTTL, n.settings.MinLeaseTTL))
		if err != nil {
			return err
		}
		*lease = granted
	}
	if written {
		return n.store.Renew(ctx, lease.ID)
	}
	value, err := json.Marshal(n.self())
	if err != nil {
		return err
	}
	return n.store.Put(ctx, []magnolialedge.Put{{Key: membersPrefix + n.settings.Name, Value: value, Lease: lease.ID}})
}

// endTimeout bounds the last call to the store.
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
