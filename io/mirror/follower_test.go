package mirror

import (
	"bufio"
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
	"magnolialedge/core/mirror"
	"magnolialedge/io/event"
)

var errDown = errors.New("the store is unreachable")

// fakeStore is an in-memory store that can be made to fail.
type fakeStore struct {
	magnolialedge.Keyspace
	mu                sync.Mutex
	down              bool
	calls             int
	items             map[string]magnolialedge.Item
	history           []magnolialedge.Item
	compactedRevision int64
	revision          int64
	// era is the number of restorations.
	era int64
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

// compact discards the history, so that older revisions can no longer be
// watched.
func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedRevision = s.revision
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
	page := magnolialedge.Page{Position: magnolialedge.Position{Era: s.era, Revision: s.revision}}
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
	if after < s.compactedRevision || after > s.revision {
		return magnolialedge.Page{}, magnolialedge.ErrHistoryLost
	}
	page := magnolialedge.Page{Position: magnolialedge.Position{Era: s.era, Revision: s.revision}}
	for _, it := range s.history {
		if it.Revision > after {
			page.Items = append(page.Items, it)
		}
	}
	return page, nil
}

// keyRecorder records which keys a follower has reported as present.
type keyRecorder struct {
	mu      sync.Mutex
	present map[string]bool
}

func (k *keyRecorder) record(changes []magnolialedge.Item, _ Delivery) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range changes {
		k.present[c.Key] = !c.Deleted
	}
}

func (k *keyRecorder) has(key string) func() bool {
	return func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.present[key]
	}
}

func (k *keyRecorder) lacks(key string) func() bool {
	return func() bool { return !k.has(key)() }
}

// httpPeers opens change streams over HTTP.
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

// startFollower runs a follower of s until the test ends and returns it with
// the keys that it reports.
func startFollower(t *testing.T, s magnolialedge.Keyspace, sources func() []string) (*Follower, *keyRecorder) {
	t.Helper()
	k := &keyRecorder{present: map[string]bool{}}
	f := NewFollower(Config{Store: s, OnChange: k.record, Sources: sources, Dialer: httpPeers{}, Log: event.Logger{}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	return f, k
}

func noSources() []string { return nil }

func ignoreChanges([]magnolialedge.Item, Delivery) {}

const waitTimeout = 2 * time.Second

func TestStoreChangesReachOnChange(t *testing.T) {
	s := newFakeStore()
	s.set("a", false)
	_, k := startFollower(t, s, noSources)
	require.Eventually(t, k.has("a"), waitTimeout, time.Millisecond)
	s.set("b", false)
	s.set("a", true)
	require.Eventually(t, k.has("b"), waitTimeout, time.Millisecond)
	require.Eventually(t, k.lacks("a"), waitTimeout, time.Millisecond)
}

func TestFollowerListsAgainAfterHistoryLoss(t *testing.T) {
	s := newFakeStore()
	s.set("a", false)
	_, k := startFollower(t, s, noSources)
	require.Eventually(t, k.has("a"), waitTimeout, time.Millisecond)
	s.setDown(true)
	s.set("a", true)
	s.set("b", false)
	s.compact()
	s.setDown(false)
	require.Eventually(t, k.has("b"), 2*waitTimeout, time.Millisecond)
	require.Eventually(t, k.lacks("a"), 2*waitTimeout, time.Millisecond)
}

// Removals during an outage are applied at the latest 2.2 s after an entry detects
// the end of the outage. The entry must detect it within 0.8 s to apply them within
// 3 s.
func TestOutageEndIsDetectedQuickly(t *testing.T) {
	s := newFakeStore()
	f, _ := startFollower(t, s, noSources)
	require.Eventually(t, f.hasListed, waitTimeout, time.Millisecond)
	s.setDown(true)
	time.Sleep(1500 * time.Millisecond)
	s.setDown(false)
	recoveredAt := time.Now()
	require.Eventually(t, func() bool { return f.Staleness(time.Now()) < time.Since(recoveredAt) }, 800*time.Millisecond, time.Millisecond)
}

func TestSubscriberFollowsPeerWithoutPollingStore(t *testing.T) {
	s := newFakeStore()
	s.set("a", false)
	watcher, _ := startFollower(t, s, noSources)
	srv := httptest.NewServer(watcher)
	t.Cleanup(srv.Close)
	require.Eventually(t, watcher.hasListed, waitTimeout, time.Millisecond)

	ownStore := newFakeStore()
	ownStore.set("a", false)
	_, k := startFollower(t, ownStore, func() []string { return []string{srv.Listener.Addr().String()} })
	require.Eventually(t, k.has("a"), waitTimeout, time.Millisecond)
	s.set("b", false)
	require.Eventually(t, k.has("b"), waitTimeout, time.Millisecond)
	require.LessOrEqual(t, ownStore.calls, 1)
}

// A peer that cannot reach the store reports how long ago it last did. Its
// subscribers must then poll the store themselves.
func TestSubscriberPollsStoreWhenPeerIsStale(t *testing.T) {
	s := newFakeStore()
	watcher, _ := startFollower(t, s, noSources)
	srv := httptest.NewServer(watcher)
	t.Cleanup(srv.Close)
	require.Eventually(t, watcher.hasListed, waitTimeout, time.Millisecond)
	ownStore := newFakeStore()
	_, k := startFollower(t, ownStore, func() []string { return []string{srv.Listener.Addr().String()} })
	time.Sleep(300 * time.Millisecond)
	s.setDown(true)
	ownStore.set("b", false)
	require.Eventually(t, k.has("b"), 4*time.Second, time.Millisecond)
}

// An entry that is restarted while the store is down must take its items from a seed,
// and follow the store once it can be reached again.
func TestNewEntryInitializesFromSeedDuringStoreOutage(t *testing.T) {
	s := newFakeStore()
	s.set("a", false)
	seed, _ := startFollower(t, s, noSources)
	srv := httptest.NewServer(seed)
	t.Cleanup(srv.Close)
	require.Eventually(t, seed.hasListed, waitTimeout, time.Millisecond)
	s.setDown(true)
	time.Sleep(2500 * time.Millisecond)
	k := &keyRecorder{present: map[string]bool{}}
	f := NewFollower(Config{Store: s, OnChange: k.record, Sources: noSources, Dialer: httpPeers{}, Seeds: []string{"127.0.0.1:1", srv.Listener.Addr().String()}, Log: event.Logger{}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	require.Eventually(t, k.has("a"), waitTimeout, time.Millisecond)
	s.setDown(false)
	s.set("b", false)
	require.Eventually(t, k.has("b"), waitTimeout, time.Millisecond)
}

// If the store refuses the entry that watches it for its region and serves the
// others, the refused entry must follow one of them.
func TestRefusedWatcherFollowsBackupPeer(t *testing.T) {
	s := newFakeStore()
	second, _ := startFollower(t, s, noSources)
	srv := httptest.NewServer(second)
	t.Cleanup(srv.Close)
	ownStore := newFakeStore()
	k := &keyRecorder{present: map[string]bool{}}
	f := NewFollower(Config{Store: ownStore, OnChange: k.record, Sources: noSources, Dialer: httpPeers{},
		BackupPeers: func() []string { return []string{srv.Listener.Addr().String()} }, Log: event.Logger{}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	require.Eventually(t, f.hasListed, waitTimeout, time.Millisecond)
	ownStore.setDown(true)
	s.set("b", false)
	require.Eventually(t, k.has("b"), 4*time.Second, time.Millisecond)
}

// When all entries start at once, they load the snapshot of one source over a slow
// link. The stream of a message that arrives slowly must not count as idle.
func TestSlowMessageDoesNotTimeOut(t *testing.T) {
	items := make([]magnolialedge.Item, 100)
	for i := range items {
		items[i] = magnolialedge.Item{Key: fmt.Sprint("a", i), Value: bytes.Repeat([]byte("x"), 300), Revision: int64(i + 2)}
	}
	compressed, err := compressItems(items)
	require.NoError(t, err)
	require.Less(t, len(compressed), 100*300/5)
	line, err := json.Marshal(message{Snapshot: true, Compressed: compressed, Position: magnolialedge.Position{Revision: 200}})
	require.NoError(t, err)
	slowSource := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		line = append(line, '\n')
		for part := range slices.Chunk(line, len(line)/6+1) {
			_, _ = w.Write(part)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(mirror.TimingFor(mirror.DefaultPropagation).IdleTimeout / 3)
		}
		<-r.Context().Done()
	}))
	t.Cleanup(slowSource.Close)
	ownStore := newFakeStore()
	_, k := startFollower(t, ownStore, func() []string { return []string{slowSource.Listener.Addr().String()} })
	require.Eventually(t, k.has("a99"), 6*time.Second, 5*time.Millisecond)
}

// Entries of earlier releases learn only from the stream which entries do not respond. Guards
// against a stream that no longer names them while both releases run.
func TestStreamNamesUnreachableEntries(t *testing.T) {
	source := NewFollower(Config{Store: newFakeStore(), OnChange: ignoreChanges, Sources: noSources,
		Unreachable: func() []string { return []string{"lost"} }, Log: event.Logger{}})
	go source.Run(t.Context())
	srv := httptest.NewServer(source)
	defer srv.CloseClientConnections()
	require.Eventually(t, func() bool { return source.Revision() > 0 }, 3*time.Second, 5*time.Millisecond)
	stream, err := httpPeers{}.Open(t.Context(), srv.Listener.Addr().String(), StreamPath)
	require.NoError(t, err)
	defer stream.Close()
	lines := bufio.NewScanner(stream)
	for lines.Scan() {
		var m message
		require.NoError(t, json.Unmarshal(lines.Bytes(), &m))
		if len(m.Unreachable) > 0 {
			require.Equal(t, []string{"lost"}, m.Unreachable)
			return
		}
	}
	require.FailNow(t, "the stream ended without naming the entry")
}
