package mirror

import (
	"bytes"
	"time"

	"magnolialedge"
)

const (
	// removalMemory is how long removals are remembered. A store that is restored
	// returns from a copy that is younger than this, and may list them again.
	removalMemory = time.Minute
	// maxRememberedRemovals limits the memory of removals.
	maxRememberedRemovals = 4096
	// copyHold is the time after a restoration for which an item stays removed that
	// was removed before it and is part of the copy. An upstream that has ended is no
	// longer listed after it.
	copyHold = 10 * time.Second
)

// restoration is what a Mirror keeps to tell facts that are newer than the copy
// from which the store was restored.
type restoration struct {
	// startedAt is when the last restoration was noticed, or zero.
	startedAt time.Time
	// removals holds the removed items in the order of their removal.
	removals []removedItem
	// ended holds, by key, the items removed before the last restoration.
	ended map[string]magnolialedge.Item
	// heldCopies holds, by key, the items that are listed again although they were
	// removed before the restoration.
	heldCopies map[string]magnolialedge.Item
}

// removedItem is an item as it was before its removal.
type removedItem struct {
	magnolialedge.Item
	at time.Time
}

func newRestoration() restoration {
	return restoration{ended: map[string]magnolialedge.Item{}, heldCopies: map[string]magnolialedge.Item{}}
}

func (r *restoration) hasBegun() bool {
	return !r.startedAt.IsZero()
}

// remember records a removal and forgets old ones.
func (r *restoration) remember(now time.Time, it magnolialedge.Item) {
	r.removals = append(r.removals, removedItem{Item: it, at: now})
	for len(r.removals) > maxRememberedRemovals || now.Sub(r.removals[0].at) > removalMemory {
		r.removals = r.removals[1:]
	}
}

// begin starts a new era.
func (r *restoration) begin(now time.Time) {
	r.startedAt = now
	clear(r.heldCopies)
	clear(r.ended)
	for _, it := range r.removals {
		if now.Sub(it.at) <= removalMemory {
			r.ended[it.Key] = it.Item
		}
	}
}

// holds reports whether an item is one that was removed before the restoration, and
// keeps it back if so. A value that its writer gave the key later is not.
func (r *restoration) holds(it magnolialedge.Item, generation func(magnolialedge.Item) magnolialedge.Generation) bool {
	ended, ok := r.ended[it.Key]
	if !ok {
		return false
	}
	if generation(ended).Before(generation(it)) {
		r.drop(it.Key)
		delete(r.ended, it.Key)
		return false
	}
	r.heldCopies[it.Key] = it
	return true
}

// drop forgets the held item of a key.
func (r *restoration) drop(key string) {
	delete(r.heldCopies, key)
}

// retain forgets the held items that are no longer listed.
func (r *restoration) retain(listed map[string]bool) {
	for key := range r.heldCopies {
		if !listed[key] {
			r.drop(key)
		}
	}
}

// expireCopies returns the held items once copyHold has passed since the restoration.
func (r *restoration) expireCopies(now time.Time) []magnolialedge.Item {
	if !r.hasBegun() || now.Sub(r.startedAt) < copyHold {
		return nil
	}
	var out []magnolialedge.Item
	for _, it := range r.heldCopies {
		out = append(out, it)
	}
	clear(r.heldCopies)
	clear(r.ended)
	return out
}

// beginEra prepares the mirror for the first list of a store that was restored from
// a copy. The stored items keep their values, and any revision of the new era is
// newer. Their removal is held, because their writers may write them again.
func (m *Mirror) beginEra(now time.Time, era int64) {
	isFirst := m.position == (magnolialedge.Position{})
	m.position = magnolialedge.Position{Era: era}
	if isFirst {
		return
	}
	m.recoveredAt = now
	clear(m.heldRemovals)
	m.restoration.begin(now)
	for key, it := range m.items {
		it.Revision = 0
		m.items[key] = it
	}
}

// isReplaced reports whether the value of an item precedes the stored one in the
// order of its writer, as it does in a copy that the store was restored from.
func (m *Mirror) isReplaced(it, old magnolialedge.Item) bool {
	return m.restoration.hasBegun() && !bytes.Equal(it.Value, old.Value) && m.generation(it).Before(m.generation(old))
}
