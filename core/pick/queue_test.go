package pick

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// recordingQueue is a queue that records the order in which its waiters are
// woken, and the reasons.
type recordingQueue struct {
	Queue
	woken map[string]WakeReason
	order []string
}

func (q *recordingQueue) push(now time.Time, f *Fleet, name string, req Request) bool {
	w := &Waiter{Request: req, EnqueuedAt: now, Wake: func(reason WakeReason) {
		q.woken[name] = reason
		q.order = append(q.order, name)
	}}
	return q.Push(now, w, f)
}

func newFullFleet(slots int) *Fleet {
	f := newTestFleet()
	f.Register(at(0), registration("a", "east-a", slots))
	for range slots {
		f.BeginAttempt(at(0), "a")
	}
	return f
}

func TestDispatchOrdersBySoftDeadlineThenPriority(t *testing.T) {
	f := newFullFleet(3)
	q := &recordingQueue{woken: map[string]WakeReason{}}
	late := testRequest(at(-200))
	inTime := testRequest(at(0))
	urgent := testRequest(at(0))
	urgent.Priority = -1
	require.True(t, q.push(at(0), f, "late", late))
	require.True(t, q.push(at(0), f, "inTime", inTime))
	require.True(t, q.push(at(0), f, "urgent", urgent))
	for range 3 {
		f.EndAttempt(at(5), AttemptResult{UpstreamID: "a", Request: inTime, Status: AttemptCanceled})
		q.Dispatch(at(5), f)
		f.BeginAttempt(at(0), "a")
	}
	require.Equal(t, []string{"urgent", "inTime", "late"}, q.order)
}

// In an overload, if the oldest request were served first, each one would get a
// slot just after its soft deadline.
func TestDispatchPrefersLatestArrival(t *testing.T) {
	f := newFullFleet(1)
	q := &recordingQueue{woken: map[string]WakeReason{}}
	require.True(t, q.push(at(0), f, "earlier", testRequest(at(-50))))
	require.True(t, q.push(at(0), f, "later", testRequest(at(0))))
	f.EndAttempt(at(5), AttemptResult{UpstreamID: "a", Request: testRequest(at(0)), Status: AttemptCanceled})
	q.Dispatch(at(5), f)
	require.Equal(t, "later", q.order[0])
}

// In an overload, requests that cannot be served before their deadline must be
// rejected at once.
func TestPushRejectsWaitBeyondDeadline(t *testing.T) {
	f := newFullFleet(1)
	q := &recordingQueue{woken: map[string]WakeReason{}}
	refused := 0
	for range 40 {
		if !q.push(at(0), f, "x", testRequest(at(0))) {
			refused++
		}
	}
	require.Positive(t, refused)
	require.Less(t, q.Len(), 14, "the queue must not exceed what can be served within one second")
}

func TestDispatchTimesOutWaiter(t *testing.T) {
	f := newFullFleet(1)
	q := &recordingQueue{woken: map[string]WakeReason{}}
	require.True(t, q.push(at(0), f, "x", testRequest(at(0))))
	q.Dispatch(at(200), f)
	require.Empty(t, q.woken)
	q.Dispatch(at(300), f)
	require.Equal(t, WakeTimedOut, q.woken["x"])
	require.Zero(t, q.Len())
}

func TestRetryAfterGrowsWithQueueLength(t *testing.T) {
	f := newFullFleet(2)
	short := f.RetryAfter(at(0), testRequest(at(0)), 0)
	long := f.RetryAfter(at(0), testRequest(at(0)), 10)
	require.Greater(t, long, short)
	require.LessOrEqual(t, long, maxRetryAfter)
}

func TestPushRejectsServiceWithoutUpstreams(t *testing.T) {
	f := newTestFleet()
	q := &recordingQueue{woken: map[string]WakeReason{}}
	require.False(t, q.push(at(0), f, "x", testRequest(at(0))))
	require.Equal(t, maxRetryAfter, f.RetryAfter(at(0), Request{Deadline: at(60_000)}, 0))
}

// After a start of all entries, requests that waited in vain for their latency target
// would be served late although they could come back and be served in time.
func TestStrictQueueRefusesWhatMissesItsTarget(t *testing.T) {
	f := newFullFleet(1)
	q := &recordingQueue{woken: map[string]WakeReason{}}
	q.SetStrictUntil(at(1000))
	untargeted := testRequest(at(0))
	untargeted.LatencyTarget, untargeted.SoftDeadline = 0, at(0)
	require.True(t, q.push(at(0), f, "first", testRequest(at(0))))
	require.True(t, q.push(at(0), f, "untargeted", untargeted))
	require.False(t, q.push(at(0), f, "late", testRequest(at(-150))), "its target would be missed after the wait")
	q.Dispatch(at(180), f)
	require.Equal(t, map[string]WakeReason{"first": WakeTimedOut}, q.woken)
	require.True(t, q.push(at(1000), f, "late", testRequest(at(850))), "the start is over")
}

// Requests must not be refused for a target that no upstream can meet while all are slow,
// nor after an attempt, whose outcome may be unknown.
func TestStrictQueueExemptsSlowServicesAndRetries(t *testing.T) {
	f := newFullFleet(1)
	q := &recordingQueue{woken: map[string]WakeReason{}}
	q.SetStrictUntil(at(1000))
	tried := testRequest(at(-150))
	tried.Tried = []string{"b"}
	require.True(t, q.push(at(0), f, "tried", tried))
	f.RecordLoad(at(0), "a", magnolialedge.LoadReading{Slots: 1, Slowdown: 5})
	require.True(t, q.push(at(0), f, "slow", testRequest(at(-150))))
	q.Dispatch(at(20), f)
	require.NotContains(t, q.woken, "slow")
}
