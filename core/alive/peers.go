package alive

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"magnolialedge"
)

const (
	// An entry is also asked directly once its evidence is older than this fraction of its
	// bound, so that its own silence is seen before it is left out. Evidence of other places is
	// older from the start.
	dueNearShare = 0.5
	dueFarShare  = 0.7
	// retryIntervals is the number of rounds between two requests to the same entry for that.
	retryIntervals = 2
	// maxDueNear and maxDueFar limit these requests in a round, and maxDueStart those of an
	// entry that has just started: the first responses tell of most others.
	maxDueNear  = 8
	maxDueFar   = 2
	maxDueStart = 3
	// minDenseRing is the number of others in a place from which two of them are asked in a
	// round, because the evidence needs more rounds to reach all.
	minDenseRing = 16
	// regionPerRound and farPerRound are the numbers of requests in a round from all entries of a
	// place to other places of the region and to other regions, and silentPerRound that to
	// entries that are silent.
	regionPerRound = 1.0
	farPerRound    = 1.0
	silentPerRound = 1.0
)

// Request is a request to an entry.
type Request struct {
	To magnolialedge.Instance
	// About names an entry that does not respond to this one. The receiver asks it, too, before it
	// responds. It is empty if there is none.
	About string
	// Scope is whose evidence the response has.
	Scope Scope
}

// Scope is whose evidence a response has.
type Scope string

const (
	// ScopeAll is that of all entries, or of the region of an entry in another region.
	ScopeAll Scope = ""
	// ScopePlace is that of the place of the entry that is asked.
	ScopePlace Scope = "place"
	// ScopeSelf is that of the entry that is asked.
	ScopeSelf Scope = "self"
)

// Next returns the requests that this entry sends in this round. Within a place, the distance to
// the next entry doubles from round to round, so that evidence reaches n entries in about
// log2(n) rounds.
func (t *Table) Next(now time.Time) []Request {
	t.round++
	chosen := map[string]Request{}
	add := func(r *record, scope Scope) {
		if r != nil {
			r.triedAt = now
			chosen[r.Name] = Request{To: r.Instance, Scope: scope}
		}
	}
	for _, r := range t.due(now) {
		add(r, r.dueScope())
	}
	ring := t.ring()
	if len(ring) >= minDenseRing {
		add(neighbor(ring, t.round+bits.Len(uint(len(ring)))/2), ScopePlace)
	}
	add(neighbor(ring, t.round), ScopeAll)
	if t.isTurn(regionPerRound) {
		add(t.oldestOfTwo(t.candidates(func(r *record) bool { return r.isUsableFar() && r.Region == t.cfg.Self.Region })), ScopeAll)
	}
	if t.isTurn(farPerRound) {
		add(t.oldestOfTwo(t.candidates(func(r *record) bool { return r.isUsableFar() && r.Region != t.cfg.Self.Region })), ScopeAll)
	}
	if t.isTurn(silentPerRound) {
		add(t.oldestOfTwo(t.candidates(func(r *record) bool { return r.isSilent })), ScopeAll)
	}
	if request, ok := t.indirect(now); ok {
		chosen[request.To.Name] = request
	}
	return slices.Collect(maps.Values(chosen))
}

// indirect returns the request by which an entry of another region, if there is one, asks an entry
// of this place that does not respond to this one: only the links within the region may be at fault.
func (t *Table) indirect(now time.Time) (Request, bool) {
	isSuspect := func(r *record) bool { return r.isNear && !r.isSilent && r.isSuspect() && t.isDue(now, r) }
	suspect := t.oldestOfTwo(t.candidates(isSuspect))
	helper := t.oldestOfTwo(t.candidates(func(r *record) bool { return r.isUsableFar() && r.Region != t.cfg.Self.Region }))
	if suspect == nil || helper == nil {
		return Request{}, false
	}
	return Request{To: helper.Instance, About: suspect.Name}, true
}

// isUsableFar reports whether an entry of another place probably responds.
func (r *record) isUsableFar() bool {
	return !r.isNear && !r.isSilent && !r.isSuspect()
}

// dueScope returns whose evidence a direct request to an entry is for: its own, that of its place,
// or that of all others if nobody has heard it yet.
func (r *record) dueScope() Scope {
	switch {
	case r.isAssumed:
		return ScopeAll
	case r.isNear:
		return ScopeSelf
	}
	return ScopePlace
}

// ring returns the entries of this place that probably respond, beginning after this one.
func (t *Table) ring() []*record {
	var before, after []*record
	for i, r := range t.near {
		switch {
		case r.isSilent || r.isSuspect():
		case i < t.selfIndex:
			before = append(before, r)
		default:
			after = append(after, r)
		}
	}
	return append(after, before...)
}

// neighbor returns the entry of a ring whose turn it is in a round, or nil.
func neighbor(ring []*record, round int) *record {
	if len(ring) == 0 {
		return nil
	}
	distance := 1 << (round % bits.Len(uint(len(ring))))
	return ring[distance-1]
}

// isDue reports whether the evidence of an entry is so old that it should be asked directly.
func (t *Table) isDue(now time.Time, r *record) bool {
	dueShare := dueFarShare
	if r.isNear {
		dueShare = dueNearShare
	}
	return r.isAssumed || float64(now.Sub(r.at)) > dueShare*float64(t.bound(r))
}

// due returns the entries that this one asks directly because their evidence is old.
func (t *Table) due(now time.Time) []*record {
	all := t.candidates(func(r *record) bool {
		return t.isDue(now, r) && !r.isSilent && now.Sub(r.triedAt) >= retryIntervals*t.cfg.Timing.Interval
	})
	slices.SortFunc(all, func(a, b *record) int { return cmp.Or(a.triedAt.Compare(b.triedAt), a.at.Compare(b.at)) })
	maxNear := maxDueNear
	if t.isStarting(now) {
		maxNear = maxDueStart
	}
	var out []*record
	near, far := 0, 0
	for _, r := range all {
		switch {
		case r.isNear && near < maxNear:
			near++
			out = append(out, r)
		case !r.isNear && far < maxDueFar:
			far++
			out = append(out, r)
		}
	}
	return out
}

// candidates returns the listed entries that match, in the order of their names. Those that are
// leaving still know whom they have heard.
func (t *Table) candidates(match func(*record) bool) []*record {
	var out []*record
	for _, r := range t.records {
		if r.unlistedAt.IsZero() && match(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *record) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// oldestOfTwo returns the one of two random records that was asked less recently, or nil. The
// oldest of all would be the same one for all entries.
func (t *Table) oldestOfTwo(all []*record) *record {
	if len(all) == 0 {
		return nil
	}
	a, b := all[t.cfg.Random(len(all))], all[t.cfg.Random(len(all))]
	if b.triedAt.Before(a.triedAt) {
		return b
	}
	return a
}

// turnUnits is the resolution of isTurn.
const turnUnits = 1 << 20

// isTurn returns true in so many rounds that it is true perRound times in a round of all entries
// of this place.
func (t *Table) isTurn(perRound float64) bool {
	asking := 1 + len(t.ring())
	return float64(t.cfg.Random(turnUnits))*float64(asking) < perRound*turnUnits
}
