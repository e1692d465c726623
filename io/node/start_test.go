package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/io/node"
	"magnolialedge/platform/stand"
)

// All entries start at once and no request asks for load readings yet. Each entry must
// take those of the upstreams that it will use within 200 ms, and no more than its
// probe budget allows.
func TestEntryTakesLoadReadingsAtStart(t *testing.T) {
	tc := newAdmissionCluster(t)
	for i := range 6 {
		tc.addUpstream(fmt.Sprint("v", i))
	}
	for _, perSec := range []float64{0, 8} {
		begun := time.Now()
		name := fmt.Sprint("s", perSec)
		tc.addEntryWith(name, "127.0.0.2", func(s *node.Settings) { s.MaxProbesPerSec = perSec })
		time.Sleep(200 * time.Millisecond)
		probes := 0
		for _, u := range tc.upstreams {
			probes += u.ProbesSince(begun)
		}
		if perSec == 0 {
			require.GreaterOrEqual(t, probes, len(tc.upstreams))
		} else {
			require.Positive(t, probes)
			require.LessOrEqual(t, float64(probes), perSec*float64(len(tc.upstreams))*time.Since(begun).Seconds())
		}
	}
}

// returnCounts counts the requests of callers that return together.
type returnCounts struct {
	mu                    sync.Mutex
	inTime, late, refused int
	firstInTime           time.Duration
}

// Three entries start at once, and 150 callers with one request each meet 12 slots of
// 100 ms. Each request must be served or be refused with a time at which to come back.
func TestCallersReturnTogetherAfterStart(t *testing.T) {
	tc := newAdmissionCluster(t)
	for _, u := range tc.upstreams {
		u.Register(tc.store, "draining")
	}
	for i := range 6 {
		u := stand.NewUpstream(stand.UpstreamConfig{ID: fmt.Sprint("v", i), Service: "svc", Zone: "east-a", Slots: 2, WorkDuration: 100 * time.Millisecond})
		t.Cleanup(u.Close)
		u.Register(tc.store, "ready")
	}
	begun := time.Now()
	var entries []*testEntry
	for i := range 3 {
		entries = append(entries, tc.addEntry(fmt.Sprint("s", i), fmt.Sprint("127.0.0.", i+2)))
	}
	ready := time.Since(begun)
	counts := &returnCounts{}
	var wg sync.WaitGroup
	for i := range 150 {
		wg.Go(func() { counts.call(t, tc, entries[i%3], begun) })
	}
	wg.Wait()
	t.Logf("ready after %v, first in time after %v, %d in time, %d late, %d refusals", ready, counts.firstInTime, counts.inTime, counts.late, counts.refused)
	require.Equal(t, 150, counts.inTime+counts.late)
}

// call sends a request until it is served, and comes back when it is told to.
func (c *returnCounts) call(t *testing.T, tc *testCluster, e *testEntry, begun time.Time) {
	const target = 300 * time.Millisecond
	for range 20 {
		sent := time.Now()
		resp, err := sendTo(context.Background(), http.DefaultClient, e.settings.CallerAddress, "GET", "/reads/1", "", tc.nextID())
		if err != nil {
			t.Errorf("request after start: %v", err)
			return
		}
		took := time.Since(sent)
		c.record(resp.status == http.StatusOK, took < target, time.Since(begun))
		if resp.status == http.StatusOK {
			return
		}
		seconds, err := strconv.ParseFloat(resp.retryAfter, 64)
		if err != nil {
			t.Errorf("status %d without a valid Retry-After: %q", resp.status, resp.retryAfter)
			return
		}
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
}

func (c *returnCounts) record(isServed, isInTime bool, sinceStart time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !isServed:
		c.refused++
	case !isInTime:
		c.late++
	default:
		c.inTime++
		if c.firstInTime == 0 {
			c.firstInTime = sinceStart
		}
	}
}
