package mirror

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func item(key string, revision int64) magnolialedge.Item {
	return magnolialedge.Item{Key: key, Revision: revision}
}

func removal(key string, revision int64) magnolialedge.Item {
	return magnolialedge.Item{Key: key, Revision: revision, Deleted: true}
}

func position(revision int64) magnolialedge.Position {
	return magnolialedge.Position{Revision: revision}
}

func keys(m *Mirror) []string {
	var out []string
	for _, it := range m.Items() {
		out = append(out, it.Key)
	}
	return out
}

func TestRemovalAppliesAtOnceWithoutOutage(t *testing.T) {
	m := New(Config{})
	m.ApplySnapshot(at(0), FromStore, []magnolialedge.Item{item("a", 3), item("b", 4)}, position(10))
	require.Equal(t, []magnolialedge.Item{removal("a", 11)}, m.ApplyChanges(at(100), []magnolialedge.Item{removal("a", 11)}, position(11)))
	require.Equal(t, []string{"b"}, keys(m))
}

// A peer that was disconnected for a while still lists items that were removed
// meanwhile. They must not reappear.
func TestStalePeerDoesNotRestoreRemovedItems(t *testing.T) {
	m := New(Config{})
	m.ApplySnapshot(at(0), FromStore, []magnolialedge.Item{item("a", 3), item("b", 4)}, position(10))
	m.ApplyChanges(at(100), []magnolialedge.Item{removal("a", 11)}, position(11))
	require.Empty(t, m.ApplySnapshot(at(200), FromPeer, []magnolialedge.Item{item("a", 3), item("b", 4)}, position(12)))
	require.Equal(t, []string{"b"}, keys(m))
	require.Empty(t, m.ApplyChanges(at(300), []magnolialedge.Item{item("a", 3)}, position(13)))
	require.Equal(t, []string{"b"}, keys(m))
}

func TestPeerSnapshotAddsNewItems(t *testing.T) {
	m := New(Config{})
	m.ApplySnapshot(at(0), FromStore, []magnolialedge.Item{item("a", 3)}, position(10))
	require.Equal(t, []magnolialedge.Item{item("c", 12)}, m.ApplySnapshot(at(200), FromPeer, []magnolialedge.Item{item("a", 3), item("c", 12)}, position(12)))
}

func TestStoreSnapshotAddsItemsOfOldRevisions(t *testing.T) {
	m := New(Config{})
	m.ApplySnapshot(at(0), FromStore, nil, position(10))
	require.Len(t, m.ApplySnapshot(at(100), FromStore, []magnolialedge.Item{item("a", 3)}, position(10)), 1)
}

func TestItemThatExpiredDuringOutageIsHeldUntilRewritten(t *testing.T) {
	m := New(Config{})
	m.ApplySnapshot(at(0), FromStore, []magnolialedge.Item{item("a", 3), item("b", 4)}, position(10))
	m.RecordFailure(at(1000))
	require.True(t, m.IsOutage(at(3000)))
	m.RecordSuccess(at(5000))
	require.Empty(t, m.ApplySnapshot(at(5000), FromStore, nil, position(20)))
	require.Equal(t, 2, m.HeldCount())
	require.Empty(t, m.Confirmed(), "held items must not be sent to peers")
	require.Empty(t, m.ExpireHeld(at(6000)))
	require.Equal(t, []magnolialedge.Item{item("a", 21)}, m.ApplyChanges(at(6000), []magnolialedge.Item{item("a", 21)}, position(21)))
	require.Equal(t, []magnolialedge.Item{removal("b", 20)}, m.ExpireHeld(at(7300)))
	require.Equal(t, []string{"a"}, keys(m))
}

func TestShortFailureIsNoOutage(t *testing.T) {
	m := New(Config{})
	m.ApplySnapshot(at(0), FromStore, []magnolialedge.Item{item("a", 3)}, position(10))
	m.RecordFailure(at(1000))
	m.RecordSuccess(at(1400))
	require.Len(t, m.ApplyChanges(at(1400), []magnolialedge.Item{removal("a", 11)}, position(11)), 1)
}

func TestOlderSnapshotIsIgnored(t *testing.T) {
	m := New(Config{})
	m.ApplySnapshot(at(0), FromStore, []magnolialedge.Item{item("a", 9)}, position(10))
	require.Empty(t, m.ApplySnapshot(at(100), FromPeer, []magnolialedge.Item{item("a", 3), item("b", 2)}, position(8)))
	require.EqualValues(t, 10, m.Position().Revision)
}

// Load pattern: forty versions of a large configuration within four seconds. Those that a later
// one in the same batch replaces must not be passed on, since they delay it.
func TestOnlyTheLastChangeOfAKeyIsPassedOn(t *testing.T) {
	m := New(Config{})
	m.ApplySnapshot(at(0), FromStore, nil, magnolialedge.Position{Revision: 1})
	var changes []magnolialedge.Item
	for i := range 40 {
		changes = append(changes, magnolialedge.Item{Key: "config", Value: []byte{byte(i)}, Revision: int64(2 + 2*i)})
	}
	changes = append(changes, magnolialedge.Item{Key: "a", Value: []byte("a"), Revision: 83}, magnolialedge.Item{Key: "a", Revision: 84, Deleted: true})
	effective := m.ApplyChanges(at(1), changes, magnolialedge.Position{Revision: 84})
	require.Equal(t, changes[39:], effective, "the last version; an item and its removal are both seen")
	require.Equal(t, 1, m.Len())
}
