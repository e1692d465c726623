package proc

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"magnolialedge"
	"magnolialedge/core/call"
	"magnolialedge/core/proc"
)

// KeyTable guards the key table and lets requests wait for the end of a key.
type KeyTable struct {
	mu    sync.Mutex
	core  *proc.KeyTable
	ended map[uuid.UUID]chan struct{}
}

// NewKeyTable returns a guarded key table.
func NewKeyTable(cfg proc.KeyTableConfig) *KeyTable {
	return &KeyTable{core: proc.NewKeyTable(cfg), ended: map[uuid.UUID]chan struct{}{}}
}

// Begin takes a request with a key and decides what is done with it.
func (k *KeyTable) Begin(key call.Key, fingerprint uint64) (proc.KeyDecision, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Begin(time.Now(), key, fingerprint)
}

// Confirm reports whether the key may be dispatched now.
func (k *KeyTable) Confirm(id uuid.UUID, owner proc.Owner) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Confirm(id, owner)
}

// End records how a run ended.
func (k *KeyTable) End(id uuid.UUID, owner proc.Owner, outcome magnolialedge.Outcome, answer *proc.StoredResponse) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.End(id, owner, outcome, answer)
	k.wake(id)
}

// RecordRemote records an outcome that another entry reported.
func (k *KeyTable) RecordRemote(id uuid.UUID, owner proc.Owner, reply proc.FenceReply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.RecordRemote(id, owner, reply)
	k.wake(id)
}

// Release ends an asking that led to no run.
func (k *KeyTable) Release(id uuid.UUID, owner proc.Owner, before proc.KeyRecord, told magnolialedge.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.Release(id, owner, before, told)
	k.wake(id)
}

// Fence answers another entry's question. While the key is running it waits for
// the end, until ctx is done.
func (k *KeyTable) Fence(ctx context.Context, a proc.FenceRequest) proc.FenceReply {
	for {
		k.mu.Lock()
		reply := k.core.Fence(time.Now(), a)
		if reply.Status != proc.FenceRunning {
			k.mu.Unlock()
			return reply
		}
		done := k.waitFor(a.Key.ID)
		k.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return reply
		}
	}
}

// WaitForEnd waits until the key is neither being asked for nor running, and returns
// its record. False means that ctx was done first.
func (k *KeyTable) WaitForEnd(ctx context.Context, id uuid.UUID) (proc.KeyRecord, bool) {
	for {
		k.mu.Lock()
		r, ok := k.core.Record(id)
		if !ok || r.State == proc.KeyEnded || r.State == proc.KeyMoved {
			k.mu.Unlock()
			return r, ok
		}
		done := k.waitFor(id)
		k.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return r, false
		}
	}
}

// Generation returns the generation of this entry.
func (k *KeyTable) Generation() int64 {
	return k.core.Generation()
}

// CoversGeneration reports whether this entry answers for the entry of a generation.
func (k *KeyTable) CoversGeneration(generation int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.CoversGeneration(generation)
}

// IsCompleteFor reports whether the table holds every request with the key that came
// to this address.
func (k *KeyTable) IsCompleteFor(key call.Key) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.IsCompleteFor(key)
}

// Len returns the number of keys remembered.
func (k *KeyTable) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Len()
}

// Export returns the table for a peer.
func (k *KeyTable) Export() proc.Handover {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Export(time.Now())
}

// Import takes over the table of an entry that has stopped.
func (k *KeyTable) Import(h proc.Handover) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Import(time.Now(), h)
}

func (k *KeyTable) waitFor(id uuid.UUID) chan struct{} {
	c, ok := k.ended[id]
	if !ok {
		c = make(chan struct{})
		k.ended[id] = c
	}
	return c
}

func (k *KeyTable) wake(id uuid.UUID) {
	if c, ok := k.ended[id]; ok {
		close(c)
		delete(k.ended, id)
	}
}
