package node

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"magnolialedge"
	"magnolialedge/core/alive"
	"magnolialedge/core/proc"
)

func noEntries() map[string]alive.State { return nil }

func allEntries(all []magnolialedge.Instance) []magnolialedge.Instance { return all }

// membersPrefix is the prefix of the store keys under which entries are listed.
const membersPrefix = "members/"

// members holds the live entries as this entry knows them.
type members struct {
	self magnolialedge.Instance
	mu   sync.Mutex
	// byName holds the entries that the store lists.
	byName map[string]magnolialedge.Instance
	// version counts the changes of what list returns of other entries.
	version uint64
	// hints holds the entries found on the first page of the store; it is used
	// until a complete list is known.
	hints map[string]magnolialedge.Instance
	// selfReported holds what entries reported directly. It is more recent than
	// the store's list while the store cannot be written.
	selfReported map[string]magnolialedge.Instance
	leaving      bool
	// isolated is set while this entry reaches no upstream, and changes counts how often
	// that changed.
	isolated bool
	changes  int64
	// endedRuns maps an entry to the start time of its latest run that is known
	// to have ended.
	endedRuns map[string]int64
	// silent returns the entries that have been silent for too long.
	silent func() map[string]alive.State
	// nameable returns those of the given entries that resolve responses may name.
	nameable func([]magnolialedge.Instance) []magnolialedge.Instance
	// delisted is set when the store no longer lists this entry.
	delisted bool
	// restored is set when the store was restored from a copy, and ownItem is this
	// entry's item in the copy.
	restored bool
	ownItem  magnolialedge.Item
}

func newMembers(self magnolialedge.Instance) *members {
	return &members{self: self, byName: map[string]magnolialedge.Instance{}, selfReported: map[string]magnolialedge.Instance{}, endedRuns: map[string]int64{}, silent: noEntries, nameable: allEntries}
}

// applyItem applies a change of the store if it concerns an entry, and reports
// whether it does.
func (m *members) applyItem(item magnolialedge.Item) bool {
	name, ok := strings.CutPrefix(item.Key, membersPrefix)
	if !ok {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hints = nil
	m.version++
	in, valid := memberOf(item)
	if !valid {
		delete(m.byName, name)
		delete(m.selfReported, name)
		delete(m.endedRuns, name)
		m.delisted = m.delisted || name == m.self.Name
		return true
	}
	m.delisted = m.delisted && name != m.self.Name
	m.byName[name] = in
	return true
}

// setHints records the entries on the first page of the store, which may be
// incomplete. It has no effect once entries are listed.
func (m *members) setHints(items []magnolialedge.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.byName) > 0 {
		return
	}
	m.hints = map[string]magnolialedge.Instance{}
	for _, item := range items {
		if in, ok := memberOf(item); ok && in.Name != m.self.Name {
			m.hints[in.Name] = in
		}
	}
}

// memberOf decodes an item that describes an entry, and returns false for any other.
func memberOf(item magnolialedge.Item) (magnolialedge.Instance, bool) {
	var in magnolialedge.Instance
	if item.Deleted || !strings.HasPrefix(item.Key, membersPrefix) || json.Unmarshal(item.Value, &in) != nil {
		return magnolialedge.Instance{}, false
	}
	return in, true
}

// memberGeneration orders the states that an entry writes of itself.
func memberGeneration(in magnolialedge.Instance) magnolialedge.Generation {
	g := magnolialedge.Generation{Start: in.StartedAt, Count: 2 * in.Changes}
	if in.Leaving {
		g.Count++
	}
	return g
}

// applyRestored records this entry's own item in a store that was restored.
func (m *members) applyRestored(items []magnolialedge.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restored, m.ownItem = true, magnolialedge.Item{}
	for _, item := range items {
		if item.Key == membersPrefix+m.self.Name {
			m.ownItem = item
		}
	}
}

// consumeRestored returns this entry's own item in the copy, and whether the store
// was restored since the last call.
func (m *members) consumeRestored() (magnolialedge.Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	restored := m.restored
	m.restored = false
	return m.ownItem, restored
}

// consumeDelisted reports whether the store has removed this entry from its list
// since the last call.
func (m *members) consumeDelisted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	delisted := m.delisted
	m.delisted = false
	return delisted
}

func (m *members) setLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// setIsolated records whether this entry reaches no upstream.
func (m *members) setIsolated(isolated bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isolated != isolated {
		m.isolated = isolated
		m.changes++
	}
}

// current returns what this entry says of itself now.
func (m *members) current() magnolialedge.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentLocked()
}

func (m *members) currentLocked() magnolialedge.Instance {
	self := m.self
	self.Leaving, self.Isolated, self.Changes = m.leaving, m.isolated, m.changes
	return self
}

// list returns all live entries, starting with the current state of this one.
func (m *members) list() []magnolialedge.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []magnolialedge.Instance{m.currentLocked()}
	for name, in := range m.byName {
		in = m.latest(in)
		if name != m.self.Name && !m.hasEnded(in) {
			out = append(out, in)
		}
	}
	return out
}

func (m *members) hasEnded(in magnolialedge.Instance) bool {
	endedStart, ok := m.endedRuns[in.Name]
	return ok && in.StartedAt <= endedStart
}

// markEnded records that a run of an entry has ended. It returns false if that
// was known or concerns an earlier run, an unlisted entry or this entry itself.
func (m *members) markEnded(report endReport) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	in, listed := m.byName[report.Name]
	if !listed || report.Name == m.self.Name || m.hasEnded(m.latest(in)) || report.StartedAt < m.latest(in).StartedAt {
		return false
	}
	m.endedRuns[report.Name] = report.StartedAt
	m.version++
	return true
}

// findEnded returns the listed entry whose latest known run is the one that is reported
// to have ended, or false.
func (m *members) findEnded(report endReport) (magnolialedge.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed, ok := m.byName[report.Name]
	in := m.latest(listed)
	return in, ok && in.StartedAt <= report.StartedAt && m.hasEnded(in)
}

// unmarkEnded records that a run of an entry has not ended after all.
func (m *members) unmarkEnded(report endReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.endedRuns[report.Name] == report.StartedAt {
		delete(m.endedRuns, report.Name)
		m.version++
	}
}

// isCurrent reports whether in is the latest known run of a listed entry.
func (m *members) isCurrent(in magnolialedge.Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed, ok := m.byName[in.Name]
	return ok && m.latest(listed).StartedAt == in.StartedAt && !m.hasEnded(in)
}

// responding returns the live entries without those that are silent.
func (m *members) responding() []magnolialedge.Instance {
	all := m.list()
	silent := m.silent()
	if len(silent) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(in magnolialedge.Instance) bool { return isSilent(silent, in) })
}

// isSilent reports whether an entry is among the silent ones.
func isSilent(silent map[string]alive.State, in magnolialedge.Instance) bool {
	_, ok := silent[in.Name]
	return ok
}

// find returns a live entry other than this one that match accepts, or false.
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
	return len(m.byName)
}

// recordSelfReport records what an entry reports about itself, unless a later
// report is known.
func (m *members) recordSelfReport(in magnolialedge.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if supersedes(in, m.selfReported[in.Name]) {
		m.selfReported[in.Name] = in
		m.version++
	}
}

// listVersion returns a number that changes with the other entries that list returns.
func (m *members) listVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// latest returns the entry's own report if it supersedes the listed state, or
// else the listed state.
func (m *members) latest(listed magnolialedge.Instance) magnolialedge.Instance {
	if reported, ok := m.selfReported[listed.Name]; ok && supersedes(reported, listed) {
		return reported
	}
	return listed
}

// supersedes reports whether a describes a later run than b, or a later state of the
// same run.
func supersedes(a, b magnolialedge.Instance) bool {
	x, y := memberGeneration(a), memberGeneration(b)
	return cmp.Or(cmp.Compare(x.Start, y.Start), cmp.Compare(x.Count, y.Count)) > 0
}

// steered returns the entries that clients of a host at a place should use. regions lists the
// only regions in which the host's requests may be served, or is nil. Entries that
// were not heard are left out, unless there are no others.
func (m *members) steered(host string, place proc.Place, regions []string) []magnolialedge.Instance {
	live, count := proc.SteerAllowed(m.nameable(m.list()), place, host, 0, regions)
	if count == 0 {
		live, count = proc.SteerAllowed(m.list(), place, host, 0, regions)
	}
	return live[:count]
}

// callerAddresses returns the caller addresses of entries in random order.
func callerAddresses(entries []magnolialedge.Instance) []string {
	var out []string
	for _, in := range entries {
		out = append(out, in.CallerAddress)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

const (
	// defaultResolveTTL is how long a resolve response may be cached, unless the
	// settings require less; minResolveTTL is the lower limit.
	defaultResolveTTL = 2 * time.Second
	minResolveTTL     = time.Second
)
