package magnolialedge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Value is a value of the key-value service with its revision. Revision 0
// stands for an absent key.
type Value struct {
	Data     []byte
	Revision int64
}

// ErrRevisionConflict tells that a compare-and-swap found another revision.
var ErrRevisionConflict = errors.New("compare-and-swap found another revision")

// ErrReplyLost tells that a call to the key-value service may have taken effect.
var ErrReplyLost = errors.New("the service's reply was lost")

// Store is the platform's key-value service.
type Store interface {
	// Get returns the value of key; an absent key has revision 0.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if key is at revision base and returns the new
	// revision. On ErrRevisionConflict the returned value is the present one.
	// A ttl above zero lets the value lapse.
	CompareAndSwap(ctx context.Context, key string, base int64, data []byte, ttl time.Duration) (Value, error)
	// Watch returns as soon as key has a revision above after, or the present
	// value when wait has passed.
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (Value, error)
}

// Instance is an entry as the platform's list shows it.
type Instance struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	Zone          string `json:"zone"`
	CallerAddress string `json:"callers"`
	PeerAddress   string `json:"peers"`
	// StartedAt tells two starts at the same addresses apart, in Unix
	// milliseconds.
	StartedAt int64 `json:"startedAt,omitempty"`
	Leaving   bool  `json:"leaving,omitempty"`
	// CapacityMbps is the bandwidth of the instance's link in Mbit/s, or 0 when it
	// isn't known.
	CapacityMbps float64 `json:"capacity,omitempty"`
}

// InstanceLister is the platform's list of live and leaving instances.
type InstanceLister interface {
	Instances(ctx context.Context) ([]Instance, error)
}
