package proc

import (
	"time"

	"github.com/google/uuid"

	"magnolialedge"
	"magnolialedge/core/call"
)

const (
	// DefaultKeyCapacity is the number of keys that an entry remembers.
	DefaultKeyCapacity = 40000
	// maxResponseBytes is the memory for stored answers of one entry.
	maxResponseBytes = 12 << 20
	// startupMargin is how long after its start an entry can't vouch for keys:
	// their stamps may be ahead by the clock skew on either side.
	startupMargin = 2 * call.MaxClockSkew
)

// KeyTableConfig constructs Keys.
type KeyTableConfig struct {
	Peer     string
	Start    time.Time
	Capacity int
}

// KeyTable is the key table of one entry. It remembers each key until the key is
// too old to be run anywhere, and refuses new keys when it is full.
type KeyTable struct {
	cfg           KeyTableConfig
	seq           int64
	records       map[uuid.UUID]*KeyRecord
	bySecond      map[int64][]uuid.UUID
	sweptSecond   int64
	responseBytes int
	completeFrom  time.Time
	generations   map[int64]bool
}

// NewKeyTable returns an empty key table.
func NewKeyTable(cfg KeyTableConfig) *KeyTable {
	if cfg.Capacity <= 0 {
		cfg.Capacity = DefaultKeyCapacity
	}
	return &KeyTable{
		cfg:          cfg,
		records:      map[uuid.UUID]*KeyRecord{},
		bySecond:     map[int64][]uuid.UUID{},
		completeFrom: cfg.Start.Add(startupMargin),
		generations:  map[int64]bool{cfg.Start.UnixNano(): true},
	}
}

// Generation returns the generation of this entry.
func (k *KeyTable) Generation() int64 {
	return k.cfg.Start.UnixNano()
}

// CoversGeneration reports whether this entry is, or was left the table of, the entry
// of that generation.
func (k *KeyTable) CoversGeneration(generation int64) bool {
	return k.generations[generation]
}

// HasCompleteHistory reports whether the table holds every request with the key that came
// to this address.
func (k *KeyTable) HasCompleteHistory(key call.Key) bool {
	return key.IssuedAt.After(k.completeFrom)
}

// Len returns the number of keys remembered.
func (k *KeyTable) Len() int {
	return len(k.records)
}

func (k *KeyTable) nextOwner() Owner {
	k.seq++
	return Owner{Peer: k.cfg.Peer, Generation: k.Generation(), Seq: k.seq}
}

// Begin takes a request with a key and decides what is done with it.
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

func (k *KeyTable) beginNew(key call.Key, fingerprint uint64) (KeyDecision, error) {
	r := k.add(key, fingerprint)
	if r == nil {
		return KeyDecision{}, magnolialedge.NewError(magnolialedge.KindKeyTableFull, "the key table is full")
	}
	r.owner = k.nextOwner()
	return KeyDecision{Step: KeyAcquire, Owner: r.owner, Record: *r}, nil
}

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
	before := *r
	r.State = KeyAcquiring
	r.owner = k.nextOwner()
	return KeyDecision{Step: step, Owner: r.owner, Record: before}
}

// Confirm moves a key from asking to running just before dispatch. False means
// that the key was granted to another entry meanwhile and must not be run.
func (k *KeyTable) Confirm(id uuid.UUID, owner Owner) bool {
	r, ok := k.records[id]
	if !ok || r.State != KeyAcquiring || r.owner != owner {
		return false
	}
	r.State = KeyRunning
	return true
}

// End records how the try of owner ended. An answer that doesn't fit the memory
// for answers is not kept.
func (k *KeyTable) End(id uuid.UUID, owner Owner, outcome magnolialedge.Outcome, answer *StoredResponse) {
	r, ok := k.records[id]
	if !ok || r.owner != owner || r.State == KeyMoved || r.State == KeyEnded {
		return
	}
	r.State = KeyEnded
	r.Outcome = outcome
	k.storeResponse(r, answer)
}

func (k *KeyTable) storeResponse(r *KeyRecord, answer *StoredResponse) {
	if answer == nil || k.responseBytes+answer.size() > maxResponseBytes {
		return
	}
	r.Response = answer
	k.responseBytes += answer.size()
}

// Record returns what is remembered of a key.
func (k *KeyTable) Record(id uuid.UUID) (KeyRecord, bool) {
	r, ok := k.records[id]
	if !ok {
		return KeyRecord{}, false
	}
	return *r, true
}

// AnswerFence answers another entry's question. A key that hasn't been run here is
// granted to the asker, and from then on isn't run here.
func (k *KeyTable) AnswerFence(now time.Time, a FenceRequest) FenceReply {
	k.sweep(now)
	if a.Key.CheckAge(now) != nil {
		return FenceReply{Status: FenceUnknown}
	}
	if a.Generation != 0 && !k.CoversGeneration(a.Generation) {
		return FenceReply{Status: FenceUnknown}
	}
	r, ok := k.records[a.Key.ID]
	if !ok {
		return k.fenceUnknownKey(a)
	}
	if a.Generation == 0 && !k.HasCompleteHistory(a.Key) && !r.mayHaveRun() {
		return FenceReply{Status: FenceUnknown}
	}
	if r.Fingerprint != 0 && r.Fingerprint != a.Fingerprint {
		return FenceReply{Status: FenceUnknown, KeyReused: true}
	}
	return k.fenceKnownKey(r, a)
}

// mayHaveRun reports whether the request was dispatched here.
func (r *KeyRecord) mayHaveRun() bool {
	return r.State == KeyRunning || (r.State == KeyEnded && !r.endedWithoutRun())
}

// endedWithoutRun reports whether the key's last try here ended before dispatch, or
// without a run. An outcome that is empty says nothing of other entries.
func (r *KeyRecord) endedWithoutRun() bool {
	return r.Outcome == magnolialedge.OutcomeNotRun || r.Outcome == ""
}

func (k *KeyTable) fenceUnknownKey(a FenceRequest) FenceReply {
	if !k.HasCompleteHistory(a.Key) || (a.ToSuccessor && a.Generation == 0) {
		return FenceReply{Status: FenceUnknown}
	}
	r := k.add(a.Key, a.Fingerprint)
	if r == nil {
		return FenceReply{Status: FenceUnknown}
	}
	return grantKey(r, a.Requester)
}

func (k *KeyTable) fenceKnownKey(r *KeyRecord, a FenceRequest) FenceReply {
	switch {
	case r.State == KeyRunning:
		return FenceReply{Status: FenceRunning}
	case r.State == KeyEnded && !r.endedWithoutRun():
		return FenceReply{Status: FenceEnded, Outcome: r.Outcome, Response: r.Response}
	case r.State == KeyMoved && r.MovedTo != a.Requester:
		return FenceReply{Status: FenceMoved, MovedTo: r.MovedTo}
	}
	return grantKey(r, a.Requester)
}

func grantKey(r *KeyRecord, to Owner) FenceReply {
	r.State = KeyMoved
	r.MovedTo = to
	return FenceReply{Status: FenceGranted}
}

// RecordRemoteEnd records an outcome that another entry reported, so that callers that
// ask here again are answered without a further question.
func (k *KeyTable) RecordRemoteEnd(id uuid.UUID, owner Owner, reply FenceReply) {
	r, ok := k.records[id]
	if !ok || r.owner != owner || r.State != KeyAcquiring {
		return
	}
	r.State = KeyEnded
	r.Outcome = reply.Outcome
	k.storeResponse(r, reply.Response)
}

// EndLookup ends an asking that led to no run here. told is what the caller was
// told: notRun, or unknown when an earlier entry may have run the key. A key that
// had moved before is still with the entry it had moved to.
func (k *KeyTable) EndLookup(id uuid.UUID, owner Owner, before KeyRecord, told magnolialedge.Outcome) {
	r, ok := k.records[id]
	if !ok || r.owner != owner || r.State != KeyAcquiring {
		return
	}
	if before.State == KeyMoved {
		r.State = KeyMoved
		r.MovedTo = before.MovedTo
		return
	}
	r.State = KeyEnded
	r.Outcome = ""
	if told == magnolialedge.OutcomeNotRun {
		r.Outcome = told
	}
}

func (k *KeyTable) add(key call.Key, fingerprint uint64) *KeyRecord {
	if len(k.records) >= k.cfg.Capacity {
		return nil
	}
	r := &KeyRecord{ID: key.ID, Issued: key.IssuedAt, Fingerprint: fingerprint}
	k.records[key.ID] = r
	second := key.IssuedAt.Unix()
	k.bySecond[second] = append(k.bySecond[second], key.ID)
	return r
}

// sweep forgets the keys that are too old to be run anywhere.
func (k *KeyTable) sweep(now time.Time) {
	last := now.Add(-call.KeyTTL-call.MaxClockSkew).Unix() - 1
	if last <= k.sweptSecond {
		return
	}
	k.sweptSecond = last
	for second, ids := range k.bySecond {
		if second > last {
			continue
		}
		k.forget(ids)
		delete(k.bySecond, second)
	}
}

func (k *KeyTable) forget(ids []uuid.UUID) {
	for _, id := range ids {
		if r, ok := k.records[id]; ok {
			k.responseBytes -= r.Response.size()
			delete(k.records, id)
		}
	}
}
