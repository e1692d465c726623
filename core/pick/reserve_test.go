package pick

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// newReserveFleet returns a fleet of 6 upstreams with 2 slots each, of which the
// given number is in use.
func newReserveFleet(inFlight int) *Fleet {
	f := newTestFleet()
	for i := range 6 {
		f.Register(at(0), registration(fmt.Sprint("u", i), "east-a", 2))
	}
	for i := range inFlight {
		f.BeginAttempt(at(0), fmt.Sprint("u", i%6))
	}
	return f
}

// Load pattern: a burst fills the slots, and requests that can no longer meet their
// target pile up. They must not take the last slots, in which new requests can still
// be served in time.
func TestLateRequestsLeaveSlotsToNewOnes(t *testing.T) {
	late, inTime := testRequest(at(-200)), testRequest(at(0))
	f := newReserveFleet(9)
	found, hasUsable := f.Candidates(at(0), late, 1)
	require.True(t, hasUsable)
	require.Empty(t, found)
	found, _ = f.Candidates(at(0), inTime, 1)
	require.Len(t, found, 1)
	found, _ = newReserveFleet(4).Candidates(at(0), late, 1)
	require.Len(t, found, 1, "with room for both, late requests are served, too")
}

// An upstream that is too slow for new requests serves the late ones.
func TestSlowUpstreamServesLateRequestsWithoutReserve(t *testing.T) {
	f := newReserveFleet(12)
	f.Register(at(0), registration("slow", "east-a", 2))
	f.RecordLoad(at(0), "slow", magnolialedge.LoadReading{Slots: 2, Slowdown: 5})
	found, _ := f.Candidates(at(0), testRequest(at(-200)), 3)
	require.Equal(t, []string{"slow"}, ids(found))
}

// A route without a latency target has no late requests.
func TestRequestsWithoutTargetNeedNoReserve(t *testing.T) {
	req := testRequest(at(0))
	req.LatencyTarget = 0
	req.SoftDeadline = at(0)
	found, _ := newReserveFleet(11).Candidates(at(0), req, 1)
	require.Len(t, found, 1)
}

// Load pattern: two regions are both short of room. They must not exchange their
// requests: an upstream of another region is used only while half of it is idle.
func TestRegionsShortOfRoomDoNotSwapRequests(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("here", "east-a", 1))
	f.Register(at(0), registration("far", "west-a", 2))
	f.BeginAttempt(at(0), "here")
	found, _ := f.Candidates(at(0), testRequest(at(0)), 1)
	require.Equal(t, []string{"far"}, ids(found))
	f.RecordLoad(at(0), "far", magnolialedge.LoadReading{Running: 1, Slots: 2, Slowdown: 1})
	found, hasUsable := f.Candidates(at(0), testRequest(at(0)), 1)
	require.True(t, hasUsable)
	require.Empty(t, found)
	f.Remove(at(0), "here")
	found, _ = f.Candidates(at(0), testRequest(at(0)), 1)
	require.Equal(t, []string{"far"}, ids(found), "without an upstream of its own, the region uses all slots")
}

// A waiter that cannot be served now must not keep others from the free slots, and
// one free slot wakes one waiter.
func TestDispatchWakesOneWaiterForEachFreeSlot(t *testing.T) {
	f := newReserveFleet(12)
	q := &recordingQueue{woken: map[string]WakeReason{}}
	urgentLate := testRequest(at(-200))
	urgentLate.Priority = -1
	require.True(t, q.push(at(0), f, "urgentLate", urgentLate))
	for i := range 4 {
		require.True(t, q.push(at(0), f, fmt.Sprint("new", i), testRequest(at(i))))
	}
	for _, id := range []string{"u0", "u3"} {
		f.EndAttempt(at(5), AttemptResult{UpstreamID: id, Request: urgentLate, Status: AttemptCanceled})
	}
	q.Dispatch(at(5), f)
	require.Equal(t, []string{"new3", "new2"}, q.order)
	require.Equal(t, 3, q.Len())
}

// Load pattern: all upstreams of a service shed half of their requests although they
// have free slots. Late requests must still be tried at the others.
func TestSheddingUpstreamsDoNotUseUpTheReserve(t *testing.T) {
	f := newReserveFleet(0)
	late := testRequest(at(-200))
	for i := range 5 {
		id := fmt.Sprint("u", i)
		f.RecordLoad(at(0), id, magnolialedge.LoadReading{Slots: 2, Slowdown: 1})
		f.BeginAttempt(at(0), id)
		f.EndAttempt(at(1), AttemptResult{UpstreamID: id, Request: late, Status: AttemptRefused})
	}
	found, _ := f.Candidates(at(2), late, 3)
	require.Equal(t, []string{"u5"}, ids(found))
}

// Load pattern: a region has lost all its upstreams. Late requests use those of other
// regions.
func TestLateRequestsLeaveARegionWithoutUpstreams(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("far", "west-a", 2))
	found, _ := f.Candidates(at(0), testRequest(at(-200)), 1)
	require.Equal(t, []string{"far"}, ids(found))
}

// A waiter that has tried the only free upstream must not keep that slot from others
// of its kind.
func TestWaiterThatTriedTheFreeUpstreamDoesNotBlockOthers(t *testing.T) {
	f := newFullFleet(1)
	q := &recordingQueue{woken: map[string]WakeReason{}}
	require.True(t, q.push(at(0), f, "other", testRequest(at(0))))
	tried := testRequest(at(1))
	tried.Tried = []string{"a"}
	f.Register(at(0), registration("b", "east-a", 1))
	f.BeginAttempt(at(0), "b")
	require.True(t, q.push(at(1), f, "tried", tried))
	f.EndAttempt(at(5), AttemptResult{UpstreamID: "a", Request: tried, Status: AttemptCanceled})
	q.Dispatch(at(5), f)
	require.Equal(t, []string{"other"}, q.order)
}
