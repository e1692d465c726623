package alive

import (
	"cmp"
	"slices"
	"time"

	"magnolialedge"
)

const (
	// An entry takes no other for silent while it has got no response for connectedIntervals
	// rounds. After detachedIntervals rounds without one, or pausedIntervals in which it did not
	// run, what it knows is old, and it waits for another settleIntervals rounds with responses.
	connectedIntervals = 3
	detachedIntervals  = 6
	pausedIntervals    = 2
	settleIntervals    = 2
	// startResponses is the number of responses after which an entry that has just started
	// judges: it takes only those for silent of which others say so.
	startResponses = 2
	// minHeardShare is the fraction of the other entries that must have been heard for the rest to
	// count as silent. Below it, this entry is more likely to be cut off.
	minHeardShare = 0.1
	// forgetAfter is how long the evidence of an entry is kept that is not listed: a store that is
	// restored may list it again.
	forgetAfter = time.Minute
)

// Config configures a Table.
type Config struct {
	// Self is this entry.
	Self magnolialedge.Instance
	// Timing holds the bounds; the zero value is not valid.
	Timing Timing
	// Random returns a random number in [0, n).
	Random func(n int) int
}

// Table holds when each other entry was last heard by anybody, as far as this entry knows. An
// entry is heard when its program responds. Evidence spreads with the responses and is merged by
// the latest time, so that it needs no owner, and each entry judges by itself. It is not safe for
// concurrent use.
type Table struct {
	cfg     Config
	ownKey  uint32
	records map[string]*record
	byKey   map[uint32]*record
	// near holds the records of the same place that are listed, ordered by comparePlaces.
	near []*record
	// selfIndex is the position of this entry in near.
	selfIndex int
	// heardAt is when the latest request was sent that got a response, attachedAt when
	// responses began to arrive without a longer gap, and judgedAt when Judge was last called.
	heardAt, attachedAt, judgedAt time.Time
	// responses counts the responses. It is used until this entry has been detached once.
	responses   int
	wasDetached bool
	// listedAt is when other entries were first listed.
	listedAt time.Time
	round    int
}

// record is what is known of one entry.
type record struct {
	magnolialedge.Instance
	key    uint32
	isNear bool
	// at is when the entry was last heard. While isAssumed is set, nobody has said so, and at
	// is when the listing of the run appeared.
	at        time.Time
	isAssumed bool
	// triedAt is when this entry last sent a request to it, and failedAt when the last one
	// without a response was sent.
	triedAt, failedAt time.Time
	isSilent          bool
	// unlistedAt is when the entry disappeared from the list, or zero.
	unlistedAt time.Time
}

// NewTable returns a Table without entries.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, ownKey: runKey(cfg.Self), records: map[string]*record{}, byKey: map[uint32]*record{}}
}

// bound returns how long an entry may be silent.
func (t *Table) bound(r *record) time.Duration {
	if r.isNear {
		return t.cfg.Timing.NearBound
	}
	return t.cfg.Timing.FarBound
}

// SetEntries sets the listed entries. A new run counts as heard when its listing appears.
func (t *Table) SetEntries(now time.Time, listed []magnolialedge.Instance) {
	isNear := nearFilter(t.cfg.Self, listed)
	names := map[string]bool{}
	for _, in := range listed {
		if in.Name == t.cfg.Self.Name {
			continue
		}
		names[in.Name] = true
		t.setEntry(now, in, isNear(in))
	}
	if t.listedAt.IsZero() && len(names) > 0 {
		t.listedAt = now
	}
	t.near = t.near[:0]
	for name, r := range t.records {
		switch {
		case names[name]:
			r.unlistedAt = time.Time{}
			if r.isNear {
				t.near = append(t.near, r)
			}
		case r.unlistedAt.IsZero():
			r.unlistedAt = now
		case now.Sub(r.unlistedAt) > forgetAfter:
			t.remove(r)
		}
	}
	slices.SortFunc(t.near, func(a, b *record) int { return comparePlaces(a.Instance, b.Instance) })
	t.selfIndex, _ = slices.BinarySearchFunc(t.near, t.cfg.Self, func(r *record, self magnolialedge.Instance) int { return comparePlaces(r.Instance, self) })
}

// comparePlaces orders entries so that neighbors are near each other.
func comparePlaces(a, b magnolialedge.Instance) int {
	return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
}

func (t *Table) setEntry(now time.Time, in magnolialedge.Instance, isNear bool) {
	r := t.records[in.Name]
	if r == nil || r.StartedAt != in.StartedAt {
		if r != nil {
			t.remove(r)
		}
		r = &record{key: runKey(in), at: now, isAssumed: true}
		t.records[in.Name], t.byKey[r.key] = r, r
	}
	r.Instance, r.isNear = in, isNear
}

func (t *Table) remove(r *record) {
	delete(t.records, r.Name)
	delete(t.byKey, r.key)
}

// Heard records that the program of an entry responded without a digest to a request sent at the
// given time.
func (t *Table) Heard(now, sent time.Time, name string) {
	if r := t.records[name]; r != nil {
		t.merge(now, r, sent)
	}
	t.recordResponse(now, sent)
}

// Merge records the digest with which an entry responded to a request sent at the given time. The
// ages count from the request, because it is not known when the response was written. The entry
// itself was heard also if it is another run than the listed one.
func (t *Table) Merge(now, sent time.Time, name string, digest []byte) {
	if r := t.records[name]; r != nil {
		t.merge(now, r, sent)
	}
	rangeEvidence(digest, func(key uint32, age time.Duration) {
		if r := t.byKey[key]; r != nil {
			t.merge(now, r, sent.Add(-age))
		}
	})
	t.recordResponse(now, sent)
}

func (t *Table) recordResponse(now, sent time.Time) {
	t.responses++
	if now.Sub(t.heardAt) > detachedIntervals*t.cfg.Timing.Interval {
		t.attach(now)
	}
	if sent.After(t.heardAt) {
		t.heardAt = sent
	}
	if !t.wasDetached && t.responses == startResponses {
		t.Judge(now)
	}
}

// attach records that this entry hears others from now on.
func (t *Table) attach(now time.Time) {
	t.wasDetached = t.wasDetached || !t.attachedAt.IsZero()
	t.attachedAt = now
}

// isSettled reports whether this entry has heard others for long enough to judge them.
func (t *Table) isSettled(now time.Time) bool {
	if !t.wasDetached && t.responses >= startResponses {
		return true
	}
	return now.Sub(t.attachedAt) >= settleIntervals*t.cfg.Timing.Interval
}

// merge records that an entry was heard at a time. Any evidence replaces an assumption.
func (t *Table) merge(now time.Time, r *record, at time.Time) {
	if !r.isAssumed && !at.After(r.at) {
		return
	}
	r.at, r.isAssumed = at, false
	r.isSilent = r.isSilent && t.isOverdue(now, r)
}

// isOverdue reports whether an entry was not heard within its bound.
func (t *Table) isOverdue(now time.Time, r *record) bool {
	return now.Sub(r.at) > t.bound(r)
}

// Failed records that an entry did not respond to a request sent at the given time. One that
// nobody has heard yet is not waited for any longer: this entry may have started after it became
// silent.
func (t *Table) Failed(now, sent time.Time, name string) {
	r := t.records[name]
	if r == nil {
		return
	}
	r.failedAt = sent
	if latest := now.Add(-t.bound(r) - 1); r.isAssumed && latest.Before(r.at) {
		r.at = latest
	}
}

// isSuspect reports whether an entry has not responded to this one since it was last heard.
func (r *record) isSuspect() bool {
	return r.failedAt.After(r.at)
}

// Digest returns the evidence of all entries, and of this one, for a request of the given entry.
// One of another place and region gets that of this region only, because it asks entries of each
// region, unless it asks about an entry.
func (t *Table) Digest(now time.Time, from string, request Request) []byte {
	digest := appendEvidence(nil, t.ownKey, 0)
	if request.Scope == ScopeSelf {
		return digest
	}
	asking := t.records[from]
	isElsewhere := asking != nil && !asking.isNear && asking.Region != t.cfg.Self.Region
	regionOnly := isElsewhere && request.About == ""
	for _, r := range t.records {
		isIncluded := !r.isAssumed && (r.isNear || request.Scope != ScopePlace) && (!regionOnly || r.Region == t.cfg.Self.Region)
		if isIncluded {
			digest = appendEvidence(digest, r.key, now.Sub(r.at))
		}
	}
	return digest
}

// Judge decides anew which entries are silent. An entry that was heard within its bound is not.
// One that was not becomes silent only if this entry may judge; otherwise it stays what it was.
func (t *Table) Judge(now time.Time) {
	interval := t.cfg.Timing.Interval
	if !t.judgedAt.IsZero() && now.Sub(t.judgedAt) > pausedIntervals*interval {
		t.attach(now)
	}
	t.judgedAt = now
	mayJudge := now.Sub(t.heardAt) <= connectedIntervals*interval && t.isSettled(now) && t.hearsEnough(now)
	for _, r := range t.records {
		r.isSilent = t.isOverdue(now, r) && (r.isSilent || mayJudge)
	}
}

// hearsEnough reports whether enough of the other entries were heard within their bounds.
func (t *Table) hearsEnough(now time.Time) bool {
	listed, heard := 0, 0
	for _, r := range t.records {
		if !r.isServing() {
			continue
		}
		listed++
		if !t.isOverdue(now, r) {
			heard++
		}
	}
	return heard > 0 && float64(heard) >= minHeardShare*float64(listed)
}

// isServing reports whether the entry is listed and is not leaving.
func (r *record) isServing() bool {
	return r.unlistedAt.IsZero() && !r.Leaving
}

// State is what a Table knows of an entry.
type State struct {
	Name string
	// Age is the time since the entry was last heard by anybody, or since its listing appeared
	// if IsAssumed is set.
	Age       time.Duration
	IsAssumed bool
	IsSilent  bool
}

// Silent returns the serving entries that are silent, by name, as of the last judgement.
func (t *Table) Silent(now time.Time) map[string]State {
	return t.collect(now, func(r *record) bool { return r.isSilent })
}

// MayName reports whether resolve responses may name an entry: one that is not silent, and that was
// heard within its bound as long as this entry has just started and does not know enough to judge.
func (t *Table) MayName(now time.Time, name string) bool {
	r := t.records[name]
	switch {
	case t.isStarting(now):
		return r != nil && !r.isAssumed && !t.isOverdue(now, r)
	case r == nil:
		return true
	}
	return !r.isSilent
}

// isStarting reports whether others have not responded yet and have not had the time to do so.
func (t *Table) isStarting(now time.Time) bool {
	if t.wasDetached || t.responses >= startResponses {
		return false
	}
	return t.listedAt.IsZero() || now.Sub(t.listedAt) <= t.cfg.Timing.Timeout
}

// collect returns the serving entries that match, by name, or nil if there are none.
func (t *Table) collect(now time.Time, match func(*record) bool) map[string]State {
	var out map[string]State
	for name, r := range t.records {
		if !r.isServing() || !match(r) {
			continue
		}
		if out == nil {
			out = map[string]State{}
		}
		out[name] = r.state(now)
	}
	return out
}

// IsSilent reports whether an entry counted as silent in the last judgement.
func (t *Table) IsSilent(name string) bool {
	r := t.records[name]
	return r != nil && r.isSilent
}

// Entry returns what is known of an entry, or false if it was never listed.
func (t *Table) Entry(now time.Time, name string) (State, bool) {
	r := t.records[name]
	if r == nil {
		return State{}, false
	}
	return r.state(now), true
}

func (r *record) state(now time.Time) State {
	return State{Name: r.Name, Age: now.Sub(r.at), IsAssumed: r.isAssumed, IsSilent: r.isSilent}
}
