// Package mirror maintains a copy of a store's items that survives outages of
// the store.
package mirror

import (
	"bytes"
	"slices"
	"time"

	"magnolialedge"
)

const (
	// minOutage is the time after which continuous failures of the store count
	// as an outage.
	minOutage = time.Second
	// removalHold is the time after an outage during which items that the store
	// no longer lists are kept. Their leases may have expired during the
	// outage, and their writers then write them again.
	removalHold = 2200 * time.Millisecond
)

// Origin is the source of a list of items.
type Origin int

const (
	// FromStore lists reflect the store itself.
	FromStore Origin = iota
	// FromPeer lists reflect the mirror of another entry. They may include
	// items that are known here to be removed.
	FromPeer
)

// Config configures a Mirror.
type Config struct {
	// Generation returns the order of an item's value among all values of its key.
	// nil means that values have no order of their own.
	Generation func(magnolialedge.Item) magnolialedge.Generation
}

// Mirror holds a copy of a store's items. It is not safe for concurrent use.
type Mirror struct {
	cfg      Config
	items    map[string]magnolialedge.Item
	position magnolialedge.Position
	// failingSince is the time of the first failure since the last success, or
	// zero.
	failingSince time.Time
	// recoveredAt is the end of the last outage.
	recoveredAt time.Time
	// heldRemovals holds removals, by key, that are not applied yet because the
	// items may be written again after an outage.
	heldRemovals map[string]magnolialedge.Item
	restoration  restoration
}

// New returns an empty Mirror.
func New(cfg Config) *Mirror {
	return &Mirror{cfg: cfg, items: map[string]magnolialedge.Item{}, heldRemovals: map[string]magnolialedge.Item{}, restoration: newRestoration()}
}

// Position returns the state of the store that the mirror reflects.
func (m *Mirror) Position() magnolialedge.Position {
	return m.position
}

// Len returns the number of items, including those whose removal is held.
func (m *Mirror) Len() int {
	return len(m.items)
}

// Items returns all items, including those whose removal is held.
func (m *Mirror) Items() []magnolialedge.Item {
	out := make([]magnolialedge.Item, 0, len(m.items))
	for _, it := range m.items {
		out = append(out, it)
	}
	return out
}

// Confirmed returns the items without those whose removal is held.
func (m *Mirror) Confirmed() []magnolialedge.Item {
	out := make([]magnolialedge.Item, 0, len(m.items))
	for key, it := range m.items {
		if _, held := m.heldRemovals[key]; !held {
			out = append(out, it)
		}
	}
	return out
}

// RecordFailure records that a call to the store failed.
func (m *Mirror) RecordFailure(now time.Time) {
	if m.failingSince.IsZero() {
		m.failingSince = now
	}
}

// IsOutage reports whether the store has been failing for at least minOutage.
func (m *Mirror) IsOutage(now time.Time) bool {
	return !m.failingSince.IsZero() && now.Sub(m.failingSince) >= minOutage
}

// RecordSuccess records a valid response of the store, which ends an outage.
func (m *Mirror) RecordSuccess(now time.Time) {
	if m.IsOutage(now) {
		m.recoveredAt = now
	}
	m.failingSince = time.Time{}
}

// ApplySnapshot replaces the items by a complete list as of a position and returns
// the changes that took effect. A snapshot older than the mirror is ignored. One of
// a new era comes from a store that was restored from a copy: what the mirror knows
// to be newer than the copy is kept.
func (m *Mirror) ApplySnapshot(now time.Time, from Origin, items []magnolialedge.Item, p magnolialedge.Position) []magnolialedge.Item {
	if p.Before(m.position) {
		return nil
	}
	if p.Era > m.position.Era {
		m.beginEra(now, p.Era)
	}
	listed := make(map[string]bool, len(items))
	var effective []magnolialedge.Item
	for _, it := range items {
		listed[it.Key] = true
		if from == FromPeer && m.isRemoved(it) {
			continue
		}
		effective = m.applyPut(effective, it)
	}
	m.restoration.retain(listed)
	for key, it := range m.items {
		if !listed[key] && it.Revision <= p.Revision {
			effective = m.applyRemoval(effective, now, magnolialedge.Item{Key: key, Revision: p.Revision, Deleted: true})
		}
	}
	m.position = p
	return effective
}

// ApplyChanges applies changes up to a position and returns those that took effect, without
// values that a later one in changes replaces. Changes of another era than that of the mirror
// are ignored.
func (m *Mirror) ApplyChanges(now time.Time, changes []magnolialedge.Item, p magnolialedge.Position) []magnolialedge.Item {
	if p.Era != m.position.Era {
		return nil
	}
	var effective []magnolialedge.Item
	for _, c := range withoutReplaced(changes) {
		switch {
		case c.Deleted:
			effective = m.applyRemoval(effective, now, c)
		case !m.isRemoved(c):
			effective = m.applyPut(effective, c)
		}
	}
	m.position.Revision = max(m.position.Revision, p.Revision)
	return effective
}

// withoutReplaced returns the changes without those whose value the next change of the key
// replaces. When a large item changes many times within a second, the versions in between would
// delay the last one on narrow links. Removals stay, since an entry must see its own.
func withoutReplaced(changes []magnolialedge.Item) []magnolialedge.Item {
	out := make([]magnolialedge.Item, 0, len(changes))
	isReplaced := map[string]bool{}
	for _, c := range slices.Backward(changes) {
		if c.Deleted || !isReplaced[c.Key] {
			out = append(out, c)
		}
		isReplaced[c.Key] = !c.Deleted
	}
	slices.Reverse(out)
	return out
}

// ExpireHeld applies the held removals once removalHold has passed since the
// end of the outage, and the held items of a copy once copyHold has passed since
// the restoration. It returns the changes that took effect.
func (m *Mirror) ExpireHeld(now time.Time) []magnolialedge.Item {
	var effective []magnolialedge.Item
	for _, it := range m.restoration.expireCopies(now) {
		effective = m.applyPut(effective, it)
	}
	if m.isHoldingRemovals(now) {
		return effective
	}
	for _, it := range m.heldRemovals {
		effective = m.remove(effective, now, it)
	}
	return effective
}

// HeldCount returns the number of items whose removal is held.
func (m *Mirror) HeldCount() int {
	return len(m.heldRemovals)
}

// isHoldingRemovals reports whether removals are held: during an outage, and
// for removalHold after it.
func (m *Mirror) isHoldingRemovals(now time.Time) bool {
	return m.IsOutage(now) || (!m.recoveredAt.IsZero() && now.Sub(m.recoveredAt) < removalHold)
}

// isRemoved reports whether an item is missing although the mirror reflects its
// revision, so that it must have been removed since.
func (m *Mirror) isRemoved(it magnolialedge.Item) bool {
	_, known := m.items[it.Key]
	return !known && it.Revision <= m.position.Revision
}

// applyPut stores an item, which cancels a held removal of an older revision, and
// appends it to effective if it is newer than the stored one. A value that its writer
// has replaced since is not stored.
func (m *Mirror) applyPut(effective []magnolialedge.Item, it magnolialedge.Item) []magnolialedge.Item {
	old, known := m.items[it.Key]
	if !known && m.restoration.holds(it, m.generation) {
		return effective
	}
	held, isHeld := m.heldRemovals[it.Key]
	cancelsRemoval := isHeld && it.Revision > held.Revision
	if cancelsRemoval {
		delete(m.heldRemovals, it.Key)
	}
	if known && m.isReplaced(it, old) {
		it.Value = old.Value
	}
	if known && !m.supersedes(it, old) {
		return effective
	}
	m.items[it.Key] = it
	isUnchanged := known && m.restoration.hasBegun() && bytes.Equal(it.Value, old.Value)
	if isUnchanged && !cancelsRemoval {
		return effective
	}
	return append(effective, it)
}

// supersedes reports whether an item is newer than the stored one. Two values of one
// revision are possible after a restoration, which some entries have not witnessed.
func (m *Mirror) supersedes(it, old magnolialedge.Item) bool {
	if it.Revision != old.Revision {
		return it.Revision > old.Revision
	}
	return !bytes.Equal(it.Value, old.Value) && m.generation(old).Before(m.generation(it))
}

// applyRemoval removes an item that is not newer than the removal, or holds the
// removal, and appends it to effective if it was applied.
func (m *Mirror) applyRemoval(effective []magnolialedge.Item, now time.Time, it magnolialedge.Item) []magnolialedge.Item {
	m.restoration.drop(it.Key)
	old, known := m.items[it.Key]
	if !known || old.Revision > it.Revision {
		return effective
	}
	if m.isHoldingRemovals(now) {
		m.heldRemovals[it.Key] = it
		return effective
	}
	return m.remove(effective, now, it)
}

// remove applies a removal and appends it to effective. It remembers the removed item, so that
// a restored store does not bring it back, only if its values have an order. Without one, an
// item of the copy cannot be told from one that an operator has written again.
func (m *Mirror) remove(effective []magnolialedge.Item, now time.Time, it magnolialedge.Item) []magnolialedge.Item {
	if old := m.items[it.Key]; m.generation(old) != (magnolialedge.Generation{}) {
		m.restoration.remember(now, old)
	}
	delete(m.items, it.Key)
	delete(m.heldRemovals, it.Key)
	return append(effective, it)
}

func (m *Mirror) generation(it magnolialedge.Item) magnolialedge.Generation {
	if m.cfg.Generation == nil {
		return magnolialedge.Generation{}
	}
	return m.cfg.Generation(it)
}
