package mirror

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/core/mirror"
	"magnolialedge/io/event"
)

// storeMode is how the store behaves towards one entry.
type storeMode int32

const (
	storeServes storeMode = iota
	// storeHangs never replies, so that calls end with their timeout. It stands also for
	// replies that arrive byte by byte.
	storeHangs
	// storeFails ends each call at once, as a reset or a refusal does.
	storeFails
	// storeLags delays each reply by a second.
	storeLags
)

const (
	// storeCallTimeout and storeWatchMargin are the limits of the store's client.
	storeCallTimeout = 1500 * time.Millisecond
	storeWatchMargin = 700 * time.Millisecond
)

// storeView is a store as one entry reaches it.
type storeView struct {
	*fakeStore
	mode atomic.Int32
}

func (v *storeView) Range(ctx context.Context, prefix, after string) (magnolialedge.Page, error) {
	return v.call(storeCallTimeout, func() (magnolialedge.Page, error) { return v.fakeStore.Range(ctx, prefix, after) })
}

func (v *storeView) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (magnolialedge.Page, error) {
	return v.call(max(storeCallTimeout, wait+storeWatchMargin), func() (magnolialedge.Page, error) {
		return v.fakeStore.Changes(ctx, prefix, after, wait)
	})
}

// Renew is the cheap call of entries that may not watch the store.
func (v *storeView) Renew(context.Context, int64) error {
	_, err := v.call(storeCallTimeout, func() (magnolialedge.Page, error) { return magnolialedge.Page{}, nil })
	return err
}

func (v *storeView) call(timeout time.Duration, call func() (magnolialedge.Page, error)) (magnolialedge.Page, error) {
	start := time.Now()
	modeAtStart := storeMode(v.mode.Load())
	if modeAtStart == storeFails {
		return magnolialedge.Page{}, errDown
	}
	page, err := call()
	switch {
	case modeAtStart == storeHangs || storeMode(v.mode.Load()) == storeHangs:
		time.Sleep(timeout - time.Since(start))
		return magnolialedge.Page{}, errDown
	case modeAtStart == storeLags && time.Since(start)+time.Second > timeout:
		time.Sleep(timeout - time.Since(start))
		return magnolialedge.Page{}, errDown
	case modeAtStart == storeLags:
		time.Sleep(time.Second)
	}
	return page, err
}

// fleetEntry is an entry of a simulated fleet.
type fleetEntry struct {
	*Follower
	store   *storeView
	keys    *keyRecorder
	address string
	// paused entries neither accept streams nor write to those that are open.
	paused atomic.Bool
}

// pausingWriter blocks writes while its entry is paused.
type pausingWriter struct {
	http.ResponseWriter
	entry *fleetEntry
	ctx   context.Context
}

func (w pausingWriter) Write(b []byte) (int, error) {
	w.entry.awaitResumed(w.ctx)
	return w.ResponseWriter.Write(b)
}

func (w pausingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (e *fleetEntry) awaitResumed(ctx context.Context) {
	for e.paused.Load() && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
}

// ServeHTTP serves the streams of an entry that may be paused.
func (e *fleetEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.awaitResumed(r.Context())
	e.Follower.ServeHTTP(pausingWriter{ResponseWriter: w, entry: e, ctx: r.Context()}, r)
}

const (
	// fleetRegions is the number of regions of a fleet.
	fleetRegions = 3
	// fleetSources and fleetWatchers are the numbers of entries of a region from which the
	// others receive changes, and that may watch the store.
	fleetSources  = 2
	fleetWatchers = 6
)

// startFleet runs n entries of a store until the test ends. Entry i belongs to region
// i modulo fleetRegions, and has rank i divided by fleetRegions in it.
func startFleet(t *testing.T, s *fakeStore, n int, bound time.Duration) []*fleetEntry {
	t.Helper()
	fleet := make([]*fleetEntry, n)
	for i := range fleet {
		e := &fleetEntry{store: &storeView{fakeStore: s}, keys: &keyRecorder{present: map[string]bool{}}}
		srv := httptest.NewServer(e)
		t.Cleanup(srv.CloseClientConnections)
		e.address = srv.Listener.Addr().String()
		fleet[i] = e
	}
	ranks := func(i, from, to int) (out []string) {
		for rank := from; rank < min(to, i/fleetRegions); rank++ {
			out = append(out, fleet[i%fleetRegions+rank*fleetRegions].address)
		}
		return out
	}
	for i, e := range fleet {
		e.Follower = NewFollower(Config{
			Timing: mirror.TimingFor(bound),
			Store:  e.store, OnChange: e.keys.record, Dialer: httpPeers{}, Log: event.Logger{}, Name: fmt.Sprint("entry-", i),
			Sources:      func() []string { return ranks(i, 0, fleetSources) },
			SpareSources: func() []string { return ranks(i, fleetSources, fleetWatchers) },
			MayWatch:     func() bool { return i/fleetRegions < fleetWatchers },
			ProbeStore:   func(ctx context.Context) error { return e.store.Renew(ctx, 0) },
			BackupPeers: func() (out []string) {
				for _, j := range rand.Perm(n) {
					if j != i {
						out = append(out, fleet[j].address)
					}
				}
				return out
			},
		})
	}
	for _, e := range fleet {
		go e.Run(t.Context())
	}
	for _, e := range fleet {
		require.Eventually(t, func() bool { return e.Revision() > 0 }, 10*time.Second, 10*time.Millisecond)
	}
	return fleet
}

// largeFleetBound is the bound on the spread of changes at the size that the project is
// designed for.
const largeFleetBound = 4 * time.Second

// Guards against a change that is late because the store fails some entries without a sign
// while it serves others, at the sizes of a small and a large fleet.
func TestChangeReachesAllEntriesWhileTheStoreFailsSome(t *testing.T) {
	for _, c := range []struct {
		name                      string
		entries, affected, paused int
		mode                      storeMode
		// bound is the bound on the spread of changes, or 0 for the default.
		bound time.Duration
	}{
		{"a store that hangs for one", 14, 1, 1, storeHangs, 0},
		{"a store that hangs for five", 14, 5, 2, storeHangs, 0},
		{"a store that serves one", 14, 13, 0, storeHangs, 0},
		{"a store that resets all calls but those of one", 14, 13, 0, storeFails, 0},
		{"a store that replies a second late", 14, 14, 0, storeLags, 0},
		{"a store that hangs for a third of a large fleet", 312, 110, 20, storeHangs, 0},
		{"a store that serves one of a large fleet", 312, 311, 0, storeHangs, 0},
		{"a store that serves one of a large fleet, bound of its size", 312, 311, 0, storeHangs, largeFleetBound},
	} {
		t.Run(c.name, func(t *testing.T) {
			bound := cmp.Or(c.bound, mirror.DefaultPropagation)
			if c.entries < 100 {
				t.Parallel()
			}
			s := newFakeStore()
			s.set("a", false)
			fleet := startFleet(t, s, c.entries, bound)
			r := rand.New(rand.NewPCG(uint64(c.entries), uint64(c.affected)))
			for round := range 2 {
				time.Sleep(3 * time.Second)
				order := r.Perm(c.entries)
				for _, i := range order[:c.affected] {
					fleet[i].store.mode.Store(int32(c.mode))
				}
				for _, i := range order[c.affected : c.affected+c.paused] {
					fleet[i].paused.Store(true)
				}
				time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
				key := fmt.Sprint("change-", round)
				s.set(key, false)
				time.Sleep(bound)
				for _, i := range order {
					require.True(t, fleet[i].paused.Load() || fleet[i].keys.has(key)(), "entry %d in round %d", i, round)
				}
				for _, e := range fleet {
					e.store.mode.Store(int32(storeServes))
					e.paused.Store(false)
				}
			}
		})
	}
}

// Guards against a change that is late because the only entry that the store serves waits for
// paused sources, one after the other, before it asks the store.
func TestEntryThatAloneReachesTheStoreDoesNotWaitForPausedSources(t *testing.T) {
	for _, c := range []struct {
		entries int
		// served is the entry that reaches the store. Its sources are paused.
		served int
		bound  time.Duration
	}{
		{6, fleetRegions, mirror.DefaultPropagation},
		{14, 2 * fleetRegions, mirror.DefaultPropagation},
		{14, 3 * fleetRegions, mirror.DefaultPropagation},
		{312, 2 * fleetRegions, largeFleetBound},
	} {
		t.Run(fmt.Sprintf("%d entries, entry %d", c.entries, c.served), func(t *testing.T) {
			if c.entries < 100 {
				t.Parallel()
			}
			s := newFakeStore()
			s.set("a", false)
			fleet := startFleet(t, s, c.entries, c.bound)
			r := rand.New(rand.NewPCG(uint64(c.entries), uint64(c.served)))
			for round := range 4 {
				time.Sleep(3 * time.Second)
				for i, e := range fleet {
					if i != c.served {
						e.store.mode.Store(int32(storeHangs))
					}
				}
				for rank := range min(fleetSources, c.served/fleetRegions) {
					fleet[rank*fleetRegions].paused.Store(true)
				}
				time.Sleep(time.Duration(r.Int64N(int64(1500 * time.Millisecond))))
				key := fmt.Sprint("change-", round)
				s.set(key, false)
				time.Sleep(c.bound)
				for i, e := range fleet {
					require.True(t, e.paused.Load() || e.keys.has(key)(), "entry %d in round %d", i, round)
				}
				for _, e := range fleet {
					e.store.mode.Store(int32(storeServes))
					e.paused.Store(false)
				}
			}
		})
	}
}
