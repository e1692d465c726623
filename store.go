package magnolialedge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Value is a value of the key-value service with its revision. The revision of
// a missing key is 0.
type Value struct {
	Data     []byte
	Revision int64
}

// ErrRevisionConflict means that a compare-and-swap found a different revision.
var ErrRevisionConflict = errors.New("compare-and-swap found another revision")

// ErrReplyLost means that the response to a call was lost, so that the call may
// have taken effect.
var ErrReplyLost = errors.New("the service's reply was lost")

// Store is the platform's key-value service.
type Store interface {
	// Get returns the value of key, with revision 0 if the key is missing.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the revision of key is baseRevision, and
	// returns the new revision. With ErrRevisionConflict it returns the current
	// value. A positive ttl makes the value expire.
	CompareAndSwap(ctx context.Context, key string, baseRevision int64, data []byte, ttl time.Duration) (Value, error)
	// Watch returns the value of key once its revision exceeds afterRevision,
	// or the current value when maxWait has passed.
	Watch(ctx context.Context, key string, afterRevision int64, maxWait time.Duration) (Value, error)
}

// Instance is an entry as listed by the platform.
type Instance struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	Zone          string `json:"zone"`
	CallerAddress string `json:"callers"`
	PeerAddress   string `json:"peers"`
	// StartedAt is the start time in Unix milliseconds. It distinguishes starts
	// with the same addresses.
	StartedAt int64 `json:"startedAt,omitempty"`
	Leaving   bool  `json:"leaving,omitempty"`
	// Isolated is set while the instance reaches no upstream. It still serves requests,
	// over other instances. Changes counts how often that changed since StartedAt.
	Isolated bool  `json:"isolated,omitempty"`
	Changes  int64 `json:"changes,omitempty"`
	// CapacityMbps is the bandwidth of the instance's network link in Mbit/s,
	// or 0 if it is unknown.
	CapacityMbps float64 `json:"capacity,omitempty"`
	// Protocol is the version of the messages between entries that the instance
	// understands, up to PeerProtocol; 0 for a release that does not state one.
	Protocol int `json:"protocol,omitempty"`
}

// PeerProtocol is the version of the messages between entries that this release
// understands. Version 1 adds client accounts and allowed regions to requests that are
// handed over, reports of cold upstreams, and credits.
const PeerProtocol = 1

// InstanceLister lists the running instances, including those that are shutting
// down.
type InstanceLister interface {
	Instances(ctx context.Context) ([]Instance, error)
}
