// Package mirror decides what is known of a store's keys while the store comes
// and goes.
package mirror

import (
	"time"

	"magnolialedge"
)

const (
	// outageLength is how long the store must have failed to count as away.
	outageLength = time.Second
	// holdTime is how long after the store's return a key that is missing is
	// still taken as present: the writers of keys that lapsed meanwhile write
	// them again.
	holdTime = 2200 * time.Millisecond
)

// Origin tells where a list of items comes from.
type Origin int

const (
	// FromStore lists hold what the store has.
	FromStore Origin = iota
	// FromPeer lists hold what another entry believes. They may hold items that
	// are known here to be gone.
	FromPeer
)

// Mirror holds the items of a store as far as they are known. It isn't safe for
// concurrent use.
type Mirror struct {
	items    map[string]magnolialedge.Item
	revision int64
	// failingSince is zero while the store answers.
	failingSince time.Time
	// backAt is when the store last came back from an outage.
	backAt time.Time
	// held are keys whose removal isn't believed yet.
	held map[string]magnolialedge.Item
}

// New returns an empty Mirror.
func New() *Mirror {
	return &Mirror{items: map[string]magnolialedge.Item{}, held: map[string]magnolialedge.Item{}}
}

// Revision returns the revision up to which changes are known.
func (m *Mirror) Revision() int64 {
	return m.revision
}

// Len returns the number of items that are taken as present.
func (m *Mirror) Len() int {
	return len(m.items)
}

// Items returns the items that are taken as present.
func (m *Mirror) Items() []magnolialedge.Item {
	out := make([]magnolialedge.Item, 0, len(m.items))
	for _, it := range m.items {
		out = append(out, it)
	}
	return out
}

// Confirmed returns the items that the store still listed when it last answered.
func (m *Mirror) Confirmed() []magnolialedge.Item {
	out := make([]magnolialedge.Item, 0, len(m.items))
	for key, it := range m.items {
		if _, held := m.held[key]; !held {
			out = append(out, it)
		}
	}
	return out
}

// RecordFailure records that the store gave no useful answer.
func (m *Mirror) RecordFailure(now time.Time) {
	if m.failingSince.IsZero() {
		m.failingSince = now
	}
}

// IsOutage reports whether the store has been failing for long enough to count as
// an outage.
func (m *Mirror) IsOutage(now time.Time) bool {
	return !m.failingSince.IsZero() && now.Sub(m.failingSince) >= outageLength
}

// RecordSuccess records an answer of the store.
func (m *Mirror) RecordSuccess(now time.Time) {
	if m.IsOutage(now) {
		m.backAt = now
	}
	m.failingSince = time.Time{}
}

// ApplySnapshot takes the whole list of items as of revision and returns what has
// changed. A snapshot older than what is known changes nothing.
func (m *Mirror) ApplySnapshot(now time.Time, from Origin, items []magnolialedge.Item, revision int64) []magnolialedge.Item {
	if revision < m.revision {
		return nil
	}
	listed := make(map[string]bool, len(items))
	var out []magnolialedge.Item
	for _, it := range items {
		listed[it.Key] = true
		if from == FromPeer && m.isGone(it) {
			continue
		}
		out = m.put(out, it)
	}
	for key, it := range m.items {
		if !listed[key] && it.Revision <= revision {
			out = m.remove(out, now, magnolialedge.Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	m.revision = revision
	return out
}

// ApplyChanges takes changes up to revision and returns those that have an effect.
func (m *Mirror) ApplyChanges(now time.Time, changes []magnolialedge.Item, revision int64) []magnolialedge.Item {
	var out []magnolialedge.Item
	for _, c := range changes {
		switch {
		case c.Deleted:
			out = m.remove(out, now, c)
		case !m.isGone(c):
			out = m.put(out, c)
		}
	}
	m.revision = max(m.revision, revision)
	return out
}

// ExpireHeld returns the removals that are believed by now.
func (m *Mirror) ExpireHeld(now time.Time) []magnolialedge.Item {
	if m.holding(now) {
		return nil
	}
	var out []magnolialedge.Item
	for key, it := range m.held {
		delete(m.held, key)
		delete(m.items, key)
		out = append(out, it)
	}
	return out
}

// HeldCount returns the number of items that are kept though the store lists them no
// more.
func (m *Mirror) HeldCount() int {
	return len(m.held)
}

func (m *Mirror) holding(now time.Time) bool {
	return m.IsOutage(now) || (!m.backAt.IsZero() && now.Sub(m.backAt) < holdTime)
}

// isGone reports whether an item was removed later than it was written.
func (m *Mirror) isGone(it magnolialedge.Item) bool {
	_, known := m.items[it.Key]
	return !known && it.Revision <= m.revision
}

func (m *Mirror) put(out []magnolialedge.Item, it magnolialedge.Item) []magnolialedge.Item {
	old, known := m.items[it.Key]
	if held, ok := m.held[it.Key]; ok && it.Revision > held.Revision {
		delete(m.held, it.Key)
	}
	if known && it.Revision <= old.Revision {
		return out
	}
	m.items[it.Key] = it
	return append(out, it)
}

func (m *Mirror) remove(out []magnolialedge.Item, now time.Time, it magnolialedge.Item) []magnolialedge.Item {
	old, known := m.items[it.Key]
	if !known || old.Revision > it.Revision {
		return out
	}
	if m.holding(now) {
		m.held[it.Key] = it
		return out
	}
	delete(m.items, it.Key)
	delete(m.held, it.Key)
	return append(out, it)
}
