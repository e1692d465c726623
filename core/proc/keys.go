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
	// mostAnswerBytes is the memory for stored answers of one entry.
	mostAnswerBytes = 12 << 20
	// vouchMargin is how long after its start an entry can't vouch for keys:
	// their stamps may be ahead by the clock skew on either side.
	vouchMargin = 2 * call.ClockSkew
)

// KeysConfig constructs Keys.
type KeysConfig struct {
	Peer     string
	Start    time.Time
	Capacity int
}

// Keys is the key table of one entry. It remembers each key until the key is
// too old to be run anywhere, and refuses new keys when it is full.
type Keys struct {
	cfg         KeysConfig
	seq         int64
	records     map[uuid.UUID]*KeyRecord
	bySecond    map[int64][]uuid.UUID
	swept       int64
	answerBytes int
	vouchFrom   time.Time
	generations map[int64]bool
}

// NewKeys returns an empty key table.
func NewKeys(cfg KeysConfig) *Keys {
	if cfg.Capacity <= 0 {
		cfg.Capacity = DefaultKeyCapacity
	}
	return &Keys{
		cfg:         cfg,
		records:     map[uuid.UUID]*KeyRecord{},
		bySecond:    map[int64][]uuid.UUID{},
		vouchFrom:   cfg.Start.Add(vouchMargin),
		generations: map[int64]bool{cfg.Start.UnixNano(): true},
	}
}

// Generation returns the generation of this entry.
func (k *Keys) Generation() int64 {
	return k.cfg.Start.UnixNano()
}

// AnswersFor reports whether this entry is, or was left the table of, the entry
// of that generation.
func (k *Keys) AnswersFor(generation int64) bool {
	return k.generations[generation]
}

// Vouches reports whether the table holds every request with the key that came
// to this address.
func (k *Keys) Vouches(key call.Key) bool {
	return key.Issued.After(k.vouchFrom)
}

// Len returns the number of keys remembered.
func (k *Keys) Len() int {
	return len(k.records)
}

func (k *Keys) owner() Owner {
	k.seq++
	return Owner{Peer: k.cfg.Peer, Generation: k.Generation(), Seq: k.seq}
}

// Begin takes a request with a key and decides what is done with it.
func (k *Keys) Begin(now time.Time, key call.Key, fingerprint uint64) (KeyDecision, error) {
	k.sweep(now)
	if err := key.Check(now); err != nil {
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

func (k *Keys) beginNew(key call.Key, fingerprint uint64) (KeyDecision, error) {
	r := k.add(key, fingerprint)
	if r == nil {
		return KeyDecision{}, magnolialedge.NewError(magnolialedge.KindKeyTableFull, "the key table is full")
	}
	r.mine = k.owner()
	return KeyDecision{Step: KeyFind, Owner: r.mine, Record: *r}, nil
}

func (k *Keys) beginKnown(r *KeyRecord) KeyDecision {
	switch {
	case r.State == KeyAsking || r.State == KeyRunning:
		return KeyDecision{Step: KeyJoin, Record: *r}
	case r.State == KeyEnded && !r.endedUnrun():
		return KeyDecision{Step: KeyReplay, Record: *r}
	}
	step := KeyFind
	if r.State == KeyMoved {
		step = KeyFollow
	}
	before := *r
	r.State = KeyAsking
	r.mine = k.owner()
	return KeyDecision{Step: step, Owner: r.mine, Record: before}
}

// Confirm moves a key from asking to running just before dispatch. False means
// that the key was granted to another entry meanwhile and must not be run.
func (k *Keys) Confirm(id uuid.UUID, owner Owner) bool {
	r, ok := k.records[id]
	if !ok || r.State != KeyAsking || r.mine != owner {
		return false
	}
	r.State = KeyRunning
	return true
}

// End records how the try of owner ended. An answer that doesn't fit the memory
// for answers is not kept.
func (k *Keys) End(id uuid.UUID, owner Owner, outcome magnolialedge.Outcome, answer *StoredAnswer) {
	r, ok := k.records[id]
	if !ok || r.mine != owner || r.State == KeyMoved || r.State == KeyEnded {
		return
	}
	r.State = KeyEnded
	r.Outcome = outcome
	k.keep(r, answer)
}

func (k *Keys) keep(r *KeyRecord, answer *StoredAnswer) {
	if answer == nil || k.answerBytes+answer.size() > mostAnswerBytes {
		return
	}
	r.Answer = answer
	k.answerBytes += answer.size()
}

// Record returns what is remembered of a key.
func (k *Keys) Record(id uuid.UUID) (KeyRecord, bool) {
	r, ok := k.records[id]
	if !ok {
		return KeyRecord{}, false
	}
	return *r, true
}

// Ask answers another entry's question. A key that hasn't been run here is
// granted to the asker, and from then on isn't run here.
func (k *Keys) Ask(now time.Time, a FenceAsk) FenceReply {
	k.sweep(now)
	if a.Key.Check(now) != nil {
		return FenceReply{Status: FenceUnknown}
	}
	if a.Generation != 0 && !k.AnswersFor(a.Generation) {
		return FenceReply{Status: FenceUnknown}
	}
	r, ok := k.records[a.Key.ID]
	if !ok {
		return k.askUnseen(a)
	}
	if a.Generation == 0 && !k.Vouches(a.Key) && !r.mayHaveRun() {
		return FenceReply{Status: FenceUnknown}
	}
	if r.Fingerprint != 0 && r.Fingerprint != a.Fingerprint {
		return FenceReply{Status: FenceUnknown, Reused: true}
	}
	return k.askSeen(r, a)
}

// mayHaveRun reports whether the request was dispatched here.
func (r *KeyRecord) mayHaveRun() bool {
	return r.State == KeyRunning || (r.State == KeyEnded && !r.endedUnrun())
}

// endedUnrun reports whether the key's last try here ended before dispatch, or
// without a run. An outcome that is empty says nothing of other entries.
func (r *KeyRecord) endedUnrun() bool {
	return r.Outcome == magnolialedge.OutcomeNotRun || r.Outcome == ""
}

func (k *Keys) askUnseen(a FenceAsk) FenceReply {
	if !k.Vouches(a.Key) || (a.Heir && a.Generation == 0) {
		return FenceReply{Status: FenceUnknown}
	}
	r := k.add(a.Key, a.Fingerprint)
	if r == nil {
		return FenceReply{Status: FenceUnknown}
	}
	return grant(r, a.By)
}

func (k *Keys) askSeen(r *KeyRecord, a FenceAsk) FenceReply {
	switch {
	case r.State == KeyRunning:
		return FenceReply{Status: FenceRunning}
	case r.State == KeyEnded && !r.endedUnrun():
		return FenceReply{Status: FenceEnded, Outcome: r.Outcome, Answer: r.Answer}
	case r.State == KeyMoved && r.MovedTo != a.By:
		return FenceReply{Status: FenceMoved, MovedTo: r.MovedTo}
	}
	return grant(r, a.By)
}

func grant(r *KeyRecord, to Owner) FenceReply {
	r.State = KeyMoved
	r.MovedTo = to
	return FenceReply{Status: FenceGranted}
}

// Learn records an outcome that another entry reported, so that callers that
// ask here again are answered without a further question.
func (k *Keys) Learn(id uuid.UUID, owner Owner, reply FenceReply) {
	r, ok := k.records[id]
	if !ok || r.mine != owner || r.State != KeyAsking {
		return
	}
	r.State = KeyEnded
	r.Outcome = reply.Outcome
	k.keep(r, reply.Answer)
}

// Return ends an asking that led to no run here. told is what the caller was
// told: notRun, or unknown when an earlier entry may have run the key. A key that
// had moved before is still with the entry it had moved to.
func (k *Keys) Return(id uuid.UUID, owner Owner, before KeyRecord, told magnolialedge.Outcome) {
	r, ok := k.records[id]
	if !ok || r.mine != owner || r.State != KeyAsking {
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

func (k *Keys) add(key call.Key, fingerprint uint64) *KeyRecord {
	if len(k.records) >= k.cfg.Capacity {
		return nil
	}
	r := &KeyRecord{ID: key.ID, Issued: key.Issued, Fingerprint: fingerprint}
	k.records[key.ID] = r
	second := key.Issued.Unix()
	k.bySecond[second] = append(k.bySecond[second], key.ID)
	return r
}

// sweep forgets the keys that are too old to be run anywhere.
func (k *Keys) sweep(now time.Time) {
	last := now.Add(-call.KeyLife-call.ClockSkew).Unix() - 1
	if last <= k.swept {
		return
	}
	k.swept = last
	for second, ids := range k.bySecond {
		if second > last {
			continue
		}
		k.forget(ids)
		delete(k.bySecond, second)
	}
}

func (k *Keys) forget(ids []uuid.UUID) {
	for _, id := range ids {
		if r, ok := k.records[id]; ok {
			k.answerBytes -= r.Answer.size()
			delete(k.records, id)
		}
	}
}
