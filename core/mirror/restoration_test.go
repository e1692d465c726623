package mirror

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
)

// generationOf reads values of the form "start.count".
func generationOf(it magnolialedge.Item) magnolialedge.Generation {
	start, count, _ := strings.Cut(string(it.Value), ".")
	s, _ := strconv.ParseInt(start, 10, 64)
	c, _ := strconv.ParseInt(count, 10, 64)
	return magnolialedge.Generation{Start: s, Count: c}
}

func valueItem(key, value string, revision int64) magnolialedge.Item {
	return magnolialedge.Item{Key: key, Value: []byte(value), Revision: revision}
}

func list(items ...magnolialedge.Item) []magnolialedge.Item {
	return items
}

func inEra(era, revision int64) magnolialedge.Position {
	return magnolialedge.Position{Era: era, Revision: revision}
}

// newRestoredMirror returns a mirror that has seen configuration 13 at revision 98 and
// then the list of a store that was restored from its copy of revision 90.
func newRestoredMirror(copied ...magnolialedge.Item) *Mirror {
	m := New(Config{Generation: generationOf})
	m.ApplySnapshot(at(0), FromStore, list(valueItem("config", "0.13", 98), valueItem("gone", "7.1", 50), valueItem("draining", "7.2", 97)), inEra(1, 98))
	m.ApplyChanges(at(100), list(removal("gone", 99)), inEra(1, 100))
	m.ApplySnapshot(at(1000), FromStore, copied, inEra(2, 91))
	return m
}

// valueOf returns the value of a key, or an empty string.
func valueOf(m *Mirror, key string) string {
	return string(m.items[key].Value)
}

// Guards against a version that stays out of force because its revision is lower than
// that of the version before the restoration.
func TestItemWrittenAfterTheRestorationApplies(t *testing.T) {
	m := newRestoredMirror(valueItem("config", "0.12", 80))
	require.Len(t, m.ApplyChanges(at(1100), list(valueItem("config", "0.14", 93)), inEra(2, 93)), 1)
	require.Equal(t, "0.14", valueOf(m, "config"))
}

// Guards against a version in force, or a drain, that goes back with the store.
func TestCopyDoesNotBringBackReplacedValues(t *testing.T) {
	m := newRestoredMirror(valueItem("config", "0.12", 80), valueItem("draining", "7.1", 70))
	require.Equal(t, "0.13", valueOf(m, "config"))
	require.Equal(t, "7.2", valueOf(m, "draining"))
	require.Empty(t, m.ApplyChanges(at(1100), list(valueItem("config", "0.12", 92)), inEra(2, 92)), "written again in the old order")
	require.Equal(t, "0.13", valueOf(m, "config"))
}

// Guards against an upstream that has left and receives requests again because the
// copy still lists it.
func TestCopyDoesNotBringBackRemovedItems(t *testing.T) {
	m := newRestoredMirror(unchangedCopy("gone")...)
	require.Empty(t, valueOf(m, "gone"))
	m.ApplyChanges(at(1100), list(valueItem("gone", "7.1", 92)), inEra(2, 92))
	require.Empty(t, valueOf(m, "gone"), "written again in the old order")
	m.ApplyChanges(at(1200), list(removal("gone", 93)), inEra(2, 93))
	require.Empty(t, m.ExpireHeld(at(1000).Add(copyHold)))
}

// Guards against an upstream that stays removed although it started again or was
// only missing for a moment.
func TestRemovedItemReturnsIfItsWriterLives(t *testing.T) {
	m := newRestoredMirror(unchangedCopy("gone")...)
	require.Len(t, m.ApplyChanges(at(1100), list(valueItem("gone", "8.0", 92)), inEra(2, 92)), 1)
	m = newRestoredMirror(unchangedCopy("gone")...)
	require.Len(t, m.ExpireHeld(at(1000).Add(copyHold)), 1)
	require.Equal(t, "7.1", valueOf(m, "gone"))
}

// unchangedCopy returns a copy in which the given key is still listed, with the other
// items as they were last.
func unchangedCopy(key string) []magnolialedge.Item {
	return list(valueItem("config", "0.13", 80), valueItem("draining", "7.2", 70), valueItem(key, "7.1", 50))
}

// Guards against entries and upstreams that are dropped because the copy is older than
// their registration.
func TestItemMissingFromTheCopyIsHeldUntilWrittenAgain(t *testing.T) {
	m := newRestoredMirror(valueItem("config", "0.13", 80))
	require.Equal(t, "7.2", valueOf(m, "draining"))
	require.Len(t, m.Confirmed(), 1)
	require.Len(t, m.ApplyChanges(at(2000), list(valueItem("draining", "7.2", 95)), inEra(2, 95)), 1, "subscribers must learn that it is listed")
	require.Empty(t, m.ExpireHeld(at(1000).Add(removalHold)))
}

// Guards against a second restoration that undoes what was learned from the first.
func TestStoreRestoredTwice(t *testing.T) {
	m := newRestoredMirror(valueItem("config", "0.12", 80), valueItem("gone", "7.1", 50))
	m.ApplyChanges(at(1100), list(valueItem("config", "0.14", 93)), inEra(2, 93))
	m.ApplySnapshot(at(1500), FromStore, list(valueItem("config", "0.12", 80), valueItem("gone", "7.1", 50)), inEra(3, 90))
	require.Equal(t, "0.14", valueOf(m, "config"))
	require.Empty(t, valueOf(m, "gone"))
	require.Nil(t, m.ApplySnapshot(at(1600), FromPeer, list(valueItem("config", "0.15", 99)), inEra(2, 99)), "a peer of the era before")
	require.Nil(t, m.ApplyChanges(at(1600), list(valueItem("config", "0.15", 99)), inEra(2, 99)))
	require.Equal(t, "0.14", valueOf(m, "config"))
}

// Guards against an entry that started after the restoration, has only the copy, and
// does not take the later version from a peer that kept it.
func TestNewEntryTakesLaterVersionFromPeer(t *testing.T) {
	peer := newRestoredMirror(valueItem("config", "0.12", 80))
	m := New(Config{Generation: generationOf})
	m.ApplySnapshot(at(1100), FromStore, list(valueItem("config", "0.12", 80)), inEra(2, 91))
	require.Len(t, m.ApplySnapshot(at(1200), FromPeer, peer.Confirmed(), peer.Position()), 1)
	require.Equal(t, "0.13", valueOf(m, "config"))
}

// writer is what the writer of a key has written, with the generation of each value.
type writer struct {
	count   int64
	removed bool
}

// A store is restored at random steps, also several times in a row, while a watcher
// reads it and a reader follows the watcher. Neither may go back to an older value,
// and both equal the store once all writers have written again.
func TestRestorationsNeverBringBackOlderValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{items: map[string]magnolialedge.Item{}, revision: 1}
		writers := map[string]*writer{}
		era, now := int64(1), start
		watcher, reader := New(Config{Generation: generationOf}), New(Config{Generation: generationOf})
		shown := map[*Mirror]map[string]int64{watcher: {}, reader: {}}
		copied := *store.clone()
		write := func(key string) {
			w := writers[key]
			store.change(key, w.removed)
			if it, ok := store.items[key]; ok {
				it.Value = []byte(fmt.Sprintf("0.%d", w.count))
				store.items[key] = it
				store.history[len(store.history)-1] = it
			}
		}
		change := func(t *rapid.T, removed bool) {
			key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
			if writers[key] == nil {
				writers[key] = &writer{}
			}
			writers[key].count++
			writers[key].removed = removed
			write(key)
		}
		listed := func(m *Mirror) {
			m.RecordSuccess(now)
			m.ApplySnapshot(now, FromStore, store.list(), inEra(era, store.revision))
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(t *rapid.T) { change(t, false) },
			"remove": func(t *rapid.T) { change(t, true) },
			"copy":   func(*rapid.T) { copied = *store.clone() },
			"restore": func(*rapid.T) {
				store = copied.clone()
				era++
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"watch": func(*rapid.T) {
				if p := watcher.Position(); p.Era == era && p.Revision <= store.revision {
					watcher.ApplyChanges(now, store.since(p.Revision), inEra(era, store.revision))
					return
				}
				listed(watcher)
			},
			"list":   func(*rapid.T) { listed(watcher) },
			"direct": func(*rapid.T) { listed(reader) },
			"peer":   func(*rapid.T) { reader.ApplySnapshot(now, FromPeer, watcher.Confirmed(), watcher.Position()) },
			"tick":   func(*rapid.T) { watcher.ExpireHeld(now); reader.ExpireHeld(now) },
			"": func(t *rapid.T) {
				for m, counts := range shown {
					for _, it := range m.Items() {
						count := generationOf(it).Count
						require.GreaterOrEqual(t, count, counts[it.Key])
						counts[it.Key] = count
					}
				}
			},
		})
		for key := range writers {
			writers[key].count++
			write(key)
		}
		for m := range shown {
			listed(m)
			m.ExpireHeld(now.Add(copyHold))
			require.ElementsMatch(t, values(store.list()), values(m.Items()))
		}
	})
}

// values returns the keys and values of items.
func values(items []magnolialedge.Item) []string {
	var out []string
	for _, it := range items {
		out = append(out, it.Key+"="+string(it.Value))
	}
	return out
}

// clone returns an independent copy of the store.
func (s *storeModel) clone() *storeModel {
	out := &storeModel{items: map[string]magnolialedge.Item{}, revision: s.revision}
	for key, it := range s.items {
		out.items[key] = it
	}
	out.history = append(out.history, s.history...)
	return out
}
