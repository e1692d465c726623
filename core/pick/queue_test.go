package pick

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// line is a queue whose waiters note in which order they were woken.
type line struct {
	Queue
	woken map[string]WakeReason
	order []string
}

func (l *line) push(now time.Time, f *Fleet, name string, n Request) bool {
	w := &Waiter{Request: n, EnqueuedAt: now, Wake: func(v WakeReason) {
		l.woken[name] = v
		l.order = append(l.order, name)
	}}
	return l.Push(now, w, f)
}

func fullFleet(slots int) *Fleet {
	f := newTestFleet()
	f.Register(at(0), registration("a", "east-a", slots))
	for range slots {
		f.BeginAttempt("a")
	}
	return f
}

func TestUrgentRequestsGoFirstThenThoseInTime(t *testing.T) {
	f := fullFleet(3)
	l := &line{woken: map[string]WakeReason{}}
	late := need(at(-200))
	inTime := need(at(0))
	urgent := need(at(0))
	urgent.Priority = -1
	require.True(t, l.push(at(0), f, "late", late))
	require.True(t, l.push(at(0), f, "inTime", inTime))
	require.True(t, l.push(at(0), f, "urgent", urgent))
	for range 3 {
		f.EndAttempt(at(5), AttemptResult{UpstreamID: "a", Request: inTime, Status: AttemptCanceled})
		l.Dispatch(at(5), f)
		f.BeginAttempt("a")
	}
	require.Equal(t, []string{"urgent", "inTime", "late"}, l.order)
}

// Pattern: an overload, in which each would get room just after its aim if the
// oldest went first.
func TestYoungestGoesFirstAmongThoseInTime(t *testing.T) {
	f := fullFleet(1)
	l := &line{woken: map[string]WakeReason{}}
	require.True(t, l.push(at(0), f, "old", need(at(-50))))
	require.True(t, l.push(at(0), f, "young", need(at(0))))
	f.EndAttempt(at(5), AttemptResult{UpstreamID: "a", Request: need(at(0)), Status: AttemptCanceled})
	l.Dispatch(at(5), f)
	require.Equal(t, "young", l.order[0])
}

// Pattern: an overload. Who would wait in vain is told so at once.
func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	f := fullFleet(1)
	l := &line{woken: map[string]WakeReason{}}
	refused := 0
	for range 40 {
		if !l.push(at(0), f, "x", need(at(0))) {
			refused++
		}
	}
	require.Positive(t, refused)
	require.Less(t, l.Len(), 14, "no more wait than can be served within a second")
}

func TestWaiterIsToldWhenItHasBecomeTooLate(t *testing.T) {
	f := fullFleet(1)
	l := &line{woken: map[string]WakeReason{}}
	require.True(t, l.push(at(0), f, "x", need(at(0))))
	l.Dispatch(at(400), f)
	require.Empty(t, l.woken)
	l.Dispatch(at(600), f)
	require.Equal(t, WakeTimedOut, l.woken["x"])
	require.Zero(t, l.Len())
}

func TestRetryAfterGrowsWithTheQueue(t *testing.T) {
	f := fullFleet(2)
	short := f.RetryAfter(at(0), need(at(0)), 0)
	long := f.RetryAfter(at(0), need(at(0)), 10)
	require.Greater(t, long, short)
	require.LessOrEqual(t, long, mostRetryAfter)
}

func TestNobodyWaitsForAServiceWithoutUpstreams(t *testing.T) {
	f := newTestFleet()
	l := &line{woken: map[string]WakeReason{}}
	require.False(t, l.push(at(0), f, "x", need(at(0))))
	require.Equal(t, mostRetryAfter, f.RetryAfter(at(0), Request{Deadline: at(60_000)}, 0))
}
