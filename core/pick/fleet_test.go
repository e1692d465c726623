package pick

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func newTestFleet() *Fleet {
	return NewFleet(Config{
		Zone:          "east-a",
		Regions:       map[string]string{"east-a": "east", "east-b": "east", "west-a": "west"},
		TransferCosts: TransferCosts{CrossZonePerKB: 4 * time.Millisecond, CrossRegionPerKB: 30 * time.Millisecond},
		Seed:          1,
	})
}

func registration(id, zone string, slots int) magnolialedge.Registration {
	return magnolialedge.Registration{ID: id, Service: "reads", Address: "127.0.0.1:1", Zone: zone, Slots: slots}
}

// need is a request that arrived at the given moment with an aim of 250 ms and a
// deadline of one second. Its work takes 75 ms before any is measured.
func need(arrived time.Time) Request {
	return Request{
		Service:       "reads",
		Route:         "lookup",
		Idempotent:    true,
		SoftDeadline:  arrived.Add(250 * time.Millisecond),
		LatencyTarget: 250 * time.Millisecond,
		Deadline:      arrived.Add(time.Second),
	}
}

func ids(found []Candidate) []string {
	out := []string{}
	for _, c := range found {
		out = append(out, c.ID)
	}
	return out
}

func TestOwnRegionGoesFirst(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("far", "west-a", 4))
	f.Register(at(0), registration("near", "east-b", 4))
	f.Register(at(0), registration("here", "east-a", 4))
	found, fit := f.Candidates(at(0), need(at(0)), 3)
	require.True(t, fit)
	require.Equal(t, []string{"here", "near", "far"}, ids(found))
}

func TestRequestLeavesItsRegionWhenThatIsFull(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("far", "west-a", 4))
	f.Register(at(0), registration("here", "east-a", 1))
	f.BeginAttempt("here")
	found, _ := f.Candidates(at(0), need(at(0)), 3)
	require.Equal(t, []string{"far"}, ids(found))
}

// Pattern: upstreams turn seven times slower for some hundred milliseconds. A
// request that can still make its aim waits for a fast one; one that can't takes
// what it gets, so that the fast ones are left to the others.
func TestSlowUpstreamIsLeftToRequestsThatAreLateAnyway(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("slow", "east-a", 4))
	f.RecordLoad(at(0), "slow", magnolialedge.LoadReading{Slots: 4, Slowdown: 7})
	found, fit := f.Candidates(at(0), need(at(0)), 3)
	require.True(t, fit)
	require.Empty(t, found)
	late := need(at(-200))
	found, _ = f.Candidates(at(0), late, 3)
	require.Equal(t, []string{"slow"}, ids(found))
}

func TestNothingIsSentWhereItCannotEndInTime(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("slow", "east-a", 4))
	f.RecordLoad(at(0), "slow", magnolialedge.LoadReading{Slots: 4, Slowdown: 7})
	found, fit := f.Candidates(at(0), need(at(-600)), 3)
	require.True(t, fit)
	require.Empty(t, found)
}

// Pattern: upstreams that work slower by more than half when their last slot is
// taken do less with it than without.
func TestLastSlotIsLeftFreeWhereItSlowsTheOthers(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("a", "east-a", 3))
	n := need(at(0))
	f.BeginAttempt("a")
	f.BeginAttempt("a")
	found, _ := f.Candidates(at(0), n, 1)
	require.Len(t, found, 1)
	require.True(t, found[0].TakesLastSlot)
	for range 200 {
		f.BeginAttempt("a")
		f.EndAttempt(at(0), AttemptResult{UpstreamID: "a", Request: n, Duration: 150 * time.Millisecond, Slowdown: 1, TookLastSlot: true, Status: AttemptSucceeded})
	}
	found, _ = f.Candidates(at(0), n, 1)
	require.Empty(t, found)
}

func TestLastSlotIsUsedWhereItCostsLittle(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("a", "east-a", 4))
	n := need(at(0))
	for range 3 {
		f.BeginAttempt("a")
	}
	for range 200 {
		f.BeginAttempt("a")
		f.EndAttempt(at(0), AttemptResult{UpstreamID: "a", Request: n, Duration: 80 * time.Millisecond, Slowdown: 1, TookLastSlot: true, Status: AttemptSucceeded})
	}
	found, _ := f.Candidates(at(0), n, 1)
	require.Len(t, found, 1)
}

func TestRequestsOfOtherEntriesCountUntilTheReadingIsOld(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("a", "east-a", 2))
	f.RecordLoad(at(0), "a", magnolialedge.LoadReading{Running: 2, Slots: 2, Slowdown: 1})
	found, _ := f.Candidates(at(0), need(at(0)), 1)
	require.Empty(t, found)
	found, _ = f.Candidates(at(400), need(at(400)), 1)
	require.Len(t, found, 1)
}

func TestDrainingAndRemovedUpstreamsGetNothing(t *testing.T) {
	f := newTestFleet()
	r := registration("a", "east-a", 2)
	f.Register(at(0), r)
	r.Draining = true
	f.Register(at(10), r)
	_, fit := f.Candidates(at(10), need(at(10)), 1)
	require.False(t, fit)
	f.Remove("a")
	require.Zero(t, f.UpstreamCount("reads"))
}

func TestRebornUpstreamIsTakenAsNew(t *testing.T) {
	f := newTestFleet()
	r := registration("a", "east-a", 2)
	r.StartedAtUnixMs = 1
	f.Register(at(0), r)
	require.True(t, f.MarkUnreachable(at(0), "a"))
	_, fit := f.Candidates(at(10), need(at(10)), 1)
	require.False(t, fit)
	r.StartedAtUnixMs = 2
	f.Register(at(20), r)
	_, fit = f.Candidates(at(20), need(at(20)), 1)
	require.True(t, fit)
}

func TestUpstreamThatMovesToAnotherServiceLeavesTheFirst(t *testing.T) {
	f := newTestFleet()
	r := registration("a", "east-a", 2)
	f.Register(at(0), r)
	r.Service = "writes"
	f.Register(at(10), r)
	require.Zero(t, f.UpstreamCount("reads"))
	require.Equal(t, 1, f.UpstreamCount("writes"))
}

func TestFastFailuresAttractNoWork(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("bad", "east-a", 4))
	f.Register(at(0), registration("good", "east-b", 4))
	n := need(at(0))
	for i := range 2 {
		f.BeginAttempt("bad")
		f.EndAttempt(at(i), AttemptResult{UpstreamID: "bad", Request: n, Duration: time.Millisecond, Slowdown: 1, Status: AttemptFailed})
	}
	found, _ := f.Candidates(at(2), n, 2)
	require.Equal(t, []string{"good", "bad"}, ids(found))
}

// Pattern: a region is short of room for a moment. Small requests leave it; a
// body of 60 kB waits, since its bytes between regions cost more than the wait.
func TestLargeBodyStaysInARegionThatCanServeItLater(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("far", "west-a", 4))
	f.Register(at(0), registration("here", "east-a", 1))
	f.BeginAttempt("here")
	upload := need(at(0))
	upload.BodyBytes = 60_000
	found, fit := f.Candidates(at(0), upload, 3)
	require.True(t, fit)
	require.Empty(t, found)
	f.Remove("here")
	found, _ = f.Candidates(at(0), upload, 3)
	require.Equal(t, []string{"far"}, ids(found))
}

// Pattern: an upstream falls silent. Requests needn't wait until it counts as
// unreachable to go elsewhere.
func TestUpstreamWhoseReadingIsOverdueGoesLast(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("silent", "east-a", 4))
	f.Register(at(0), registration("other", "east-b", 4))
	f.RecordLoadRequest(at(0), "silent")
	found, _ := f.Candidates(at(10), need(at(10)), 2)
	require.Equal(t, "silent", found[0].ID)
	found, _ = f.Candidates(at(50), need(at(50)), 2)
	require.Equal(t, "other", found[0].ID)
	f.RecordLoad(at(60), "silent", magnolialedge.LoadReading{Slots: 4, Slowdown: 1})
	found, _ = f.Candidates(at(60), need(at(60)), 2)
	require.Equal(t, "silent", found[0].ID)
}

// TestUpstreamThatTellsNoLoadIsNotAskedBeforeEachRequest: where no load is told a
// question takes a slot, as a request does.
func TestUpstreamThatTellsNoLoadIsNotAskedBeforeEachRequest(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("u", "east-a", 4))
	f.RecordLiveness(at(0), "u")
	found, _ := f.Candidates(at(500), need(at(500)), 1)
	require.True(t, found[0].IsFresh(at(500)))
	require.Empty(t, f.StaleUpstreams(at(500), "reads", 3))
	found, _ = f.Candidates(at(2500), need(at(2500)), 1)
	require.False(t, found[0].IsFresh(at(2500)))
	f.RecordLoad(at(2500), "u", magnolialedge.LoadReading{Slots: 4, Slowdown: 1})
	found, _ = f.Candidates(at(2600), need(at(2600)), 1)
	require.False(t, found[0].IsFresh(at(2600)))
}

// TestAnswersTellHowSlowAnUpstreamIsThatTellsNoLoad: upstreams turn several times
// slower for half a second; what an answer has just shown counts until it is old.
func TestAnswersTellHowSlowAnUpstreamIsThatTellsNoLoad(t *testing.T) {
	f := newTestFleet()
	for _, id := range []string{"slow", "fast"} {
		f.Register(at(0), registration(id, "east-a", 4))
		f.RecordLiveness(at(0), id)
	}
	end := func(ms int, id string, took time.Duration) {
		f.BeginAttempt(id)
		f.EndAttempt(at(ms), AttemptResult{UpstreamID: id, Request: need(at(ms)), Duration: took, Slowdown: 1, Status: AttemptSucceeded})
	}
	end(100, "fast", 75*time.Millisecond)
	end(100, "slow", 450*time.Millisecond)
	found, _ := f.Candidates(at(110), need(at(110)), 2)
	require.Equal(t, "fast", found[0].ID)
	require.Len(t, found, 1, "a request that can make its aim isn't spent on a slow upstream")
	found, _ = f.Candidates(at(1500), need(at(1500)), 2)
	require.Len(t, found, 2)
}
