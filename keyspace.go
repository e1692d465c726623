package magnolialedge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Failures of a Keyspace that callers tell apart.
var (
	// ErrHistoryLost tells that changes after the asked revision are gone.
	ErrHistoryLost = errors.New("the store's history no longer reaches back that far")
	// ErrLeaseEnded tells that a lease has ended.
	ErrLeaseEnded = errors.New("the lease has ended")
	// ErrConditionFailed tells that a transaction's condition didn't hold.
	ErrConditionFailed = errors.New("the transaction's condition does not hold")
	// ErrStoreRefused tells that the store did nothing.
	ErrStoreRefused = errors.New("the store refused the call")
)

// Item is one key of a Keyspace with its value.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Revision is that of the item's last change.
	Revision int64 `json:"revision"`
	// Deleted tells that the key was removed at Revision.
	Deleted bool `json:"deleted,omitempty"`
}

// Page is a part of the items below a prefix.
type Page struct {
	Items []Item
	// Revision is the store's revision as of the page.
	Revision int64
	// HasMore tells that further items follow.
	HasMore bool
}

// Put writes one key within a transaction.
type Put struct {
	Key   string
	Value []byte
	// Lease removes the key when it ends; 0 stands for none.
	Lease int64
}

// Lease is a lease as the store granted it.
type Lease struct {
	ID  int64
	TTL time.Duration
}

// Keyspace is a store of keys with revisions, leases and a history of changes.
type Keyspace interface {
	// Range returns a page of the items whose keys begin with prefix and come
	// behind the key after.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Changes waits for changes below prefix later than a revision. It returns
	// none when wait has passed.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error)
	// Put writes keys, all or none.
	Put(ctx context.Context, puts []Put) error
	// Grant opens a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease; ErrLeaseEnded tells that it has ended.
	Renew(ctx context.Context, id int64) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id int64) error
}
