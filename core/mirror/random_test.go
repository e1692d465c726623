package mirror

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
	"magnolialedge/io/seed"
)

// storeModel is a reference model of the store with its full history.
type storeModel struct {
	items    map[string]magnolialedge.Item
	history  []magnolialedge.Item
	revision int64
}

func (s *storeModel) change(key string, remove bool) {
	if _, ok := s.items[key]; remove && !ok {
		return
	}
	s.revision++
	it := magnolialedge.Item{Key: key, Revision: s.revision, Deleted: remove}
	s.history = append(s.history, it)
	if remove {
		delete(s.items, key)
		return
	}
	s.items[key] = it
}

func (s *storeModel) list() []magnolialedge.Item {
	var out []magnolialedge.Item
	for _, it := range s.items {
		out = append(out, it)
	}
	return out
}

func (s *storeModel) since(revision int64) []magnolialedge.Item {
	var out []magnolialedge.Item
	for _, it := range s.history {
		if it.Revision > revision {
			out = append(out, it)
		}
	}
	return out
}

// One mirror watches the store; the other reads alternately from the store and
// from the first one. Changes, outages, full lists and repeated messages come
// in random order. In the end both must equal the store.
func TestMirrorsConvergeToStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{items: map[string]magnolialedge.Item{}, revision: 1}
		now := start
		watcher, reader := New(Config{}), New(Config{})
		var lastChanges []magnolialedge.Item
		down := false
		key := func() string { return fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key")) }
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(*rapid.T) { store.change(key(), false) },
			"remove": func(*rapid.T) { store.change(key(), true) },
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"down": func(*rapid.T) { down = !down },
			"watch": func(*rapid.T) {
				if down {
					watcher.RecordFailure(now)
					return
				}
				watcher.RecordSuccess(now)
				lastChanges = store.since(watcher.Position().Revision)
				watcher.ApplyChanges(now, lastChanges, position(store.revision))
			},
			"list": func(*rapid.T) {
				if !down {
					watcher.RecordSuccess(now)
					watcher.ApplySnapshot(now, FromStore, store.list(), position(store.revision))
				}
			},
			"repeat": func(*rapid.T) { watcher.ApplyChanges(now, lastChanges, watcher.Position()) },
			"tick":   func(*rapid.T) { watcher.ExpireHeld(now); reader.ExpireHeld(now) },
			"peer":   func(*rapid.T) { reader.ApplySnapshot(now, FromPeer, watcher.Confirmed(), watcher.Position()) },
			"direct": func(*rapid.T) {
				if !down {
					reader.RecordSuccess(now)
					reader.ApplySnapshot(now, FromStore, store.list(), position(store.revision))
				}
			},
			"": func(t *rapid.T) {
				for _, m := range []*Mirror{watcher, reader} {
					require.LessOrEqual(t, m.Position().Revision, store.revision)
					for _, it := range m.Items() {
						require.False(t, it.Deleted)
					}
				}
			},
		})
		for _, m := range []*Mirror{watcher, reader} {
			m.RecordSuccess(now)
			m.ApplySnapshot(now, FromStore, store.list(), position(store.revision))
			m.ExpireHeld(now.Add(removalHold + time.Millisecond))
			require.ElementsMatch(t, store.list(), m.Items())
		}
	})
}

// A mirror that has applied a removal receives older snapshots of a peer and
// older changes in random order.
func TestRemovedItemIsNeverRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{items: map[string]magnolialedge.Item{}, revision: 1}
		for i := range 4 {
			store.change(fmt.Sprint(i), false)
		}
		old, oldRevision := store.list(), store.revision
		m := New(Config{})
		m.ApplySnapshot(start, FromStore, old, position(oldRevision))
		removedKey := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "removedKey"))
		store.change(removedKey, true)
		m.ApplyChanges(start, store.since(oldRevision), position(store.revision))
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			revision := store.revision + int64(rapid.IntRange(-3, 3).Draw(t, "revision"))
			if rapid.Bool().Draw(t, "snapshot") {
				m.ApplySnapshot(start, FromPeer, old, position(revision))
			} else {
				m.ApplyChanges(start, old, position(revision))
			}
			for _, it := range m.Items() {
				require.NotEqual(t, removedKey, it.Key)
			}
		}
	})
}

func TestMain(m *testing.M) {
	seed.Main(m)
}
