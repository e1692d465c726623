package mirror

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/io/event"
)

var errDown = errors.New("the store is down")

// fakeStore is a store that can be taken down.
type fakeStore struct {
	magnolialedge.Keyspace
	mu       sync.Mutex
	down     bool
	calls    int
	items    map[string]magnolialedge.Item
	history  []magnolialedge.Item
	floor    int64
	revision int64
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]magnolialedge.Item{}, revision: 1}
}

func (s *fakeStore) set(key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := magnolialedge.Item{Key: key, Revision: s.revision, Deleted: deleted}
	s.history = append(s.history, it)
	if deleted {
		delete(s.items, key)
		return
	}
	s.items[key] = it
}

// compact forgets all history.
func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.floor = s.revision
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) Range(context.Context, string, string) (magnolialedge.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return magnolialedge.Page{}, errDown
	}
	page := magnolialedge.Page{Revision: s.revision}
	for _, it := range s.items {
		page.Items = append(page.Items, it)
	}
	return page, nil
}

func (s *fakeStore) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (magnolialedge.Page, error) {
	until := time.Now().Add(wait)
	for {
		page, err := s.since(after)
		if err != nil || len(page.Items) > 0 || !time.Now().Before(until) || ctx.Err() != nil {
			return page, err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *fakeStore) since(after int64) (magnolialedge.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return magnolialedge.Page{}, errDown
	}
	if after < s.floor {
		return magnolialedge.Page{}, magnolialedge.ErrHistoryLost
	}
	page := magnolialedge.Page{Revision: s.revision}
	for _, it := range s.history {
		if it.Revision > after {
			page.Items = append(page.Items, it)
		}
	}
	return page, nil
}

// known collects what a follower passes on.
type known struct {
	mu   sync.Mutex
	keys map[string]bool
}

func (k *known) take(changes []magnolialedge.Item) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range changes {
		k.keys[c.Key] = !c.Deleted
	}
}

func (k *known) has(key string) func() bool {
	return func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.keys[key]
	}
}

func (k *known) lacks(key string) func() bool {
	return func() bool { return !k.has(key)() }
}

// httpPeers opens streams over HTTP.
type httpPeers struct{}

func (httpPeers) Open(ctx context.Context, address, path string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	return resp.Body, nil
}

func run(t *testing.T, s magnolialedge.Keyspace, sources func() []string) (*Follower, *known) {
	t.Helper()
	k := &known{keys: map[string]bool{}}
	f := NewFollower(Config{Store: s, OnChange: k.take, Sources: sources, Dialer: httpPeers{}, Log: event.Logger{}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	return f, k
}

func noSources() []string { return nil }

const soon = 2 * time.Second

func TestChangesOfTheStoreArePassedOn(t *testing.T) {
	s := newFakeStore()
	s.set("a", false)
	_, k := run(t, s, noSources)
	require.Eventually(t, k.has("a"), soon, time.Millisecond)
	s.set("b", false)
	s.set("a", true)
	require.Eventually(t, k.has("b"), soon, time.Millisecond)
	require.Eventually(t, k.lacks("a"), soon, time.Millisecond)
}

func TestLostHistoryIsMadeUpByAList(t *testing.T) {
	s := newFakeStore()
	s.set("a", false)
	_, k := run(t, s, noSources)
	require.Eventually(t, k.has("a"), soon, time.Millisecond)
	s.setDown(true)
	s.set("a", true)
	s.set("b", false)
	s.compact()
	s.setDown(false)
	require.Eventually(t, k.has("b"), 2*soon, time.Millisecond)
	require.Eventually(t, k.lacks("a"), 2*soon, time.Millisecond)
}

// The removals of an outage are believed 2.2 s after its end at the latest, so
// the end must be noticed within 0.8 s for an entry to heed them within 3 s.
func TestEndOfAnOutageIsNoticedSoon(t *testing.T) {
	s := newFakeStore()
	f, _ := run(t, s, noSources)
	require.Eventually(t, f.hasListed, soon, time.Millisecond)
	s.setDown(true)
	time.Sleep(1500 * time.Millisecond)
	s.setDown(false)
	back := time.Now()
	require.Eventually(t, func() bool { return f.Staleness(time.Now()) < time.Since(back) }, 800*time.Millisecond, time.Millisecond)
}

func TestReadersFollowAPeerAndMakeNoCalls(t *testing.T) {
	s := newFakeStore()
	s.set("a", false)
	watcher, _ := run(t, s, noSources)
	srv := httptest.NewServer(watcher)
	t.Cleanup(srv.Close)
	require.Eventually(t, watcher.hasListed, soon, time.Millisecond)

	mine := newFakeStore()
	mine.set("a", false)
	_, k := run(t, mine, func() []string { return []string{srv.Listener.Addr().String()} })
	require.Eventually(t, k.has("a"), soon, time.Millisecond)
	s.set("b", false)
	require.Eventually(t, k.has("b"), soon, time.Millisecond)
	require.LessOrEqual(t, mine.calls, 1)
}

// A peer that can't reach the store says so by the age of what it knows; its
// readers then watch the store themselves.
func TestReadersOfAStalePeerWatchTheStoreThemselves(t *testing.T) {
	s := newFakeStore()
	watcher, _ := run(t, s, noSources)
	srv := httptest.NewServer(watcher)
	t.Cleanup(srv.Close)
	require.Eventually(t, watcher.hasListed, soon, time.Millisecond)
	mine := newFakeStore()
	_, k := run(t, mine, func() []string { return []string{srv.Listener.Addr().String()} })
	time.Sleep(300 * time.Millisecond)
	s.setDown(true)
	mine.set("b", false)
	require.Eventually(t, k.has("b"), 4*time.Second, time.Millisecond)
}

// Pattern: entries are restarted while the store is down.
func TestNewEntryLearnsFromASeedWhileTheStoreIsDown(t *testing.T) {
	s := newFakeStore()
	s.set("a", false)
	old, _ := run(t, s, noSources)
	srv := httptest.NewServer(old)
	t.Cleanup(srv.Close)
	require.Eventually(t, old.hasListed, soon, time.Millisecond)
	s.setDown(true)
	time.Sleep(2500 * time.Millisecond)
	k := &known{keys: map[string]bool{}}
	f := NewFollower(Config{Store: s, OnChange: k.take, Sources: noSources, Dialer: httpPeers{}, Seeds: []string{"127.0.0.1:1", srv.Listener.Addr().String()}, Log: event.Logger{}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	require.Eventually(t, k.has("a"), soon, time.Millisecond)
	s.setDown(false)
	s.set("b", false)
	require.Eventually(t, k.has("b"), soon, time.Millisecond)
}

// Pattern: the store turns away the entry that watches it for its region and
// serves the others.
func TestWatcherThatTheStoreTurnsAwayFollowsAnother(t *testing.T) {
	s := newFakeStore()
	second, _ := run(t, s, noSources)
	srv := httptest.NewServer(second)
	t.Cleanup(srv.Close)
	mine := newFakeStore()
	k := &known{keys: map[string]bool{}}
	f := NewFollower(Config{Store: mine, OnChange: k.take, Sources: noSources, Dialer: httpPeers{},
		FallbackPeers: func() []string { return []string{srv.Listener.Addr().String()} }, Log: event.Logger{}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	require.Eventually(t, f.hasListed, soon, time.Millisecond)
	mine.setDown(true)
	s.set("b", false)
	require.Eventually(t, k.has("b"), 4*time.Second, time.Millisecond)
}

// Pattern: all entries start at once and take the snapshot of one source over a
// narrow link.
func TestSlowMessageIsNotSilence(t *testing.T) {
	items := make([]magnolialedge.Item, 100)
	for i := range items {
		items[i] = magnolialedge.Item{Key: fmt.Sprint("a", i), Value: bytes.Repeat([]byte("x"), 300), Revision: int64(i + 2)}
	}
	packed, err := packItems(items)
	require.NoError(t, err)
	require.Less(t, len(packed), 100*300/5)
	line, err := json.Marshal(message{Snapshot: true, Packed: packed, Revision: 200})
	require.NoError(t, err)
	narrow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		line = append(line, '\n')
		for part := range slices.Chunk(line, len(line)/6+1) {
			_, _ = w.Write(part)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(streamSilence / 3)
		}
		<-r.Context().Done()
	}))
	t.Cleanup(narrow.Close)
	mine := newFakeStore()
	_, k := run(t, mine, func() []string { return []string{narrow.Listener.Addr().String()} })
	require.Eventually(t, k.has("a99"), 6*time.Second, 5*time.Millisecond)
}
