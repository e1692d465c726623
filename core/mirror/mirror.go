// Package mirror maintains a copy of a store's items that survives outages of
// the store.
package mirror

import (
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

// Mirror holds a copy of a store's items. It is not safe for concurrent use.
type Mirror struct {
	items    map[string]magnolialedge.Item
	revision int64
	// failingSince is the time of the first failure since the last success, or
	// zero.
	failingSince time.Time
	// recoveredAt is the end of the last outage.
	recoveredAt time.Time
	// heldRemovals holds removals, by key, that are not applied yet because the
	// items may be written again after an outage.
	heldRemovals map[string]magnolialedge.Item
}

// New returns an empty Mirror.
func New() *Mirror {
	return &Mirror{items: map[string]magnolialedge.Item{}, heldRemovals: map[string]magnolialedge.Item{}}
}

// Revision returns the store revision that the mirror reflects.
func (m *Mirror) Revision() int64 {
	return m.revision
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

// ApplySnapshot replaces the items by a complete list as of revision and
// returns the changes that took effect. A snapshot older than the mirror is
// ignored.
func (m *Mirror) ApplySnapshot(now time.Time, from Origin, items []magnolialedge.Item, revision int64) []magnolialedge.Item {
	if revision < m.revision {
		return nil
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
	for key, it := range m.items {
		if !listed[key] && it.Revision <= revision {
			effective = m.applyRemoval(effective, now, magnolialedge.Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	m.revision = revision
	return effective
}

// ApplyChanges applies changes up to revision and returns those that took
// effect.
func (m *Mirror) ApplyChanges(now time.Time, changes []magnolialedge.Item, revision int64) []magnolialedge.Item {
	var effective []magnolialedge.Item
	for _, c := range changes {
		switch {
		case c.Deleted:
			effective = m.applyRemoval(effective, now, c)
		case !m.isRemoved(c):
			effective = m.applyPut(effective, c)
		}
	}
	m.revision = max(m.revision, revision)
	return effective
}

// ExpireHeld applies the held removals once removalHold has passed since the
// end of the outage, and returns them.
func (m *Mirror) ExpireHeld(now time.Time) []magnolialedge.Item {
	if m.isHoldingRemovals(now) {
		return nil
	}
	var effective []magnolialedge.Item
	for key, it := range m.heldRemovals {
		delete(m.heldRemovals, key)
		delete(m.items, key)
		effective = append(effective, it)
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
	return !known && it.Revision <= m.revision
}

// applyPut stores an item, which cancels a held removal of an older revision,
// and appends it to effective if it is newer than the stored one.
func (m *Mirror) applyPut(effective []magnolialedge.Item, it magnolialedge.Item) []magnolialedge.Item {
	old, known := m.items[it.Key]
	if held, ok := m.heldRemovals[it.Key]; ok && it.Revision > held.Revision {
		delete(m.heldRemovals, it.Key)
	}
	if known && it.Revision <= old.Revision {
		return effective
	}
	m.items[it.Key] = it
	return append(effective, it)
}

// applyRemoval removes an item that is not newer than the removal, or holds the
// removal, and appends it to effective if it was applied.
func (m *Mirror) applyRemoval(effective []magnolialedge.Item, now time.Time, it magnolialedge.Item) []magnolialedge.Item {
	old, known := m.items[it.Key]
	if !known || old.Revision > it.Revision {
		return effective
	}
	if m.isHoldingRemovals(now) {
		m.heldRemovals[it.Key] = it
		return effective
	}
	delete(m.items, it.Key)
	delete(m.heldRemovals, it.Key)
	return append(effective, it)
}
