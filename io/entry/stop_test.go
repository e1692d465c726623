package entry_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/io/stand"
)

func echoUpstream(runs *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		_, _ = io.WriteString(w, "receipt "+r.Header.Get("Idempotency-Key"))
	})
}

func TestResendAfterAPlannedStopGetsTheFirstAnswer(t *testing.T) {
	for _, finder := range []magnolialedge.KeyLookup{magnolialedge.KeyLookupStore, magnolialedge.KeyLookupCaller} {
		t.Run(string(finder), func(t *testing.T) {
			var runs atomic.Int64
			s := serving(t, 3, finder, echoUpstream(&runs))
			time.Sleep(4100 * time.Millisecond)
			key := newKey()
			first, want := send(t, "POST", urlOf(s, 0, "/pay"), "x", "Idempotency-Key", key, "Request-Attempt", "first")
			require.Equal(t, http.StatusOK, first.StatusCode)
			require.NoError(t, s.Entries[0].Stop())
			for _, i := range []int{1, 2, 1} {
				resp, got := send(t, "POST", urlOf(s, i, "/pay"), "x", "Idempotency-Key", key, "Request-Tried", first.Header.Get("Request-Entry"))
				require.Equal(t, want, got)
				require.Equal(t, "ran", resp.Header.Get("Request-Outcome"))
			}
			require.EqualValues(t, 1, runs.Load())
		})
	}
}

func TestResendWithAnotherBodyIsRefused(t *testing.T) {
	var runs atomic.Int64
	s := serving(t, 2, magnolialedge.KeyLookupStore, echoUpstream(&runs))
	key := newKey()
	send(t, "POST", urlOf(s, 0, "/pay"), "10 rupees", "Idempotency-Key", key)
	for i := range 2 {
		resp, _ := send(t, "POST", urlOf(s, i, "/pay"), "20 rupees", "Idempotency-Key", key)
		require.Equal(t, "keyReused", resp.Header.Get("Request-Kind"))
		require.Equal(t, "notRun", resp.Header.Get("Request-Outcome"))
	}
	require.EqualValues(t, 1, runs.Load())
}

func TestResendsAtTheSameMomentRunOnce(t *testing.T) {
	var runs atomic.Int64
	s := serving(t, 3, magnolialedge.KeyLookupStore, echoUpstream(&runs))
	for range 20 {
		runs.Store(0)
		key := newKey()
		done := make(chan string, 6)
		for i := range 6 {
			go func() {
				resp, _ := send(t, "POST", urlOf(s, i%3, "/pay"), "x", "Idempotency-Key", key)
				done <- resp.Header.Get("Request-Outcome")
			}()
		}
		for range 6 {
			require.NotEqual(t, "notRun", <-done)
		}
		require.EqualValues(t, 1, runs.Load())
	}
}

func TestOutageOfTheServiceIsNotRun(t *testing.T) {
	var runs atomic.Int64
	s := serving(t, 1, magnolialedge.KeyLookupStore, echoUpstream(&runs))
	s.Platform.SetBehaviour(stand.PlatformBehaviour{Down: true})
	begun := time.Now()
	resp, _ := send(t, "POST", urlOf(s, 0, "/pay"), "x", "Idempotency-Key", newKey())
	require.Equal(t, "storeUnavailable", resp.Header.Get("Request-Kind"))
	require.Equal(t, "notRun", resp.Header.Get("Request-Outcome"))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Less(t, time.Since(begun), 500*time.Millisecond)
	require.Zero(t, runs.Load())
}

// TestLeavingEntryIsOutOfResolveAnswersBeforeTheListSaysSo stops an entry while
// the list lags by 10 s.
func TestLeavingEntryIsOutOfResolveAnswersBeforeTheListSaysSo(t *testing.T) {
	var runs atomic.Int64
	s := serving(t, 2, magnolialedge.KeyLookupStore, echoUpstream(&runs))
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

// TestNewEntryKnowsOfADrainBeforeItServes starts an entry while an upstream
// drains, which must get nothing from it.
func TestNewEntryKnowsOfADrainBeforeItServes(t *testing.T) {
	var drained, other atomic.Int64
	draining := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		drained.Add(1)
		w.Header().Set("Upstream-Load", "inFlight=0 queued=0 draining")
	})
	s := serving(t, 2, magnolialedge.KeyLookupStore, draining, echoUpstream(&other))
	for range 20 {
		send(t, "GET", urlOf(s, 0, "/a"), "")
	}
	require.EqualValues(t, 1, drained.Load())
	_, err := s.StartEntry("r", 7)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		d, err := stand.FetchDump(s.Entries[2].OperatorsAddress(), stand.Token)
		return err == nil && d.Revision > 0
	}, 5*time.Second, 10*time.Millisecond)
	for range 20 {
		send(t, "GET", urlOf(s, 2, "/a"), "")
	}
	require.EqualValues(t, 1, drained.Load())
}
