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

// pagedStore returns one item a page.
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
	page := magnolialedge.Page{Revision: s.revision, HasMore: len(keys) > 1}
	for _, key := range keys[:min(1, len(keys))] {
		page.Items = append(page.Items, s.items[key])
	}
	return page, nil
}

func (s *fakeStore) made() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// runLarge runs a follower that learns the address of its source from the first
// page of a store of many pages.
func runLarge(t *testing.T, s magnolialedge.Keyspace, source string) *known {
	t.Helper()
	k := &known{keys: map[string]bool{}}
	var met atomic.Bool
	f := NewFollower(Config{
		Store: s, OnChange: k.take, Dialer: httpPeers{}, Log: event.Logger{},
		OnFirstPage: func([]magnolialedge.Item) { met.Store(true) },
		Sources: func() []string {
			if !met.Load() {
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

func fill(s *fakeStore) {
	for _, key := range strings.Split("abcdefghij", "") {
		s.set(key, false)
	}
}

// TestLargeStoreIsListedByTheSourcesOnly has the pattern of a fleet that starts
// anew all at once: if each entry listed all pages, the store would refuse most
// calls for longer than the entries may take.
func TestLargeStoreIsListedByTheSourcesOnly(t *testing.T) {
	s := newFakeStore()
	fill(s)
	watcher, _ := run(t, s, noSources)
	srv := httptest.NewServer(watcher)
	t.Cleanup(srv.Close)
	require.Eventually(t, watcher.hasListed, soon, time.Millisecond)
	mine := newFakeStore()
	fill(mine)
	k := runLarge(t, pagedStore{mine}, srv.Listener.Addr().String())
	require.Eventually(t, k.has("j"), soon, time.Millisecond)
	time.Sleep(2 * startPatience)
	require.Equal(t, 1, mine.made())
}

func TestLargeStoreIsListedWhenItsSourcesAreDown(t *testing.T) {
	mine := newFakeStore()
	fill(mine)
	down := httptest.NewServer(nil)
	down.Close()
	k := runLarge(t, pagedStore{mine}, down.Listener.Addr().String())
	require.Eventually(t, k.has("j"), soon, time.Millisecond)
	require.GreaterOrEqual(t, mine.made(), 11)
}

// TestReaderGoesOnWithTheOtherSource ends the first of two sources: its readers
// must not all list the store.
func TestReaderGoesOnWithTheOtherSource(t *testing.T) {
	s := newFakeStore()
	fill(s)
	var servers []*httptest.Server
	for range 2 {
		watcher, _ := run(t, s, noSources)
		srv := httptest.NewServer(watcher)
		t.Cleanup(srv.Close)
		servers = append(servers, srv)
		require.Eventually(t, watcher.hasListed, soon, time.Millisecond)
	}
	mine := newFakeStore()
	fill(mine)
	_, k := run(t, mine, func() []string {
		return []string{servers[0].Listener.Addr().String(), servers[1].Listener.Addr().String()}
	})
	require.Eventually(t, k.has("j"), soon, time.Millisecond)
	time.Sleep(mostStreamAge + 100*time.Millisecond)
	servers[0].CloseClientConnections()
	servers[0].Listener.Close()
	s.set("k", false)
	require.Eventually(t, k.has("k"), soon, time.Millisecond)
	require.Zero(t, mine.made())
}
