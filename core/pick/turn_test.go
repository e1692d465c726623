package pick

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// isBeforeWithoutAccounts is the order of waiters before accounts took turns.
func isBeforeWithoutAccounts(now time.Time, a, b *Waiter, f *Fleet) bool {
	canMeetA, canMeetB := f.CanMeetTarget(now, a.Request), f.CanMeetTarget(now, b.Request)
	if canMeetA != canMeetB {
		return canMeetA
	}
	if a.Request.Priority != b.Request.Priority {
		return a.Request.Priority < b.Request.Priority
	}
	return a.Request.arrivedAt().After(b.Request.arrivedAt())
}

func drawWaiters(t *rapid.T) []*Waiter {
	waiters := make([]*Waiter, rapid.IntRange(1, 30).Draw(t, "waiters"))
	for i := range waiters {
		req := testRequest(at(-rapid.IntRange(0, 300).Draw(t, "ageMs")))
		req.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
		waiters[i] = &Waiter{Request: req, EnqueuedAt: at(0)}
	}
	return waiters
}

// Without accounts, the order and the number of waiters ahead are those of earlier
// releases.
func TestOrderWithoutAccountsIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet()
		waiters := drawWaiters(t)
		last := waiters[len(waiters)-1]
		q := Queue{waiters: waiters[:len(waiters)-1]}
		ahead := 0
		for _, w := range q.waiters {
			if !isBeforeWithoutAccounts(at(0), last, w, f) {
				ahead++
			}
		}
		require.Equal(t, ahead, q.countAhead(at(0), last, f))
		q.TakeTurn(f, last.Request, &last.Turn)
		require.False(t, q.HasTurns(), "accounts must not take turns without accounts")
		var got []*Waiter
		for _, r := range q.order(at(0), waiters, f) {
			got = append(got, r.waiter)
		}
		slices.SortStableFunc(waiters, func(a, b *Waiter) int {
			switch {
			case isBeforeWithoutAccounts(at(0), a, b, f):
				return -1
			case isBeforeWithoutAccounts(at(0), b, a, f):
				return 1
			}
			return 0
		})
		require.Equal(t, waiters, got)
	})
}

// An account that sends many requests at once must not delay the only request of
// another one by more than one turn.
func TestAccountsTakeTurns(t *testing.T) {
	f := newFullFleet(4)
	q := &recordingQueue{woken: map[string]WakeReason{}}
	for i := range 4 {
		many := testRequest(at(i))
		many.Account = "many"
		require.True(t, q.push(at(5), f, "many", many))
	}
	one := testRequest(at(0))
	one.Account = "one"
	require.True(t, q.push(at(5), f, "one", one))
	for range 4 {
		f.EndAttempt(at(5), AttemptResult{UpstreamID: "a", Request: one, Status: AttemptCanceled})
	}
	q.Dispatch(at(6), f)
	require.Contains(t, q.order[:2], "one")
}

// The priority of the account decides before that of the route.
func TestAccountPriorityPrecedesRoutePriority(t *testing.T) {
	f := newFullFleet(1)
	q := &recordingQueue{woken: map[string]WakeReason{}}
	urgentRoute, urgentAccount := testRequest(at(0)), testRequest(at(0))
	urgentRoute.Account, urgentRoute.AccountPriority = "low", 1
	urgentAccount.Account, urgentAccount.Priority = "high", 3
	require.True(t, q.push(at(0), f, "route", urgentRoute))
	require.True(t, q.push(at(0), f, "account", urgentAccount))
	f.EndAttempt(at(5), AttemptResult{UpstreamID: "a", Request: urgentRoute, Status: AttemptCanceled})
	q.Dispatch(at(5), f)
	require.Equal(t, []string{"account"}, q.order)
}

// A request that loses its slot to another one keeps its place and is charged once.
func TestTurnIsChargedOnce(t *testing.T) {
	f := newTestFleet()
	var q Queue
	req := testRequest(at(0))
	req.Account = "a"
	var turn Turn
	q.TakeTurn(f, req, &turn)
	tag := q.turnsOf(req).nextStart("a")
	q.TakeTurn(f, req, &turn)
	require.Equal(t, tag, q.turnsOf(req).nextStart("a"))
	w := &Waiter{Request: req, Turn: turn}
	require.Less(t, q.order(at(0), []*Waiter{w}, f)[0].start, tag)
}

// The finish tags must stay bounded however many accounts there are.
func TestFinishTagsAreBounded(t *testing.T) {
	tags := turns{finish: map[string]float64{}}
	for i := range 10 * maxFinishTags {
		tags.take(string(rune(i)), 1)
		tags.virtualTime++
	}
	require.LessOrEqual(t, len(tags.finish), maxFinishTags)
}
