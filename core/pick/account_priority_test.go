package pick

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an urgent route of a less urgent account that is served first.
func TestAccountPriorityComesBeforeRoutePriority(t *testing.T) {
	now := time.Unix(0, 0)
	waiter := func(account, route int) *Waiter {
		return &Waiter{Request: Request{AccountPriority: account, Priority: route, SoftDeadline: now.Add(time.Hour)}}
	}
	f := newTestFleet()
	isBefore := func(now time.Time, a, b *Waiter, f *Fleet) bool {
		return (&Queue{}).order(now, []*Waiter{b, a}, f)[0].waiter == a
	}
	require.True(t, isBefore(now, waiter(0, 9), waiter(1, 0), f))
	require.False(t, isBefore(now, waiter(1, 0), waiter(0, 9), f))
	require.True(t, isBefore(now, waiter(1, 0), waiter(1, 1), f))
}
