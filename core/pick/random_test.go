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

// TestFleetNeverPicksWhatMayNotTakeWork goes through any order of registrations,
// drains, readings, ends and waits.
func TestFleetNeverPicksWhatMayNotTakeWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet()
		now := start
		listed := map[string]magnolialedge.Registration{}
		inFlight := map[string]int{}
		name := func() string { return fmt.Sprint("u", rapid.IntRange(0, 4).Draw(t, "upstream")) }
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				r := registration(name(), rapid.SampledFrom([]string{"east-a", "east-b", "west-a"}).Draw(t, "zone"), rapid.IntRange(1, 4).Draw(t, "slots"))
				r.Draining = rapid.Bool().Draw(t, "draining")
				if old, ok := listed[r.ID]; ok && old.Zone != r.Zone {
					inFlight[r.ID] = 0
				}
				listed[r.ID] = r
				f.Register(now, r)
			},
			"remove": func(*rapid.T) {
				id := name()
				delete(listed, id)
				inFlight[id] = 0
				f.Remove(id)
			},
			"read": func(t *rapid.T) {
				f.RecordLoad(now, name(), magnolialedge.LoadReading{Running: rapid.IntRange(0, 9).Draw(t, "running"), Slowdown: rapid.Float64Range(0, 9).Draw(t, "slowness")})
			},
			"unreachable": func(*rapid.T) { f.MarkUnreachable(now, name()) },
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"send": func(t *rapid.T) {
				n := need(now)
				n.Tried = []string{name()}
				n.Idempotent = rapid.Bool().Draw(t, "repeatable")
				found, fit := f.Candidates(now, n, 3)
				require.True(t, fit || len(found) == 0)
				for _, c := range found {
					r, ok := listed[c.ID]
					require.True(t, ok && !r.Draining, "%s may not take work", c.ID)
					require.False(t, slices.Contains(n.Tried, c.ID))
					require.Less(t, inFlight[c.ID], max(1, c.Slots))
				}
				if len(found) > 0 {
					f.BeginAttempt(found[0].ID)
					inFlight[found[0].ID]++
				}
			},
			"end": func(t *rapid.T) {
				id := name()
				if inFlight[id] == 0 {
					return
				}
				inFlight[id]--
				f.EndAttempt(now, AttemptResult{UpstreamID: id, Request: need(now), Duration: time.Duration(rapid.IntRange(1, 900).Draw(t, "took")) * time.Millisecond, Slowdown: 1, Status: AttemptStatus(rapid.IntRange(0, 4).Draw(t, "ending"))})
			},
		})
	})
}

// TestEveryWaiterIsToldOnce lets requests wait, leave and be woken in any order.
func TestEveryWaiterIsToldOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet()
		f.Register(start, registration("a", "east-a", 2))
		now := start
		var q Queue
		told := map[*Waiter]int{}
		waiting := []*Waiter{}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n := need(now)
				n.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				w := &Waiter{Request: n, EnqueuedAt: now}
				w.Wake = func(WakeReason) { told[w]++ }
				if q.Push(now, w, f) {
					waiting = append(waiting, w)
				}
			},
			"leave": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				w := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "who")]
				if q.Remove(w) {
					told[w]++
				}
			},
			"fill": func(*rapid.T) { f.BeginAttempt("a") },
			"free": func(*rapid.T) { f.EndAttempt(now, AttemptResult{UpstreamID: "a", Status: AttemptCanceled}) },
			"run": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				q.Dispatch(now, f)
			},
			"": func(t *rapid.T) {
				for _, w := range waiting {
					require.LessOrEqual(t, told[w], 1)
				}
			},
		})
		q.Dispatch(now.Add(time.Minute), f)
		require.Zero(t, q.Len())
		for _, w := range waiting {
			require.Equal(t, 1, told[w])
		}
	})
}

func TestMain(m *testing.M) {
	seed.Main(m)
}
