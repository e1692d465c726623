package node_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/platform/stand"
)

const (
	// cutSettleTime is the time from the beginning of a partition until callers of the
	// entries that are cut off must be served again.
	cutSettleTime = 2 * time.Second
	// attemptDeadline is how long callers wait for a response to an attempt.
	attemptDeadline = 4 * time.Second
	// cutServedRatio is how often first attempts at these entries must succeed then,
	// in relation to those at the others; cutEarlyRatio applies before cutSettleTime, and
	// cutReturnRatio from cutSettleTime after the end.
	cutServedRatio = 0.98
	cutEarlyRatio  = 0.7
	cutReturnRatio = 0.99
)

// attempt is the first attempt of a caller.
type attempt struct {
	entry  string
	at     time.Time
	took   time.Duration
	status int
}

// attempts records the attempts of callers.
type attempts struct {
	mu   sync.Mutex
	list []attempt
}

// ratio returns the share of the attempts at the given entries that succeeded, and
// their number, among those sent between two times.
func (a *attempts) ratio(from, to time.Time, entries ...*testEntry) (float64, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sent, ok := 0, 0
	for _, e := range entries {
		for _, x := range a.list {
			if x.entry != e.settings.Name || x.at.Before(from) || !x.at.Before(to) {
				continue
			}
			sent++
			if x.status == http.StatusOK {
				ok++
			}
		}
	}
	return float64(ok) / float64(max(1, sent)), sent
}

// latencies returns the 50th and 99th percentile of the times of the attempts at the given
// entries that succeeded, among those sent between two times.
func (a *attempts) latencies(from, to time.Time, entries ...*testEntry) (p50, p99 time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []time.Duration
	for _, e := range entries {
		for _, x := range a.list {
			if x.entry == e.settings.Name && x.status == http.StatusOK && !x.at.Before(from) && x.at.Before(to) {
				all = append(all, x.took)
			}
		}
	}
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*99/100]
}

// startAttempts sends requests to all entries, from four workers each, until the test
// ends. path returns the path of the request with a number; a method other than GET is
// used for those that begin with /writes/.
func (tc *testCluster) startAttempts(path func(n int) string) *attempts {
	a := &attempts{}
	var group sync.WaitGroup
	for _, e := range tc.entries {
		for worker := range 4 {
			group.Go(func() {
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: worker == 0}}
				for n := worker; tc.t.Context().Err() == nil; n++ {
					tc.sendAttempt(a, client, e, path(n))
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	tc.t.Cleanup(group.Wait)
	return a
}

func (tc *testCluster) sendAttempt(a *attempts, client *http.Client, e *testEntry, path string) {
	method, body := "GET", ""
	if strings.HasPrefix(path, "/writes/") {
		method, body = "POST", "x"
	}
	x := attempt{entry: e.settings.Name, at: time.Now()}
	resp, err := sendWithin(tc.t.Context(), attemptDeadline, client, e.settings.CallerAddress, method, path, body, tc.nextID())
	if tc.t.Context().Err() != nil {
		return
	}
	if err == nil {
		x.status = resp.status
	}
	x.took = time.Since(x.at)
	if x.status != http.StatusOK {
		tc.t.Logf("%s at %s: status %d after %s: %s %v", path, e.settings.Name, x.status, x.took, resp.body, err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

// newCutCluster starts four upstreams and four entries, the first two of which are to be
// cut off.
func newCutCluster(t *testing.T) (tc *testCluster, cut, others []*testEntry) {
	tc = newTestCluster(t)
	tc.addUpstream("u3")
	tc.addUpstream("u4")
	for i := 2; i <= 4; i++ {
		tc.addEntry(fmt.Sprintf("e%d", i), fmt.Sprintf("127.0.0.%d", i))
	}
	time.Sleep(500 * time.Millisecond)
	return tc, tc.entries[:2], tc.entries[2:]
}

// setPartition cuts entries off from the given upstreams, or from all if there are none.
func setPartition(entries []*testEntry, mode stand.PartitionMode, upstreams ...*stand.Upstream) {
	var addresses []string
	for _, u := range upstreams {
		addresses = append(addresses, u.Address())
	}
	for _, e := range entries {
		e.partition.Set(mode, addresses...)
	}
}

// differentRequests returns paths of reads and writes that are all different.
func differentRequests(n int) string {
	if n%4 == 0 {
		return fmt.Sprintf("/writes/%d", n)
	}
	return fmt.Sprintf("/reads/%d", n)
}

// Guards against callers of entries that reach no upstream being refused while other
// entries reach all of them.
func TestCallersOfEntriesThatReachNoUpstreamAreServed(t *testing.T) {
	for name, mode := range map[string]stand.PartitionMode{
		"hang":      stand.PartitionHang,
		"reset":     stand.PartitionReset,
		"refuseNew": stand.PartitionRefuseNew,
	} {
		t.Run(name, func(t *testing.T) {
			tc, cut, others := newCutCluster(t)
			sent := tc.startAttempts(differentRequests)
			time.Sleep(time.Second)
			begun := time.Now()
			setPartition(cut, mode)
			time.Sleep(cutSettleTime + 4*time.Second)
			setPartition(cut, stand.PartitionNone)
			ended := time.Now()
			time.Sleep(cutSettleTime + 2*time.Second)
			for _, span := range []struct {
				from, to time.Time
				ratio    float64
			}{
				{begun, begun.Add(cutSettleTime), cutEarlyRatio},
				{begun.Add(cutSettleTime), ended, cutServedRatio},
				{ended.Add(cutSettleTime), time.Now(), cutReturnRatio},
			} {
				served, n := sent.ratio(span.from, span.to, cut...)
				reference, m := sent.ratio(span.from, span.to, others...)
				p50, p99 := sent.latencies(span.from, span.to, cut...)
				direct50, direct99 := sent.latencies(span.from, span.to, others...)
				t.Logf("served %.3f of %d in %s / %s at the entries that were cut off, %.3f of %d in %s / %s at the others", served, n, p50, p99, reference, m, direct50, direct99)
				require.Greater(t, n, 50)
				require.Greater(t, reference, 0.98)
				require.GreaterOrEqual(t, served, span.ratio*reference)
			}
			for _, u := range tc.upstreams {
				for id, runs := range u.Runs() {
					require.LessOrEqual(t, runs, 2, id)
				}
			}
		})
	}
}

// Guards against an entry that loses its own links, to all upstreams or to most, taking
// the losses for crashes that a popular request caused, so that all entries refuse it.
func TestEntryThatLosesItsLinksQuarantinesNoRequest(t *testing.T) {
	for name, c := range map[string]struct {
		mode stand.PartitionMode
		// reached is the number of upstreams that the entries still reach.
		reached int
	}{
		"hang":      {mode: stand.PartitionHang},
		"reset":     {mode: stand.PartitionReset},
		"hangSome":  {mode: stand.PartitionHang, reached: 2},
		"resetSome": {mode: stand.PartitionReset, reached: 2},
	} {
		t.Run(name, func(t *testing.T) {
			tc, cut, others := newCutCluster(t)
			tc.routes = []string{routeJSON("reads", "/reads/", "safe", 4000, "svc")}
			tc.putConfig()
			for i := 5; i <= 8; i++ {
				tc.addUpstream(fmt.Sprintf("u%d", i))
			}
			for _, u := range tc.upstreams {
				u.SetSlowdown(5)
			}
			sent := tc.startAttempts(func(int) string { return "/reads/popular" })
			time.Sleep(time.Second)
			begun := time.Now()
			setPartition(cut, c.mode, tc.upstreams[c.reached:]...)
			time.Sleep(4 * time.Second)
			setPartition(cut, stand.PartitionNone)
			time.Sleep(5 * time.Second)
			served, n := sent.ratio(begun, time.Now(), others...)
			t.Logf("served %.3f of %d at the entries with reach", served, n)
			require.Greater(t, served, 0.98)
			for _, e := range tc.entries {
				require.NotContains(t, e.logs.String(), "name=upstreamCrashed")
			}
		})
	}
}

// newFragileCluster returns a testCluster of two entries and six upstreams that the requests to
// /reads/poison crash.
func newFragileCluster(t *testing.T) (*testCluster, []*stand.Upstream) {
	tc := newTestCluster(t)
	var fragile []*stand.Upstream
	for i := range 6 {
		u := stand.NewUpstream(stand.UpstreamConfig{ID: fmt.Sprintf("fragile%d", i), Service: "svc", Zone: "east-a", Slots: 4, WorkDuration: 5 * time.Millisecond, CrashPath: "/reads/poison"})
		t.Cleanup(u.Close)
		u.Register(tc.store, "ready")
		fragile = append(fragile, u)
	}
	for _, u := range tc.upstreams {
		u.Deregister(tc.store)
	}
	tc.addEntry("e2", "127.0.0.2")
	time.Sleep(500 * time.Millisecond)
	return tc, fragile
}

// refusesPoison sends a request that crashes upstreams to an entry, and reports whether it is
// refused as quarantined.
func (tc *testCluster) refusesPoison(e *testEntry) bool {
	resp, err := sendTo(tc.t.Context(), http.DefaultClient, e.settings.CallerAddress, "GET", "/reads/poison", "", tc.nextID())
	return err == nil && resp.status == http.StatusServiceUnavailable && strings.Contains(resp.body, "quarantined")
}

// reachedCount returns the number of upstreams that a request has reached.
func reachedCount(upstreams []*stand.Upstream) int {
	n := 0
	for _, u := range upstreams {
		n += min(1, len(u.Arrivals()))
	}
	return n
}

// Guards against a request that crashes each upstream that runs it being sent to one
// after the other.
func TestRequestThatCrashesUpstreamsIsQuarantinedEverywhere(t *testing.T) {
	tc, fragile := newFragileCluster(t)
	require.Eventually(t, func() bool { return tc.refusesPoison(tc.entries[0]) }, 3*time.Second, 100*time.Millisecond)
	require.Eventually(t, func() bool { return tc.refusesPoison(tc.entries[1]) }, time.Second, 100*time.Millisecond)
	require.LessOrEqual(t, reachedCount(fragile), 3)
}

// Guards against a request that crashes further upstreams at each entry that starts after the others have
// been told that it is quarantined.
func TestEntryThatStartsKnowsQuarantinedRequests(t *testing.T) {
	tc, fragile := newFragileCluster(t)
	require.Eventually(t, func() bool { return tc.refusesPoison(tc.entries[0]) }, 3*time.Second, 100*time.Millisecond)
	before := reachedCount(fragile)
	started := tc.addEntry("e3", "127.0.0.3")
	time.Sleep(500 * time.Millisecond)
	require.True(t, tc.refusesPoison(started))
	require.Equal(t, before, reachedCount(fragile))
}
