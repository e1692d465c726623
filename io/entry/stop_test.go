package entry_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/io/stand"
)

func countingUpstream(runs *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		_, _ = io.WriteString(w, "receipt "+r.Header.Get("Idempotency-Key"))
	})
}

func TestResendAfterStopReturnsTheFirstResponse(t *testing.T) {
	for _, keyLookup := range []magnolialedge.KeyLookup{magnolialedge.KeyLookupStore, magnolialedge.KeyLookupCaller} {
		t.Run(string(keyLookup), func(t *testing.T) {
			var runs atomic.Int64
			s := startSystem(t, 3, keyLookup, countingUpstream(&runs))
			// For a key issued within 4 s after an entry's start, which is twice the tolerated
			// clock skew, the entry cannot rule out that the key was used before it started.
			time.Sleep(4100 * time.Millisecond)
			key := newUUID()
			first, want := send(t, "POST", serviceURL(s, 0, "/pay"), "x", "Idempotency-Key", key, "Request-Attempt", "first")
			require.Equal(t, http.StatusOK, first.StatusCode)
			require.NoError(t, s.Entries[0].Stop())
			for _, i := range []int{1, 2, 1} {
				resp, got := send(t, "POST", serviceURL(s, i, "/pay"), "x", "Idempotency-Key", key, "Request-Tried", first.Header.Get("Request-Entry"))
				require.Equal(t, want, got)
				require.Equal(t, "ran", resp.Header.Get("Request-Outcome"))
			}
			require.EqualValues(t, 1, runs.Load())
		})
	}
}

func TestResendWithDifferentBodyIsRefused(t *testing.T) {
	var runs atomic.Int64
	s := startSystem(t, 2, magnolialedge.KeyLookupStore, countingUpstream(&runs))
	key := newUUID()
	send(t, "POST", serviceURL(s, 0, "/pay"), "10 rupees", "Idempotency-Key", key)
	for i := range 2 {
		resp, _ := send(t, "POST", serviceURL(s, i, "/pay"), "20 rupees", "Idempotency-Key", key)
		require.Equal(t, "keyReused", resp.Header.Get("Request-Kind"))
		require.Equal(t, "notRun", resp.Header.Get("Request-Outcome"))
	}
	require.EqualValues(t, 1, runs.Load())
}

func TestConcurrentResendsRunOnce(t *testing.T) {
	var runs atomic.Int64
	s := startSystem(t, 3, magnolialedge.KeyLookupStore, countingUpstream(&runs))
	for range 20 {
		runs.Store(0)
		key := newUUID()
		done := make(chan string, 6)
		for i := range 6 {
			go func() {
				resp, _ := send(t, "POST", serviceURL(s, i%3, "/pay"), "x", "Idempotency-Key", key)
				done <- resp.Header.Get("Request-Outcome")
			}()
		}
		for range 6 {
			require.NotEqual(t, "notRun", <-done)
		}
		require.EqualValues(t, 1, runs.Load())
	}
}

func TestStoreOutageRefusesKeyedRequests(t *testing.T) {
	var runs atomic.Int64
	s := startSystem(t, 1, magnolialedge.KeyLookupStore, countingUpstream(&runs))
	s.Platform.SetBehaviour(stand.PlatformBehaviour{Down: true})
	start := time.Now()
	resp, _ := send(t, "POST", serviceURL(s, 0, "/pay"), "x", "Idempotency-Key", newUUID())
	require.Equal(t, "storeUnavailable", resp.Header.Get("Request-Kind"))
	require.Equal(t, "notRun", resp.Header.Get("Request-Outcome"))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Less(t, time.Since(start), 500*time.Millisecond)
	require.Zero(t, runs.Load())
}

// TestResolveOmitsLeavingEntryBeforeTheListDoes guards against resolve responses that name a
// stopped entry because the platform's list lags, here by 10 s.
func TestResolveOmitsLeavingEntryBeforeTheListDoes(t *testing.T) {
	var runs atomic.Int64
	s := startSystem(t, 2, magnolialedge.KeyLookupStore, countingUpstream(&runs))
	s.Platform.SetBehaviour(stand.PlatformBehaviour{ListLagMs: 10000})
	stopped := s.Entries[0].Self().CallerAddress
	caller := stand.NewCaller([]string{s.Entries[1].Self().CallerAddress}, http.DefaultClient)
	before, err := caller.Resolve(context.Background(), "echo")
	require.NoError(t, err)
	require.Contains(t, before.Addresses, stopped)
	require.NoError(t, s.Entries[0].Stop())
	caller = stand.NewCaller([]string{s.Entries[1].Self().CallerAddress}, http.DefaultClient)
	after, err := caller.Resolve(context.Background(), "echo")
	require.NoError(t, err)
	require.NotContains(t, after.Addresses, stopped)
}

// TestNewEntryFetchesDrainsBeforeItServes guards against a new entry that sends requests to
// an upstream that was already draining when the entry started.
func TestNewEntryFetchesDrainsBeforeItServes(t *testing.T) {
	var drainingRequests, otherRequests atomic.Int64
	draining := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		drainingRequests.Add(1)
		w.Header().Set("Upstream-Load", "inFlight=0 queued=0 draining")
	})
	s := startSystem(t, 2, magnolialedge.KeyLookupStore, draining, countingUpstream(&otherRequests))
	for range 20 {
		send(t, "GET", serviceURL(s, 0, "/a"), "")
	}
	require.EqualValues(t, 1, drainingRequests.Load())
	_, err := s.StartEntry("r", 7)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		d, err := stand.FetchDump(s.Entries[2].OperatorAddress(), stand.Token)
		return err == nil && d.Revision > 0
	}, 5*time.Second, 10*time.Millisecond)
	for range 20 {
		send(t, "GET", serviceURL(s, 2, "/a"), "")
	}
	require.EqualValues(t, 1, drainingRequests.Load())
}

// TestLateRequestOfAStopIsNotCut guards against requests that a stopping entry sends to an
// upstream although they may last longer than the stop.
func TestLateRequestOfAStopIsNotCut(t *testing.T) {
	const work, timeout = 1500 * time.Millisecond, 2 * time.Second
	var mu sync.Mutex
	begun := map[string]bool{}
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		begun[r.Header.Get("Request-Id")] = true
		mu.Unlock()
		time.Sleep(work)
		_, _ = io.WriteString(w, "done")
	})
	cfg := stand.SystemConfig{EntriesPerRegion: 2, LeaveDelay: time.Second, StopTimeout: time.Second}
	s := startSystemWith(t, cfg, magnolialedge.KeyLookupStore, slow, slow, slow, slow, slow, slow, slow, slow)
	var requests sync.WaitGroup
	var served, refused atomic.Int64
	signal := time.Now().Add(200 * time.Millisecond)
	for at := -100 * time.Millisecond; at < time.Second; at += 100 * time.Millisecond {
		requests.Go(func() {
			time.Sleep(time.Until(signal.Add(at)))
			id := newUUID()
			req, err := http.NewRequest("GET", serviceURL(s, 0, "/a"), nil)
			require.NoError(t, err)
			req.Header.Set("Request-Id", id)
			req.Header.Set("Request-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
			resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
			if err == nil {
				defer resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				served.Add(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			require.False(t, begun[id], "sent %s after the signal: %v", at, err)
			require.NoError(t, err)
			require.Equal(t, "leaving", resp.Header.Get("Request-Kind"))
			refused.Add(1)
		})
	}
	time.Sleep(time.Until(signal))
	require.NoError(t, s.Entries[0].Stop(), "requests were in flight when the stop timeout expired")
	requests.Wait()
	require.Positive(t, served.Load())
	require.Positive(t, refused.Load())
}
