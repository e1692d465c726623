package call

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/proc"
)

const (
	// maxClaimAttempts limits the writes to the store for one claim; a write whose
	// reply is lost costs a read in addition.
	maxClaimAttempts = 5
	// claimTimeout bounds the time for one claim.
	claimTimeout = 2 * time.Second
	// claimBurstSeconds is the number of seconds for which an entry accumulates
	// unused call rate.
	claimBurstSeconds = 2
)

// ClaimStoreConfig configures a ClaimStore.
type ClaimStoreConfig struct {
	Store magnolialedge.Store
	// CallsPerSecond is this entry's share of the store's call rate.
	CallsPerSecond float64
}

// ClaimStore writes claims to the platform's key-value service, one record per
// idempotency key, at a limited call rate.
type ClaimStore struct {
	cfg    ClaimStoreConfig
	mu     sync.Mutex
	bucket *proc.Bucket
	calls  int64
}

// NewClaimStore returns a ClaimStore whose rate limit allows a full burst of calls at
// the start.
func NewClaimStore(cfg ClaimStoreConfig) *ClaimStore {
	return &ClaimStore{cfg: cfg, bucket: proc.NewBucket(cfg.CallsPerSecond, claimBurstSeconds*cfg.CallsPerSecond, time.Now())}
}

// Calls returns the number of calls made to the platform's key-value service.
func (c *ClaimStore) Calls() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Claim writes a claim and reports whether it was granted. It returns the owner
// that the store holds afterwards. After an error the request must not be run.
func (c *ClaimStore) Claim(ctx context.Context, service string, r proc.ClaimRequest) (proc.Owner, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	name := proc.ClaimStoreKey(service, r.Key)
	data, err := proc.Claim{Owner: r.Owner}.Encode()
	if err != nil {
		return proc.Owner{}, false, err
	}
	var value magnolialedge.Value
	for range maxClaimAttempts {
		claim, err := proc.ParseClaim(value.Data)
		if err != nil {
			return proc.Owner{}, false, storeError(err)
		}
		if granted, decided := claim.Evaluate(r); decided {
			return claim.Owner, granted, nil
		}
		value, err = c.swap(ctx, name, value.Revision, data)
		if err != nil {
			return proc.Owner{}, false, storeError(err)
		}
	}
	return proc.Owner{}, false, storeError(errors.New("the claim changes too often"))
}

// swap writes data if the record is at revision base, and returns the record's
// content afterwards, which may be another entry's. When the reply is lost, it
// reads the record back.
func (c *ClaimStore) swap(ctx context.Context, name string, base int64, data []byte) (magnolialedge.Value, error) {
	if err := c.waitForRate(ctx); err != nil {
		return magnolialedge.Value{}, err
	}
	v, err := c.cfg.Store.CompareAndSwap(ctx, name, base, data, proc.ClaimTTL)
	switch {
	case err == nil:
		v.Data = data
		return v, nil
	case errors.Is(err, magnolialedge.ErrRevisionConflict):
		return v, nil
	case !errors.Is(err, magnolialedge.ErrReplyLost):
		return v, err
	}
	if err := c.waitForRate(ctx); err != nil {
		return v, err
	}
	return c.cfg.Store.Get(ctx, name)
}

func storeError(err error) error {
	return magnolialedge.NewError(magnolialedge.KindStoreUnavailable, "the key could not be recorded: "+err.Error())
}

const (
	// rateRetryInterval is the time between two attempts to take a call from the
	// rate limit.
	rateRetryInterval = 5 * time.Millisecond
	// maxRateWait bounds the wait for the rate limit. A caller that is refused after
	// it may still succeed at another entry, which has call rate of its own.
	maxRateWait = 200 * time.Millisecond
)

// waitForRate waits up to maxRateWait until this entry's share of the call rate
// allows a call.
func (c *ClaimStore) waitForRate(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxRateWait)
	defer cancel()
	for !c.takeCall() {
		select {
		case <-time.After(rateRetryInterval):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "no call rate left")
		}
	}
	return nil
}

// takeCall takes one call from the rate limit and counts it, or returns false if
// none is left.
func (c *ClaimStore) takeCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.bucket.Take(time.Now(), 1) {
		return false
	}
	c.calls++
	return true
}
