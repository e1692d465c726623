package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnolialedge"
	"magnolialedge/core/proc"
)

const (
	// sourcesPerRegion is the number of entries in a region from which the others
	// receive changes. The first watches the store; the second follows the first
	// and watches the store only if the first fails.
	sourcesPerRegion = 2
	// watchersPerRegion is the number of entries in a region that may watch the
	// store. Beyond the sources, they do so only while the sources have lost it,
	// because the store may refuse some entries and serve others.
	watchersPerRegion = 6
	// maxFallbackPeers limits the fallback peers of this entry's region. Peers of
	// other regions are added up to a total of twice this number.
	maxFallbackPeers = 2
)

// sources returns the peer addresses from which this entry receives changes, best
// first. It returns none if this entry watches the store.
func (m *members) sources() []string {
	return m.betterRanked(0, sourcesPerRegion)
}

// spareSources returns the peer addresses of the entries that watch the store if all
// sources have lost it, best first.
func (m *members) spareSources() []string {
	return m.betterRanked(sourcesPerRegion, watchersPerRegion)
}

// mayWatch reports whether this entry watches the store if all sources have lost it.
func (m *members) mayWatch() bool {
	return len(m.betterRanked(0, watchersPerRegion)) < watchersPerRegion
}

// betterRanked returns the peer addresses at the given ranks of this region that are
// better than that of this entry. Entries that do not respond have no rank.
func (m *members) betterRanked(from, to int) []string {
	now := time.Now()
	var out []string
	rank := 0
	for _, in := range m.ranked() {
		if rank == to || in.Name == m.self.Name {
			break
		}
		if m.isUnreachable(now, in.Name) {
			continue
		}
		if rank >= from {
			out = append(out, in.PeerAddress)
		}
		rank++
	}
	return out
}

func (m *members) isUnreachable(now time.Time, name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reach.IsUnreachable(now, name)
}

// fallbackPeers returns the peer addresses of a few other entries, those of this
// region first.
func (m *members) fallbackPeers() []string {
	var out []string
	for _, in := range m.ranked() {
		if in.Name != m.self.Name && len(out) < maxFallbackPeers {
			out = append(out, in.PeerAddress)
		}
	}
	for _, in := range m.list() {
		if in.Region != m.self.Region && len(out) < 2*maxFallbackPeers {
			out = append(out, in.PeerAddress)
		}
	}
	return out
}

// listWithHints returns all live entries and those in hints.
func (m *members) listWithHints() []magnolialedge.Instance {
	out := m.list()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, in := range m.hints {
		out = append(out, in)
	}
	return out
}

// ranked returns the live entries of this region that are not leaving, those with
// the widest links first. All entries compute the same order.
func (m *members) ranked() []magnolialedge.Instance {
	var live []magnolialedge.Instance
	for _, in := range m.listWithHints() {
		if in.Region == m.self.Region && !in.Leaving {
			live = append(live, in)
		}
	}
	slices.SortFunc(live, func(a, b magnolialedge.Instance) int {
		return cmp.Or(cmp.Compare(proc.CapacityClass(b), proc.CapacityClass(a)), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return live
}
