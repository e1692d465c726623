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

func testConfig() Config {
	return Config{
		Zone:          "east-a",
		Regions:       map[string]string{"east-a": "east", "east-b": "east", "west-a": "west"},
		TransferCosts: TransferCosts{CrossZonePerKB: 4 * time.Millisecond, CrossRegionPerKB: 30 * time.Millisecond},
		Seed:          1,
	}
}

func newTestFleet() *Fleet {
	return NewFleet(testConfig())
}

func registration(id, zone string, slots int) magnolialedge.Registration {
	return magnolialedge.Registration{ID: id, Service: "reads", Address: "127.0.0.1:1", Zone: zone, Slots: slots}
}

// testRequest returns a request with a latency target of 250 ms and a deadline
// of one second after its arrival. Its initial service time is 75 ms.
func testRequest(arrivedAt time.Time) Request {
	return Request{
		Service:       "reads",
		Route:         "lookup",
		Idempotent:    true,
		SoftDeadline:  arrivedAt.Add(250 * time.Millisecond),
		LatencyTarget: 250 * time.Millisecond,
		Deadline:      arrivedAt.Add(time.Second),
	}
}

func ids(found []Candidate) []string {
	out := []string{}
	for _, c := range found {
		out = append(out, c.ID)
	}
	return out
}

func TestCandidatesPreferLocalRegion(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("far", "west-a", 4))
	f.Register(at(0), registration("near", "east-b", 4))
	f.Register(at(0), registration("here", "east-a", 4))
	found, hasUsable := f.Candidates(at(0), testRequest(at(0)), 3)
	require.True(t, hasUsable)
	require.Equal(t, []string{"here", "near", "far"}, ids(found))
}

func TestCandidatesUseOtherRegionWhenLocalRegionIsFull(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("far", "west-a", 4))
	f.Register(at(0), registration("here", "east-a", 1))
	f.BeginAttempt(at(0), "here")
	found, _ := f.Candidates(at(0), testRequest(at(0)), 3)
	require.Equal(t, []string{"far"}, ids(found))
}

// Upstreams become seven times slower for a few hundred milliseconds. A request
// that can still meet its soft deadline waits for a fast upstream; one that
// cannot uses the slow one and leaves the fast ones to others.
func TestSlowUpstreamServesOnlyRequestsPastSoftDeadline(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("slow", "east-a", 4))
	f.RecordLoad(at(0), "slow", magnolialedge.LoadReading{Slots: 4, Slowdown: 7})
	found, hasUsable := f.Candidates(at(0), testRequest(at(0)), 3)
	require.True(t, hasUsable)
	require.Empty(t, found)
	lateRequest := testRequest(at(-200))
	found, _ = f.Candidates(at(0), lateRequest, 3)
	require.Equal(t, []string{"slow"}, ids(found))
}

func TestCandidatesExcludeUpstreamThatMissesDeadline(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("slow", "east-a", 4))
	f.RecordLoad(at(0), "slow", magnolialedge.LoadReading{Slots: 4, Slowdown: 7})
	found, hasUsable := f.Candidates(at(0), testRequest(at(-600)), 3)
	require.True(t, hasUsable)
	require.Empty(t, found)
}

// Upstreams that become more than 50% slower when their last slot is in use
// have a lower throughput with it than without it.
func TestLastSlotIsAvoidedUnderHighContention(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("a", "east-a", 3))
	req := testRequest(at(0))
	f.BeginAttempt(at(0), "a")
	f.BeginAttempt(at(0), "a")
	found, _ := f.Candidates(at(0), req, 1)
	require.Len(t, found, 1)
	require.True(t, found[0].TakesLastSlot)
	for range 200 {
		f.BeginAttempt(at(0), "a")
		f.EndAttempt(at(0), AttemptResult{UpstreamID: "a", Request: req, Duration: 150 * time.Millisecond, Slowdown: 1, TookLastSlot: true, Status: AttemptSucceeded})
	}
	found, _ = f.Candidates(at(0), req, 1)
	require.Empty(t, found)
}

func TestLastSlotIsUsedUnderLowContention(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("a", "east-a", 4))
	req := testRequest(at(0))
	for range 3 {
		f.BeginAttempt(at(0), "a")
	}
	for range 200 {
		f.BeginAttempt(at(0), "a")
		f.EndAttempt(at(0), AttemptResult{UpstreamID: "a", Request: req, Duration: 80 * time.Millisecond, Slowdown: 1, TookLastSlot: true, Status: AttemptSucceeded})
	}
	found, _ := f.Candidates(at(0), req, 1)
	require.Len(t, found, 1)
}

func TestOtherEntriesLoadDecaysWithReadingAge(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("a", "east-a", 2))
	f.RecordLoad(at(0), "a", magnolialedge.LoadReading{Running: 2, Slots: 2, Slowdown: 1})
	found, _ := f.Candidates(at(0), testRequest(at(0)), 1)
	require.Empty(t, found)
	found, _ = f.Candidates(at(400), testRequest(at(400)), 1)
	require.Len(t, found, 1)
}

func TestDrainingAndRemovedUpstreamsAreExcluded(t *testing.T) {
	f := newTestFleet()
	r := registration("a", "east-a", 2)
	f.Register(at(0), r)
	r.Draining = true
	f.Register(at(10), r)
	_, hasUsable := f.Candidates(at(10), testRequest(at(10)), 1)
	require.False(t, hasUsable)
	f.Remove(at(0), "a")
	require.Zero(t, f.UpstreamCount("reads"))
}

func TestRestartedUpstreamDiscardsBackoff(t *testing.T) {
	f := newTestFleet()
	r := registration("a", "east-a", 2)
	r.StartedAtUnixMs = 1
	f.Register(at(0), r)
	require.True(t, f.MarkUnreachable(at(0), "a"))
	_, hasUsable := f.Candidates(at(10), testRequest(at(10)), 1)
	require.False(t, hasUsable)
	r.StartedAtUnixMs = 2
	f.Register(at(20), r)
	_, hasUsable = f.Candidates(at(20), testRequest(at(20)), 1)
	require.True(t, hasUsable)
}

func TestRegisterMovesUpstreamToNewService(t *testing.T) {
	f := newTestFleet()
	r := registration("a", "east-a", 2)
	f.Register(at(0), r)
	r.Service = "writes"
	f.Register(at(10), r)
	require.Zero(t, f.UpstreamCount("reads"))
	require.Equal(t, 1, f.UpstreamCount("writes"))
}

func TestFastFailuresDoNotAttractRequests(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("bad", "east-a", 4))
	f.Register(at(0), registration("good", "east-b", 4))
	req := testRequest(at(0))
	for i := range 2 {
		f.BeginAttempt(at(0), "bad")
		f.EndAttempt(at(i), AttemptResult{UpstreamID: "bad", Request: req, Duration: time.Millisecond, Slowdown: 1, Status: AttemptFailed})
	}
	found, _ := f.Candidates(at(2), req, 2)
	require.Equal(t, []string{"good", "bad"}, ids(found))
}

// The local region has no free slot for a moment. Small requests go to another
// region, but a body of 60 kB waits because its transfer costs more than the
// wait.
func TestLargeBodyWaitsForLocalRegion(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("far", "west-a", 4))
	f.Register(at(0), registration("here", "east-a", 1))
	f.BeginAttempt(at(0), "here")
	upload := testRequest(at(0))
	upload.BodyBytes = 60_000
	found, hasUsable := f.Candidates(at(0), upload, 3)
	require.True(t, hasUsable)
	require.Empty(t, found)
	f.Remove(at(0), "here")
	found, _ = f.Candidates(at(0), upload, 3)
	require.Equal(t, []string{"far"}, ids(found))
}

// An upstream stops responding. Requests must go to other upstreams before it
// is marked as unreachable.
func TestUpstreamWithOverdueProbeIsLeastPreferred(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("silent", "east-a", 4))
	f.Register(at(0), registration("other", "east-b", 4))
	f.RecordProbe(at(0), "silent")
	found, _ := f.Candidates(at(10), testRequest(at(10)), 2)
	require.Equal(t, "silent", found[0].ID)
	found, _ = f.Candidates(at(50), testRequest(at(50)), 2)
	require.Equal(t, "other", found[0].ID)
	f.RecordLoad(at(60), "silent", magnolialedge.LoadReading{Slots: 4, Slowdown: 1})
	found, _ = f.Candidates(at(60), testRequest(at(60)), 2)
	require.Equal(t, "silent", found[0].ID)
}

// A probe of an upstream that reports no load takes a slot, as any request
// does, so it must not precede each request.
func TestUpstreamThatReportsNoLoadIsNotProbedBeforeEachRequest(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("u", "east-a", 4))
	f.RecordLiveness(at(0), "u")
	found, _ := f.Candidates(at(500), testRequest(at(500)), 1)
	require.True(t, found[0].IsFresh(at(500)))
	require.Empty(t, f.StaleUpstreams(at(500), "reads", 3))
	found, _ = f.Candidates(at(2500), testRequest(at(2500)), 1)
	require.False(t, found[0].IsFresh(at(2500)))
	f.RecordLoad(at(2500), "u", magnolialedge.LoadReading{Slots: 4, Slowdown: 1})
	found, _ = f.Candidates(at(2600), testRequest(at(2600)), 1)
	require.False(t, found[0].IsFresh(at(2600)))
}

// Upstreams become several times slower for half a second. The slowdown that
// was measured by a response applies until the measurement is too old.
func TestResponseTimesMeasureSlowdownOfUpstreamThatReportsNoLoad(t *testing.T) {
	f := newTestFleet()
	for _, id := range []string{"slow", "fast"} {
		f.Register(at(0), registration(id, "east-a", 4))
		f.RecordLiveness(at(0), id)
	}
	endAttempt := func(ms int, id string, took time.Duration) {
		f.BeginAttempt(at(ms), id)
		f.EndAttempt(at(ms), AttemptResult{UpstreamID: id, Request: testRequest(at(ms)), Duration: took, Slowdown: 1, Status: AttemptSucceeded})
	}
	endAttempt(100, "fast", 75*time.Millisecond)
	endAttempt(100, "slow", 450*time.Millisecond)
	found, _ := f.Candidates(at(110), testRequest(at(110)), 2)
	require.Equal(t, "fast", found[0].ID)
	require.Len(t, found, 1, "a request that can meet its soft deadline is not sent to a slow upstream")
	found, _ = f.Candidates(at(1500), testRequest(at(1500)), 2)
	require.Len(t, found, 2)
}
