package node

import (
	"cmp"
	"math/rand/v2"
	"slices"

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
	silent := m.silent()
	var out []string
	rank := 0
	for _, in := range m.ranked() {
		if rank == to || in.Name == m.self.Name {
			break
		}
		if isSilent(silent, in) {
			continue
		}
		if rank >= from {
			out = append(out, in.PeerAddress)
		}
		rank++
	}
	return out
}

// backupPeers returns the peer addresses of all other entries that respond, in random order,
// two of this region for each one of others: the store may refuse a region, but transfers
// between regions cost more.
func (m *members) backupPeers() []string {
	silent := m.silent()
	var own, others []string
	for _, in := range m.listWithHints() {
		switch {
		case in.Name == m.self.Name || in.Leaving || isSilent(silent, in):
		case in.Region == m.self.Region:
			own = append(own, in.PeerAddress)
		default:
			others = append(others, in.PeerAddress)
		}
	}
	rand.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return interleave(own, others)
}

// interleave returns the elements of both lists, two of a for each one of b while there are
// any.
func interleave(a, b []string) []string {
	out := make([]string, 0, len(a)+len(b))
	for len(a) > 0 || len(b) > 0 {
		n := min(2, len(a))
		out, a = append(out, a[:n]...), a[n:]
		n = min(1, len(b))
		out, b = append(out, b[:n]...), b[n:]
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
