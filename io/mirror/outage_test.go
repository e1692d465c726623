package mirror

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/core/mirror"
	"magnolialedge/io/event"
)

// newTestSource returns the address of an entry that watches store.
func newTestSource(t *testing.T, store *fakeStore) string {
	t.Helper()
	f := NewFollower(Config{Store: store, OnChange: ignoreChanges, Sources: noSources, Dialer: httpPeers{}, Timing: mirror.TimingFor(500 * time.Millisecond), Log: event.Logger{}})
	go f.Run(t.Context())
	srv := httptest.NewServer(f)
	t.Cleanup(srv.CloseClientConnections)
	require.Eventually(t, func() bool { return f.Revision() > 0 }, 2*time.Second, time.Millisecond)
	return srv.Listener.Addr().String()
}

// Load pattern: the store refuses the sources of a region and serves other entries.
// An entry that may not watch the store calls it never, and learns of changes from a
// spare source.
func TestEntryFollowsSpareSourceWhenItsSourceHasLostTheStore(t *testing.T) {
	refusing, serving, own := newFakeStore(), newFakeStore(), newFakeStore()
	refusing.set("a", false)
	serving.set("a", false)
	source, spare := newTestSource(t, refusing), newTestSource(t, serving)
	f := NewFollower(Config{Store: own, OnChange: ignoreChanges, Dialer: httpPeers{},
		Sources:      func() []string { return []string{source} },
		SpareSources: func() []string { return []string{spare} },
		MayWatch:     func() bool { return false },
		Log:          event.Logger{}})
	go f.Run(t.Context())
	require.Eventually(t, func() bool { return f.Size() == 1 }, 2*time.Second, time.Millisecond)
	refusing.setDown(true)
	time.Sleep(maxSourceStaleness)
	serving.set("b", false)
	require.Eventually(t, func() bool { return f.Size() == 2 }, 2*time.Second, 5*time.Millisecond)
	require.Zero(t, own.callCount())
}

// Load pattern: the store is away for everyone. The entries that may not watch it do
// not call it, and learn of its return from their source.
func TestEntryDoesNotCallAStoreThatItsSourcesHaveLost(t *testing.T) {
	store, own := newFakeStore(), newFakeStore()
	store.set("a", false)
	source := newTestSource(t, store)
	f := NewFollower(Config{Store: own, OnChange: ignoreChanges, Dialer: httpPeers{},
		Sources:      func() []string { return []string{source} },
		SpareSources: func() []string { return nil },
		MayWatch:     func() bool { return false },
		Log:          event.Logger{}})
	go f.Run(t.Context())
	require.Eventually(t, func() bool { return f.Size() == 1 }, 2*time.Second, time.Millisecond)
	store.setDown(true)
	time.Sleep(maxSourceStaleness + time.Second)
	store.setDown(false)
	store.set("b", false)
	require.Eventually(t, func() bool { return f.Size() == 2 }, 2*time.Second, 5*time.Millisecond)
	require.Zero(t, own.callCount())
}

// Load pattern: the store refuses the first source of a region, which follows the next
// entry. That entry must not follow the first one again: in such a circle no change
// arrives until both are stale.
func TestEntriesThatLostTheStoreDoNotFollowEachOther(t *testing.T) {
	refusing, serving := newFakeStore(), newFakeStore()
	refusing.set("a", false)
	serving.set("a", false)
	var first, next *httptest.Server
	newEntry := func(cfg Config) (*Follower, *httptest.Server) {
		cfg.OnChange = ignoreChanges
		cfg.Dialer = httpPeers{}
		f := NewFollower(cfg)
		srv := httptest.NewServer(f)
		t.Cleanup(srv.CloseClientConnections)
		return f, srv
	}
	firstEntry, first := newEntry(Config{Store: refusing, Sources: noSources, BackupPeers: func() []string { return []string{next.Listener.Addr().String()} }})
	nextEntry, next := newEntry(Config{Store: serving, Sources: func() []string { return []string{first.Listener.Addr().String()} }})
	go firstEntry.Run(t.Context())
	require.Eventually(t, func() bool { return firstEntry.Revision() > 0 }, 2*time.Second, time.Millisecond)
	go nextEntry.Run(t.Context())
	require.Eventually(t, func() bool { return nextEntry.Revision() > 0 }, 2*time.Second, time.Millisecond)
	refusing.setDown(true)
	time.Sleep(2 * maxSourceStaleness)
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		require.Less(t, nextEntry.Staleness(time.Now()), 1800*time.Millisecond)
	}
}
