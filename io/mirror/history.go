package mirror

import (
	"slices"

	"magnolialedge"
)

// Limits of a history.
const (
	maxHistoryItems = 256
	maxHistoryBytes = 1 << 20
)

// history holds the last changes that took effect, so that a subscriber that lacks only some
// of them needs no snapshot.
type history struct {
	// since is the position that precedes all of the changes.
	since   magnolialedge.Position
	changes []recordedChange
	bytes   int
}

// recordedChange is a change with the position that it led to.
type recordedChange struct {
	magnolialedge.Item
	position magnolialedge.Position
}

// record appends changes that led to position p.
func (h *history) record(p magnolialedge.Position, changes []magnolialedge.Item) {
	for _, it := range changes {
		h.changes = append(h.changes, recordedChange{Item: it, position: p})
		h.bytes += len(it.Value)
	}
	dropped := 0
	for h.bytes > maxHistoryBytes || len(h.changes)-dropped > maxHistoryItems {
		h.since = h.changes[dropped].position
		h.bytes -= len(h.changes[dropped].Value)
		dropped++
	}
	h.changes = slices.Delete(h.changes, 0, dropped)
}

// reset begins a new history at position p.
func (h *history) reset(p magnolialedge.Position) {
	*h = history{since: p}
}

// after returns the changes after a position, or false if some of them are forgotten.
func (h *history) after(p magnolialedge.Position) ([]magnolialedge.Item, bool) {
	if p.Era != h.since.Era || p.Before(h.since) {
		return nil, false
	}
	var out []magnolialedge.Item
	for _, c := range h.changes {
		if p.Before(c.position) {
			out = append(out, c.Item)
		}
	}
	return out, true
}
