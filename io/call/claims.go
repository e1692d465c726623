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
	// claimTries bounds the writes of one batch of claims.
	claimTries = 6
	// claimTimeout bounds the time of one batch of claims.
	claimTimeout = 2 * time.Second
	// keptRecords is the number of claim records whose revision is kept.
	keptRecords = 256
)

// ClaimsConfig constructs Claims.
type ClaimsConfig struct {
	Store magnolialedge.Store
	// CallsPerSecond is this entry's share of the store's call rate.
	CallsPerSecond float64
	// Single writes one record per key. It is the naive version.
	Single bool
}

// Claims writes claims to the platform's service. Claims for the same record
// that come while a write is under way share the next one.
type Claims struct {
	cfg     ClaimsConfig
	mu      sync.Mutex
	bucket  *proc.Bucket
	writers map[string]*claimWriter
	known   map[string]magnolialedge.Value
	calls   int64
}

// NewClaims returns Claims.
func NewClaims(cfg ClaimsConfig) *Claims {
	return &Claims{
		cfg:     cfg,
		bucket:  proc.NewBucket(cfg.CallsPerSecond, cfg.CallsPerSecond, time.Now()),
		writers: map[string]*claimWriter{},
		known:   map[string]magnolialedge.Value{},
	}
}

// pendingClaim is one claim that waits for a write.
type pendingClaim struct {
	proc.ClaimRequest
	done chan claimResult
}

type claimResult struct {
	found   proc.Owner
	granted bool
	err     error
}

// claimWriter writes one record.
type claimWriter struct {
	name    string
	pending []*pendingClaim
}

// Claim writes a claim. When the key has another owner, that one is returned.
func (c *Claims) Claim(ctx context.Context, service string, r proc.ClaimRequest) (proc.Owner, bool, error) {
	name := proc.ClaimRecordName(service, r.Key)
	if c.cfg.Single {
		name = proc.SingleClaimRecordName(service, r.Key)
	}
	p := &pendingClaim{ClaimRequest: r, done: make(chan claimResult, 1)}
	c.enqueue(name, p)
	select {
	case res := <-p.done:
		return res.found, res.granted, res.err
	case <-ctx.Done():
		return proc.Owner{}, false, storeError(ctx.Err())
	}
}

// Calls returns the number of calls made to the platform's service.
func (c *Claims) Calls() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func storeError(err error) error {
	return magnolialedge.NewError(magnolialedge.KindStoreUnavailable, "the key could not be recorded: "+err.Error())
}

func (c *Claims) enqueue(name string, p *pendingClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.writers[name]
	if ok {
		w.pending = append(w.pending, p)
		return
	}
	w = &claimWriter{name: name, pending: []*pendingClaim{p}}
	c.writers[name] = w
	go c.write(w)
}

// take returns the claims that wait for w, and ends w when there are none.
func (c *Claims) take(w *claimWriter) []*pendingClaim {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := w.pending
	w.pending = nil
	if len(batch) == 0 {
		delete(c.writers, w.name)
	}
	return batch
}

func (c *Claims) write(w *claimWriter) {
	for {
		batch := c.take(w)
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		c.writeBatch(ctx, w.name, batch)
		cancel()
	}
}

func (c *Claims) writeBatch(ctx context.Context, name string, batch []*pendingClaim) {
	value := c.knownValue(name)
	var lost error
	for range claimTries {
		claims, err := proc.ParseClaims(value.Data)
		if err != nil {
			finish(batch, claimResult{err: storeError(err)})
			return
		}
		batch = settle(claims, batch)
		if len(batch) == 0 {
			return
		}
		value, lost = c.swap(ctx, name, value, claims, batch)
		if lost != nil {
			value, err = c.readBack(ctx, name)
			if err != nil {
				finish(batch, claimResult{err: storeError(lost)})
				return
			}
		}
	}
	finish(batch, claimResult{err: storeError(errors.New("too many entries write the same record"))})
}

// settle answers the claims that the record decides and returns the others.
func settle(claims proc.Claims, batch []*pendingClaim) []*pendingClaim {
	var open []*pendingClaim
	for _, p := range batch {
		found, granted, settled := claims.Settled(p.ClaimRequest)
		if settled {
			p.done <- claimResult{found: found, granted: granted}
			continue
		}
		open = append(open, p)
	}
	return open
}

func finish(batch []*pendingClaim, r claimResult) {
	for _, p := range batch {
		p.done <- r
	}
}

// swap writes the batch on top of value. The returned value is the record's
// present content also when another entry was faster.
func (c *Claims) swap(ctx context.Context, name string, value magnolialedge.Value, claims proc.Claims, batch []*pendingClaim) (magnolialedge.Value, error) {
	if claims.Full() {
		return value, errors.New("the claim record is full")
	}
	for _, p := range batch {
		claims = claims.WithOwner(p.Key.ID, p.Owner)
	}
	data, err := claims.Encode()
	if err != nil {
		return value, err
	}
	if err := c.pace(ctx); err != nil {
		return value, err
	}
	next, err := c.cfg.Store.Swap(ctx, name, value.Revision, data, proc.ClaimLife)
	if errors.Is(err, magnolialedge.ErrSwapConflict) {
		return next, nil
	}
	if err != nil {
		return value, err
	}
	next.Data = data
	c.keep(name, next)
	return next, nil
}

func (c *Claims) readBack(ctx context.Context, name string) (magnolialedge.Value, error) {
	if err := c.pace(ctx); err != nil {
		return magnolialedge.Value{}, err
	}
	return c.cfg.Store.Get(ctx, name)
}

// paceStep is how long a claim waits before it looks for call rate again.
const paceStep = 5 * time.Millisecond

// pace waits until this entry's share of the call rate allows a call.
func (c *Claims) pace(ctx context.Context) error {
	for !c.mayCall() {
		select {
		case <-time.After(paceStep):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "no call rate left")
		}
	}
	return nil
}

func (c *Claims) mayCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.bucket.Take(time.Now(), 1) {
		return false
	}
	c.calls++
	return true
}

func (c *Claims) knownValue(name string) magnolialedge.Value {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known[name]
}

// keep remembers a record so that the next write needs no read.
func (c *Claims) keep(name string, v magnolialedge.Value) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.known) >= keptRecords {
		clear(c.known)
	}
	c.known[name] = v
}
