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

// KeyTable is a key table that is safe for concurrent use, and in which requests can
// wait for the end of a key.
type KeyTable struct {
	mu         sync.Mutex
	core       *proc.KeyTable
	endSignals map[uuid.UUID]chan struct{}
}

// NewKeyTable returns an empty KeyTable.
func NewKeyTable(cfg proc.KeyTableConfig) *KeyTable {
	return &KeyTable{core: proc.NewKeyTable(cfg), endSignals: map[uuid.UUID]chan struct{}{}}
}

// Begin records a request with a key and returns how to handle it, or an error if it
// must be refused.
func (t *KeyTable) Begin(key call.Key, fingerprint uint64) (proc.KeyDecision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Begin(time.Now(), key, fingerprint)
}

// Confirm reports whether owner may still dispatch the request with the key.
func (t *KeyTable) Confirm(id uuid.UUID, owner proc.Owner) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Confirm(id, owner)
}

// End records the outcome of the request with the key and the response to replay.
func (t *KeyTable) End(id uuid.UUID, owner proc.Owner, outcome magnolialedge.Outcome, response *proc.StoredResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.End(id, owner, outcome, response)
	t.signalEnd(id)
}

// RecordRemoteEnd records the outcome that another entry reported for the key.
func (t *KeyTable) RecordRemoteEnd(id uuid.UUID, owner proc.Owner, reply proc.FenceReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.RecordRemoteEnd(id, owner, reply)
	t.signalEnd(id)
}

// EndLookup ends the lookup of a key whose request was not run here. reported is the
// outcome returned to the caller. previous is the key record before the lookup; a key
// that had moved stays moved.
func (t *KeyTable) EndLookup(id uuid.UUID, owner proc.Owner, previous proc.KeyRecord, reported magnolialedge.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.EndLookup(id, owner, previous, reported)
	t.signalEnd(id)
}

// Fence handles another entry's fence request. While the request with the key is
// running here, Fence waits for its end or until ctx is done.
func (t *KeyTable) Fence(ctx context.Context, req proc.FenceRequest) proc.FenceReply {
	for {
		t.mu.Lock()
		reply := t.core.Fence(time.Now(), req)
		if reply.Status != proc.FenceRunning {
			t.mu.Unlock()
			return reply
		}
		done := t.endSignal(req.Key.ID)
		t.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return reply
		}
	}
}

// WaitForEnd waits until the key is neither being acquired nor running, and returns
// its record. It returns false if ctx is done first or the key is not in the table.
func (t *KeyTable) WaitForEnd(ctx context.Context, id uuid.UUID) (proc.KeyRecord, bool) {
	for {
		t.mu.Lock()
		r, ok := t.core.Record(id)
		if !ok || r.State == proc.KeyEnded || r.State == proc.KeyMoved {
			t.mu.Unlock()
			return r, ok
		}
		done := t.endSignal(id)
		t.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return r, false
		}
	}
}

// Generation returns this entry's generation, which is set at its start.
func (t *KeyTable) Generation() int64 {
	return t.core.Generation()
}

// CoversGeneration reports whether the table holds the keys of the entry with the
// given generation: this entry or one whose table it imported.
func (t *KeyTable) CoversGeneration(generation int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.CoversGeneration(generation)
}

// HasCompleteHistory reports whether the table holds every request with the key that
// arrived at this address.
func (t *KeyTable) HasCompleteHistory(key call.Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.HasCompleteHistory(key)
}

// Len returns the number of keys in the table.
func (t *KeyTable) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Len()
}

// Export returns the table for the handover to a peer.
func (t *KeyTable) Export() proc.Handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Export(time.Now())
}

// Import merges the table of an entry that has stopped. It returns false and imports
// nothing if the keys exceed the capacity.
func (t *KeyTable) Import(h proc.Handover) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Import(time.Now(), h)
}

// endSignal returns a channel that is closed at the key's end. The caller must hold
// mu.
func (t *KeyTable) endSignal(id uuid.UUID) chan struct{} {
	c, ok := t.endSignals[id]
	if !ok {
		c = make(chan struct{})
		t.endSignals[id] = c
	}
	return c
}

// signalEnd wakes the requests that wait for the key's end. The caller must hold mu.
func (t *KeyTable) signalEnd(id uuid.UUID) {
	if c, ok := t.endSignals[id]; ok {
		close(c)
		delete(t.endSignals, id)
	}
}
