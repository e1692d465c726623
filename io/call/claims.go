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
	// claimTries bounds the calls to the store for one claim.
	claimTries = 5
	// claimTimeout bounds the time of one claim.
	claimTimeout = 2 * time.Second
	// claimBurst is the time for which an entry saves up unused call rate.
	claimBurst = 2
)

// ClaimStoreConfig constructs a ClaimStore.
type ClaimStoreConfig struct {
	Store magnolialedge.Store
	// CallsPerSecond is this entry's share of the store's call rate.
	CallsPerSecond float64
}

// ClaimStore writes claims to the platform's service, one record a key.
type ClaimStore struct {
	cfg    ClaimStoreConfig
	mu     sync.Mutex
	bucket *proc.Bucket
	calls  int64
}

// NewClaimStore returns a ClaimStore.
func NewClaimStore(cfg ClaimStoreConfig) *ClaimStore {
	return &ClaimStore{cfg: cfg, bucket: proc.NewBucket(cfg.CallsPerSecond, claimBurst*cfg.CallsPerSecond, time.Now())}
}

// Calls returns the number of calls made to the platform's service.
func (c *ClaimStore) Calls() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Claim writes a claim and reports whether it was granted. When the key has
// another owner, that one is returned. An error means that the request must not
// be run.
func (c *ClaimStore) Claim(ctx context.Context, service string, r proc.ClaimRequest) (proc.Owner, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	name := proc.ClaimStoreKey(service, r.Key)
	data, err := proc.Claim{Owner: r.Owner}.Encode()
	if err != nil {
		return proc.Owner{}, false, err
	}
	var value magnolialedge.Value
	for range claimTries {
		have, err := proc.ParseClaim(value.Data)
		if err != nil {
			return proc.Owner{}, false, storeError(err)
		}
		if granted, settled := have.Evaluate(r); settled {
			return have.Owner, granted, nil
		}
		value, err = c.write(ctx, name, value.Revision, data)
		if err != nil {
			return proc.Owner{}, false, storeError(err)
		}
	}
	return proc.Owner{}, false, storeError(errors.New("the claim changes too often"))
}

// write swaps the record and returns its content afterwards, whoever wrote it.
// When the reply is lost the record is read back.
func (c *ClaimStore) write(ctx context.Context, name string, base int64, data []byte) (magnolialedge.Value, error) {
	if err := c.pace(ctx); err != nil {
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
	if err := c.pace(ctx); err != nil {
		return v, err
	}
	return c.cfg.Store.Get(ctx, name)
}

func storeError(err error) error {
	return magnolialedge.NewError(magnolialedge.KindStoreUnavailable, "the key could not be recorded: "+err.Error())
}

const (
	// paceStep is how long a claim waits before it looks for call rate again.
	paceStep = 5 * time.Millisecond
	// paceLimit is how long a claim waits for call rate. Another entry may have
	// some left.
	paceLimit = 200 * time.Millisecond
)

// pace waits a little until this entry's share of the call rate allows a call.
func (c *ClaimStore) pace(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, paceLimit)
	defer cancel()
	for !c.mayCall() {
		select {
		case <-time.After(paceStep):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "no call rate left")
		}
	}
	return nil
}

func (c *ClaimStore) mayCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.bucket.Take(time.Now(), 1) {
		return false
	}
	c.calls++
	return true
}
