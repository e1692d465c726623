package pick

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
	"magnolialedge/io/seed"
)

// Registrations, removals, readings, failures, attempts and delays come in
// random order. Draining, removed, tried and full upstreams must never be
// candidates.
func TestCandidatesExcludeUnavailableUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet()
		now := start
		registered := map[string]magnolialedge.Registration{}
		inFlight := map[string]int{}
		name := func() string { return fmt.Sprint("u", rapid.IntRange(0, 4).Draw(t, "upstream")) }
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				r := registration(name(), rapid.SampledFrom([]string{"east-a", "east-b", "west-a"}).Draw(t, "zone"), rapid.IntRange(1, 4).Draw(t, "slots"))
				r.Draining = rapid.Bool().Draw(t, "draining")
				if old, ok := registered[r.ID]; ok && old.Zone != r.Zone {
					inFlight[r.ID] = 0
				}
				registered[r.ID] = r
				f.Register(now, r)
			},
			"remove": func(*rapid.T) {
				id := name()
				delete(registered, id)
				inFlight[id] = 0
				f.Remove(now, id)
			},
			"read": func(t *rapid.T) {
				f.RecordLoad(now, name(), magnolialedge.LoadReading{Running: rapid.IntRange(0, 9).Draw(t, "running"), Slowdown: rapid.Float64Range(0, 9).Draw(t, "slowdown")})
			},
			"unreachable": func(*rapid.T) { f.MarkUnreachable(now, name()) },
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"send": func(t *rapid.T) {
				req := testRequest(now)
				req.Tried = []string{name()}
				req.Idempotent = rapid.Bool().Draw(t, "idempotent")
				found, hasUsable := f.Candidates(now, req, 3)
				require.True(t, hasUsable || len(found) == 0)
				for _, c := range found {
					r, ok := registered[c.ID]
					require.True(t, ok && !r.Draining, "%s must not be a candidate", c.ID)
					require.False(t, slices.Contains(req.Tried, c.ID))
					require.Less(t, inFlight[c.ID], max(1, c.Slots))
				}
				if len(found) > 0 {
					f.BeginAttempt(now, found[0].ID)
					inFlight[found[0].ID]++
				}
			},
			"end": func(t *rapid.T) {
				id := name()
				if inFlight[id] == 0 {
					return
				}
				inFlight[id]--
				f.EndAttempt(now, AttemptResult{UpstreamID: id, Request: testRequest(now), Duration: time.Duration(rapid.IntRange(1, 900).Draw(t, "duration")) * time.Millisecond, Slowdown: 1, Status: AttemptStatus(rapid.IntRange(0, 4).Draw(t, "status"))})
			},
		})
	})
}

// Requests enter the queue, leave it and are woken in random order. Each one
// that does not leave must be woken exactly once.
func TestEachWaiterIsWokenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet()
		f.Register(start, registration("a", "east-a", 2))
		now := start
		var q Queue
		wakeups := map[*Waiter]int{}
		waiting := []*Waiter{}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				req := testRequest(now)
				req.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				w := &Waiter{Request: req, EnqueuedAt: now}
				w.Wake = func(WakeReason) { wakeups[w]++ }
				if q.Push(now, w, f) {
					waiting = append(waiting, w)
				}
			},
			"leave": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				w := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "waiter")]
				if q.Remove(w) {
					wakeups[w]++
				}
			},
			"fill": func(*rapid.T) { f.BeginAttempt(now, "a") },
			"free": func(*rapid.T) { f.EndAttempt(now, AttemptResult{UpstreamID: "a", Status: AttemptCanceled}) },
			"run": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				q.Dispatch(now, f)
			},
			"": func(t *rapid.T) {
				for _, w := range waiting {
					require.LessOrEqual(t, wakeups[w], 1)
				}
			},
		})
		q.Dispatch(now.Add(time.Minute), f)
		require.Zero(t, q.Len())
		for _, w := range waiting {
			require.Equal(t, 1, wakeups[w])
		}
	})
}

func TestMain(m *testing.M) {
	seed.Main(m)
}
