package proc

import (
	"time"

	"github.com/google/uuid"

	"magnolialedge"
	"magnolialedge/core/call"
)

const (
	// DefaultKeyCapacity is the maximum number of keys in the table of an
	// entry that does not configure one.
	DefaultKeyCapacity = 40000
	// maxResponseBytes limits the memory for stored responses of one entry.
	maxResponseBytes = 12 << 20
	// startupMargin is added to the start of an entry. A key with a
	// timestamp up to this much after the start may have been issued before
	// it, because the clocks of the caller and the entry may both be off by
	// MaxClockSkew.
	startupMargin = 2 * call.MaxClockSkew
)

// KeyTableConfig configures a KeyTable.
type KeyTableConfig struct {
	// Peer is the peer address of this entry.
	Peer string
	// Start is the time at which this entry started.
	Start time.Time
	// Capacity is the maximum number of keys; 0 means DefaultKeyCapacity.
	Capacity int
}

// KeyTable holds the idempotency keys that one entry has seen. It keeps each
// key until the key is too old to be executed by any entry, and rejects new
// keys when it is full. It is not safe for concurrent use.
type KeyTable struct {
	cfg     KeyTableConfig
	seq     int64
	records map[uuid.UUID]*KeyRecord
	// idsByIssueSecond holds the keys by the Unix second in which they were
	// issued, for expiry.
	idsByIssueSecond map[int64][]uuid.UUID
	// sweptSecond is the last Unix second whose keys have been removed.
	sweptSecond int64
	// responseBytes is the memory used by stored responses.
	responseBytes int
	// completeFrom is the issue time after which the table is complete, as
	// reported by HasCompleteHistory.
	completeFrom time.Time
	// generations are this entry's own generation and those of imported
	// tables.
	generations map[int64]bool
}

// NewKeyTable returns an empty key table.
func NewKeyTable(cfg KeyTableConfig) *KeyTable {
	if cfg.Capacity <= 0 {
		cfg.Capacity = DefaultKeyCapacity
	}
	return &KeyTable{
		cfg:              cfg,
		records:          map[uuid.UUID]*KeyRecord{},
		idsByIssueSecond: map[int64][]uuid.UUID{},
		completeFrom:     cfg.Start.Add(startupMargin),
		generations:      map[int64]bool{cfg.Start.UnixNano(): true},
	}
}

// Generation returns the generation of this entry, its start in Unix
// nanoseconds.
func (k *KeyTable) Generation() int64 {
	return k.cfg.Start.UnixNano()
}

// CoversGeneration reports whether the table holds the keys of the given
// generation: the one of this entry, or one whose table was imported.
func (k *KeyTable) CoversGeneration(generation int64) bool {
	return k.generations[generation]
}

// HasCompleteHistory reports whether the table would contain key if a request
// with it had been sent to this entry's address. It is false for keys that may
// have been issued before this entry, or one whose table was imported, started.
func (k *KeyTable) HasCompleteHistory(key call.Key) bool {
	return key.IssuedAt.After(k.completeFrom)
}

// Len returns the number of keys in the table.
func (k *KeyTable) Len() int {
	return len(k.records)
}

// nextOwner returns an Owner for a new attempt of this entry.
func (k *KeyTable) nextOwner() Owner {
	k.seq++
	return Owner{Peer: k.cfg.Peer, Generation: k.Generation(), Seq: k.seq}
}

// Begin records a request with key and decides how to process it. It returns an
// error if the key is too old or from the future, if it was used with a
// different fingerprint, or if the table is full.
func (k *KeyTable) Begin(now time.Time, key call.Key, fingerprint uint64) (KeyDecision, error) {
	k.sweep(now)
	if err := key.CheckAge(now); err != nil {
		return KeyDecision{}, err
	}
	r, ok := k.records[key.ID]
	if !ok {
		return k.beginNew(key, fingerprint)
	}
	if r.Fingerprint == 0 {
		r.Fingerprint = fingerprint
	}
	if r.Fingerprint != fingerprint {
		return KeyDecision{}, magnolialedge.NewError(magnolialedge.KindKeyReused, "the key was used with another request")
	}
	return k.beginKnown(r), nil
}

// beginNew adds a key that the table does not hold.
func (k *KeyTable) beginNew(key call.Key, fingerprint uint64) (KeyDecision, error) {
	r := k.add(key, fingerprint)
	if r == nil {
		return KeyDecision{}, magnolialedge.NewError(magnolialedge.KindKeyTableFull, "the key table is full")
	}
	r.owner = k.nextOwner()
	return KeyDecision{Step: KeyAcquire, Owner: r.owner, Record: *r}, nil
}

// beginKnown decides how to process another request with the key of r.
func (k *KeyTable) beginKnown(r *KeyRecord) KeyDecision {
	switch {
	case r.State == KeyAcquiring || r.State == KeyRunning:
		return KeyDecision{Step: KeyJoin, Record: *r}
	case r.State == KeyEnded && !r.endedWithoutRun():
		return KeyDecision{Step: KeyReplay, Record: *r}
	}
	step := KeyAcquire
	if r.State == KeyMoved {
		step = KeyFollow
	}
	previous := *r
	r.State = KeyAcquiring
	r.owner = k.nextOwner()
	return KeyDecision{Step: step, Owner: r.owner, Record: previous}
}

// Confirm moves a key from KeyAcquiring to KeyRunning just before dispatch. It
// returns false if the key was granted to another entry in the meantime; the
// request must then not be sent.
func (k *KeyTable) Confirm(id uuid.UUID, owner Owner) bool {
	r, ok := k.records[id]
	if !ok || r.State != KeyAcquiring || r.owner != owner {
		return false
	}
	r.State = KeyRunning
	return true
}

// End records the outcome of the attempt of owner. The response is stored only
// if it fits in the memory for responses.
func (k *KeyTable) End(id uuid.UUID, owner Owner, outcome magnolialedge.Outcome, response *StoredResponse) {
	r, ok := k.records[id]
	if !ok || r.owner != owner || r.State == KeyMoved || r.State == KeyEnded {
		return
	}
	r.State = KeyEnded
	r.Outcome = outcome
	k.storeResponse(r, response)
}

// storeResponse stores response in r unless maxResponseBytes would be exceeded.
func (k *KeyTable) storeResponse(r *KeyRecord, response *StoredResponse) {
	if response == nil || k.responseBytes+response.size() > maxResponseBytes {
		return
	}
	r.Response = response
	k.responseBytes += response.size()
}

// Record returns the record of a key, and whether the table holds the key.
func (k *KeyTable) Record(id uuid.UUID) (KeyRecord, bool) {
	r, ok := k.records[id]
	if !ok {
		return KeyRecord{}, false
	}
	return *r, true
}

// Fence handles another entry's request for a key. A key that was not
// executed here is granted to the requester and is not executed here
// afterwards.
func (k *KeyTable) Fence(now time.Time, req FenceRequest) FenceReply {
	k.sweep(now)
	if req.Key.CheckAge(now) != nil {
		return FenceReply{Status: FenceUnknown}
	}
	if req.Generation != 0 && !k.CoversGeneration(req.Generation) {
		return FenceReply{Status: FenceUnknown}
	}
	r, ok := k.records[req.Key.ID]
	if !ok {
		return k.fenceUnknownKey(req)
	}
	if req.Generation == 0 && !k.HasCompleteHistory(req.Key) && !r.mayHaveRun() {
		return FenceReply{Status: FenceUnknown}
	}
	if r.Fingerprint != 0 && r.Fingerprint != req.Fingerprint {
		return FenceReply{Status: FenceUnknown, KeyReused: true}
	}
	return k.fenceKnownKey(r, req)
}

// mayHaveRun reports whether the request may have been dispatched here.
func (r *KeyRecord) mayHaveRun() bool {
	return r.State == KeyRunning || (r.State == KeyEnded && !r.endedWithoutRun())
}

// endedWithoutRun reports whether the last attempt here ended before dispatch
// or was not executed by an upstream. An empty outcome applies to this entry
// only: another entry may have executed the key.
func (r *KeyRecord) endedWithoutRun() bool {
	return r.Outcome == magnolialedge.OutcomeNotRun || r.Outcome == ""
}

// fenceUnknownKey handles a request for a key that the table does not hold. The
// key is granted only if the table is complete for it, because otherwise it may
// have been executed here.
func (k *KeyTable) fenceUnknownKey(req FenceRequest) FenceReply {
	if !k.HasCompleteHistory(req.Key) || (req.ToSuccessor && req.Generation == 0) {
		return FenceReply{Status: FenceUnknown}
	}
	r := k.add(req.Key, req.Fingerprint)
	if r == nil {
		return FenceReply{Status: FenceUnknown}
	}
	return grantKey(r, req.Requester)
}

// fenceKnownKey handles a request for a key that the table holds.
func (k *KeyTable) fenceKnownKey(r *KeyRecord, req FenceRequest) FenceReply {
	switch {
	case r.State == KeyRunning:
		return FenceReply{Status: FenceRunning}
	case r.State == KeyEnded && !r.endedWithoutRun():
		return FenceReply{Status: FenceEnded, Outcome: r.Outcome, Response: r.Response}
	case r.State == KeyMoved && r.MovedTo != req.Requester:
		return FenceReply{Status: FenceMoved, MovedTo: r.MovedTo}
	case r.State == KeyAcquiring && r.owner.precedes(req.Requester):
		// If concurrent attempts granted the key to each other, none of them
		// would execute the request.
		return FenceReply{Status: FenceRunning}
	}
	return grantKey(r, req.Requester)
}

// grantKey grants the key of r to another entry.
func grantKey(r *KeyRecord, to Owner) FenceReply {
	r.State = KeyMoved
	r.MovedTo = to
	return FenceReply{Status: FenceGranted}
}

// RecordRemoteEnd records the outcome and response that another entry reported,
// so that later requests with the key are served without another query to that
// entry.
func (k *KeyTable) RecordRemoteEnd(id uuid.UUID, owner Owner, reply FenceReply) {
	r, ok := k.records[id]
	if !ok || r.owner != owner || r.State != KeyAcquiring {
		return
	}
	r.State = KeyEnded
	r.Outcome = reply.Outcome
	k.storeResponse(r, reply.Response)
}

// EndLookup ends an attempt that was not dispatched here. reported is the
// outcome returned to the caller: notRun, or unknown if an earlier entry may
// have executed the key. A key whose previous state was KeyMoved returns to
// that state.
func (k *KeyTable) EndLookup(id uuid.UUID, owner Owner, previous KeyRecord, reported magnolialedge.Outcome) {
	r, ok := k.records[id]
	if !ok || r.owner != owner || r.State != KeyAcquiring {
		return
	}
	if previous.State == KeyMoved {
		r.State = KeyMoved
		r.MovedTo = previous.MovedTo
		return
	}
	r.State = KeyEnded
	r.Outcome = ""
	if reported == magnolialedge.OutcomeNotRun {
		r.Outcome = reported
	}
}

// add adds a record for key, or returns nil if the table is full.
func (k *KeyTable) add(key call.Key, fingerprint uint64) *KeyRecord {
	if len(k.records) >= k.cfg.Capacity {
		return nil
	}
	r := &KeyRecord{ID: key.ID, IssuedAt: key.IssuedAt, Fingerprint: fingerprint}
	k.records[key.ID] = r
	second := key.IssuedAt.Unix()
	k.idsByIssueSecond[second] = append(k.idsByIssueSecond[second], key.ID)
	return r
}

// sweep removes the keys that are too old to be executed by any entry.
func (k *KeyTable) sweep(now time.Time) {
	lastExpired := now.Add(-call.KeyTTL-call.MaxClockSkew).Unix() - 1
	if lastExpired <= k.sweptSecond {
		return
	}
	k.sweptSecond = lastExpired
	for second, ids := range k.idsByIssueSecond {
		if second > lastExpired {
			continue
		}
		k.remove(ids)
		delete(k.idsByIssueSecond, second)
	}
}

func (k *KeyTable) remove(ids []uuid.UUID) {
	for _, id := range ids {
		if r, ok := k.records[id]; ok {
			k.responseBytes -= r.Response.size()
			delete(k.records, id)
		}
	}
}
