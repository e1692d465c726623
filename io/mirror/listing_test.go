package mirror

import (
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/io/event"
)

// pagedStore returns one item per page.
type pagedStore struct {
	*fakeStore
}

func (s pagedStore) Range(_ context.Context, _, after string) (magnolialedge.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	var keys []string
	for key := range s.items {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := magnolialedge.Page{Position: magnolialedge.Position{Revision: s.revision}, HasMore: len(keys) > 1}
	for _, key := range keys[:min(1, len(keys))] {
		page.Items = append(page.Items, s.items[key])
	}
	return page, nil
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// startWithPagedStore runs a follower that gets the address of its source
// from the first page of a store with many pages.
func startWithPagedStore(t *testing.T, s magnolialedge.Keyspace, source string) *keyRecorder {
	t.Helper()
	k := &keyRecorder{present: map[string]bool{}}
	var hasFirstPage atomic.Bool
	f := NewFollower(Config{
		Store: s, OnChange: k.record, Dialer: httpPeers{}, Log: event.Logger{},
		OnFirstPage: func([]magnolialedge.Item) { hasFirstPage.Store(true) },
		Sources: func() []string {
			if !hasFirstPage.Load() {
				return nil
			}
			return []string{source}
		},
		SourceTimeout: func() time.Duration { return 100 * time.Millisecond },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	return k
}

func putItems(s *fakeStore) {
	for _, key := range strings.Split("abcdefghij", "") {
		s.set(key, false)
	}
}

// When all entries of a fleet restart at once, only the sources may list all pages.
// If each entry did so, the store would refuse most calls for longer than the entries
// may take to start.
func TestLargeStoreListingIsLeftToSources(t *testing.T) {
	s := newFakeStore()
	putItems(s)
	watcher, _ := startFollower(t, s, noSources)
	srv := httptest.NewServer(watcher)
	t.Cleanup(srv.Close)
	require.Eventually(t, watcher.hasListed, waitTimeout, time.Millisecond)
	ownStore := newFakeStore()
	putItems(ownStore)
	k := startWithPagedStore(t, pagedStore{ownStore}, srv.Listener.Addr().String())
	require.Eventually(t, k.has("j"), waitTimeout, time.Millisecond)
	time.Sleep(2 * deferredListDelay)
	require.Equal(t, 1, ownStore.callCount())
}

func TestLargeStoreIsListedWhenSourcesAreDown(t *testing.T) {
	ownStore := newFakeStore()
	putItems(ownStore)
	down := httptest.NewServer(nil)
	down.Close()
	k := startWithPagedStore(t, pagedStore{ownStore}, down.Listener.Addr().String())
	require.Eventually(t, k.has("j"), waitTimeout, time.Millisecond)
	require.GreaterOrEqual(t, ownStore.callCount(), 11)
}

// When the first of two sources stops, its subscribers must switch to the second one
// instead of all listing the store.
func TestSubscriberFailsOverToSecondSource(t *testing.T) {
	s := newFakeStore()
	putItems(s)
	var servers []*httptest.Server
	for range 2 {
		watcher, _ := startFollower(t, s, noSources)
		srv := httptest.NewServer(watcher)
		t.Cleanup(srv.Close)
		servers = append(servers, srv)
		require.Eventually(t, watcher.hasListed, waitTimeout, time.Millisecond)
	}
	ownStore := newFakeStore()
	putItems(ownStore)
	_, k := startFollower(t, ownStore, func() []string {
		return []string{servers[0].Listener.Addr().String(), servers[1].Listener.Addr().String()}
	})
	require.Eventually(t, k.has("j"), waitTimeout, time.Millisecond)
	time.Sleep(maxSourceStaleness + 100*time.Millisecond)
	servers[0].CloseClientConnections()
	servers[0].Listener.Close()
	s.set("k", false)
	require.Eventually(t, k.has("k"), waitTimeout, time.Millisecond)
	require.Zero(t, ownStore.callCount())
}
