package magnolialedge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that a Keyspace returns.
var (
	// ErrHistoryLost means that changes after the requested revision are no
	// longer available.
	ErrHistoryLost = errors.New("changes after the requested revision are no longer in the store's history")
	// ErrRestored means that the store was restored from a copy, so that revisions
	// and lease IDs from before say nothing about it.
	ErrRestored = errors.New("the store was restored from a copy")
	// ErrLeaseEnded means that a lease has expired or was revoked.
	ErrLeaseEnded = errors.New("the lease has expired or was revoked")
	// ErrConditionFailed means that the condition of a transaction was not met.
	ErrConditionFailed = errors.New("the condition of the transaction was not met")
	// ErrStoreRefused means that the store rejected a call and changed nothing.
	ErrStoreRefused = errors.New("the store rejected the call")
)

// Item is a key of a Keyspace with its value.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Revision is the store revision of the last change of the key.
	Revision int64 `json:"revision"`
	// Deleted is true if the key was deleted at Revision.
	Deleted bool `json:"deleted,omitempty"`
	// Lease is the ID of the lease that deletes the key when it ends, or 0 for none.
	Lease int64 `json:"lease,omitempty"`
}

// UnknownEra is the era of a position if its source names none.
const UnknownEra = -1

// Position is a point in the history of a Keyspace. A store that is restored from
// a copy starts a new era: its revisions continue from that of the copy, so that
// the ones after it are used again.
type Position struct {
	// Era is the number of times that the store was restored, or UnknownEra.
	Era      int64 `json:"era"`
	Revision int64 `json:"revision"`
}

// WithEra returns p with the given era if its own is unknown.
func (p Position) WithEra(era int64) Position {
	if p.Era == UnknownEra {
		p.Era = era
	}
	return p
}

// Before reports whether p precedes o.
func (p Position) Before(o Position) bool {
	if p.Era != o.Era {
		return p.Era < o.Era
	}
	return p.Revision < o.Revision
}

// Generation orders the values that the writer of a key gives it. In contrast to
// revisions, it does not go back when the store is restored from a copy.
type Generation struct {
	// Start is the start time of the writer in Unix milliseconds, or 0 if its values
	// are ordered by Count alone.
	Start int64
	// Count rises with each value that the writer gives the key after its start.
	Count int64
}

// Before reports whether g precedes o.
func (g Generation) Before(o Generation) bool {
	if g.Start != o.Start {
		return g.Start < o.Start
	}
	return g.Count < o.Count
}

// Page is a part of the items with a common key prefix.
type Page struct {
	Items []Item
	// Position is the state of the store that the page reflects.
	Position
	// HasMore is true if further items follow.
	HasMore bool
}

// Put writes one key in a transaction.
type Put struct {
	Key   string
	Value []byte
	// Lease is the ID of the lease that deletes the key when it ends, or 0 for
	// none.
	Lease int64
}

// Lease is a lease that the store has granted.
type Lease struct {
	ID  int64
	TTL time.Duration
}

// Keyspace is a key-value store with revisions, leases and a history of
// changes.
type Keyspace interface {
	// Range returns a page of the items whose keys start with prefix and sort
	// after afterKey.
	Range(ctx context.Context, prefix, afterKey string) (Page, error)
	// Changes waits for changes after afterRevision to keys that start with
	// prefix, and returns them. It returns an empty page if there are none
	// within maxWait.
	Changes(ctx context.Context, prefix string, afterRevision int64, maxWait time.Duration) (Page, error)
	// Put writes all of the keys or none.
	Put(ctx context.Context, puts []Put) error
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease. It returns ErrLeaseEnded if the lease has ended.
	Renew(ctx context.Context, id int64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id int64) error
}
