package node

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnolialedge"
	"magnolialedge/core/proc"
)

const (
	// membersPrefix begins the keys under which entries announce themselves.
	membersPrefix = "members/"
	// sourcesPerRegion is the number of entries of a region that the others
	// take changes from. The first watches the store; the second follows the
	// first until that fails.
	sourcesPerRegion = 2
	// mostOthers is the number of further entries of a region that are asked
	// for changes.
	maxFallbackPeers = 2
)

// members is the list of live entries.
type members struct {
	self magnolialedge.Instance
	mu   sync.Mutex
	byID map[string]magnolialedge.Instance
	// hints stands for byID until the store is known.
	hints map[string]magnolialedge.Instance
	// told is what entries said of themselves directly, which is later than the
	// store's list while the store can't be written.
	selfReported map[string]magnolialedge.Instance
	leaving      bool
	// gone holds when entries had started that were found to have ended.
	endedRuns map[string]int64
	// dropped tells that the store has ceased to list this entry.
	delisted bool
}

func newMembers(self magnolialedge.Instance) *members {
	return &members{self: self, byID: map[string]magnolialedge.Instance{}, selfReported: map[string]magnolialedge.Instance{}, endedRuns: map[string]int64{}}
}

// take takes a change if it concerns an entry.
func (m *members) applyItem(c magnolialedge.Item) bool {
	name, ok := strings.CutPrefix(c.Key, membersPrefix)
	if !ok {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hints = nil
	var in magnolialedge.Instance
	if c.Deleted || json.Unmarshal(c.Value, &in) != nil {
		delete(m.byID, name)
		delete(m.selfReported, name)
		delete(m.endedRuns, name)
		m.delisted = m.delisted || name == m.self.Name
		return true
	}
	m.delisted = m.delisted && name != m.self.Name
	m.byID[name] = in
	return true
}

// hint takes the first items of the store, which may not hold all entries.
func (m *members) setHints(items []magnolialedge.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.byID) > 0 {
		return
	}
	m.hints = map[string]magnolialedge.Instance{}
	for _, it := range items {
		var in magnolialedge.Instance
		if !strings.HasPrefix(it.Key, membersPrefix) {
			continue
		}
		if json.Unmarshal(it.Value, &in) == nil && in.Name != m.self.Name {
			m.hints[in.Name] = in
		}
	}
}

// takeDropped reports whether the store has ceased to list this entry since the
// last time.
func (m *members) consumeDelisted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	dropped := m.delisted
	m.delisted = false
	return dropped
}

func (m *members) setLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// list returns all entries, this one as it is now.
func (m *members) list() []magnolialedge.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.self
	self.Leaving = m.leaving
	out := []magnolialedge.Instance{self}
	for name, in := range m.byID {
		in = m.latest(in)
		if name != self.Name && !m.hasEnded(in) {
			out = append(out, in)
		}
	}
	return out
}

func (m *members) hasEnded(in magnolialedge.Instance) bool {
	ended, known := m.endedRuns[in.Name]
	return known && in.StartedAt <= ended
}

// lose takes that an entry has ended, and reports whether that is news.
func (m *members) markEnded(l endReport) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	in, listed := m.byID[l.Name]
	if !listed || l.Name == m.self.Name || m.hasEnded(m.latest(in)) || l.StartedAt < m.latest(in).StartedAt {
		return false
	}
	m.endedRuns[l.Name] = l.StartedAt
	return true
}

// find returns the live entry that is told by match, or false.
func (m *members) find(match func(magnolialedge.Instance) bool) (magnolialedge.Instance, bool) {
	for _, in := range m.list() {
		if in.Name != m.self.Name && match(in) {
			return in, true
		}
	}
	return magnolialedge.Instance{}, false
}

// size returns the number of listed entries.
func (m *members) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byID)
}

// hear takes what an entry says of itself.
func (m *members) recordSelfReport(in magnolialedge.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if supersedes(in, m.selfReported[in.Name]) {
		m.selfReported[in.Name] = in
	}
}

// latest returns the later one of what the store lists and what was told.
func (m *members) latest(listed magnolialedge.Instance) magnolialedge.Instance {
	if told, ok := m.selfReported[listed.Name]; ok && supersedes(told, listed) {
		return told
	}
	return listed
}

// isLater reports whether a tells of a later start than b, or that the same one
// leaves.
func supersedes(a, b magnolialedge.Instance) bool {
	if a.StartedAt != b.StartedAt {
		return a.StartedAt > b.StartedAt
	}
	return a.Leaving && !b.Leaving
}

// addresses returns the callers' addresses that clients of a host in a region
// should use.
func (m *members) addresses(host, region string) []string {
	live, share := proc.Steer(m.list(), region, host, 0)
	var out []string
	for _, in := range live[:share] {
		out = append(out, in.CallerAddress)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// sources returns the entries of this region from which changes of the store
// are taken; none when this entry is one that watches the store.
func (m *members) sources() []string {
	var out []string
	for i, in := range m.ranked() {
		if i == sourcesPerRegion || in.Name == m.self.Name {
			break
		}
		out = append(out, in.PeerAddress)
	}
	return out
}

// others returns a few entries beside the sources, of this region first.
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

// known returns all entries, from hints while there is nothing better.
func (m *members) listWithHints() []magnolialedge.Instance {
	out := m.list()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, in := range m.hints {
		out = append(out, in)
	}
	return out
}

// ranked returns the live entries of this region in an order that all agree on,
// those with the widest links first.
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

const (
	// resolveLife is how long a resolve answer may be kept, if the settings
	// allow it, and leastResolveLife in any case.
	defaultResolveTTL = 2 * time.Second
	minResolveTTL     = time.Second
)
