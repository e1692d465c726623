package pick

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

const coldLimit = 3.7

func coldRegistration(id string, startedAt int64) magnolialedge.Registration {
	r := registration(id, "east-a", 4)
	r.WarmUpRemaining = 3 * time.Second
	r.StartedAtUnixMs = startedAt
	return r
}

// newColdFleet returns a fleet of the given upstreams, whose service has a limit for cold
// ones.
func newColdFleet(share float64, names ...string) *Fleet {
	cfg := testConfig()
	cfg.ColdQuotas = fixedQuotas(share)
	f := NewFleet(cfg)
	f.SetColdLimits(at(0), map[string]float64{"reads": coldLimit})
	for _, id := range names {
		f.Register(at(0), registration(id, "east-a", 4))
	}
	return f
}

// sendUntil sends a request each 5 ms from one time to another, and returns how many each
// upstream received.
func sendUntil(f *Fleet, from, to int) map[string]int {
	sent := map[string]int{}
	for ms := from; ms < to; ms += 5 {
		found, _ := f.Candidates(at(ms), testRequest(at(ms)), 1)
		if len(found) == 0 {
			continue
		}
		f.BeginAttempt(at(ms), found[0].ID)
		f.EndAttempt(at(ms), AttemptResult{UpstreamID: found[0].ID, Request: testRequest(at(ms)), Status: AttemptCanceled})
		sent[found[0].ID]++
	}
	return sent
}

// Load pattern: the upstreams of a zone return cold, all at once, in a burst of requests.
// Each gets some within seconds, none more than its limit, and all more when it is over.
func TestColdZoneThatReturnsInABurst(t *testing.T) {
	f := newColdFleet(1, "warm")
	for i := range 5 {
		f.Register(at(5_000), coldRegistration(fmt.Sprint("cold", i), 5_000))
	}
	sent := sendUntil(f, 5_000, 8_000)
	for i := range 5 {
		n := sent[fmt.Sprint("cold", i)]
		require.GreaterOrEqual(t, n, 1)
		require.LessOrEqual(t, float64(n), 3*coldLimit)
	}
	require.Greater(t, sent["warm"], 500)
	require.Empty(t, f.ColdUpstreams(at(8_001)))
}

// Load pattern: all upstreams of a service are cold at once. The most urgent request that
// waits is served first.
func TestAllUpstreamsOfAServiceAreCold(t *testing.T) {
	f := newColdFleet(1)
	for _, id := range []string{"a", "b"} {
		f.Register(at(0), coldRegistration(id, 0))
	}
	found, hasUsable := f.Candidates(at(0), testRequest(at(0)), 1)
	require.Empty(t, found)
	require.True(t, hasUsable, "it may wait")
	q := &recordingQueue{woken: map[string]WakeReason{}}
	usual := testRequest(at(0))
	usual.Deadline = at(4_000)
	urgent := usual
	urgent.Priority = -1
	for i := range 3 {
		require.True(t, q.push(at(0), f, fmt.Sprint("usual", i), usual))
	}
	require.True(t, q.push(at(0), f, "urgent", urgent))
	q.Dispatch(at(359), f)
	require.Empty(t, q.order, "the limits start with nothing saved up")
	q.Dispatch(at(365), f)
	require.Len(t, q.order, 2, "one request is due at each")
	require.Equal(t, "urgent", q.order[0])
}

// Load pattern: a busy upstream says in a health response that it is cold again, and later
// that it is not.
func TestUpstreamBecomesColdAgainWhileInUse(t *testing.T) {
	f := newColdFleet(1, "u")
	r, _ := f.Find("u")
	sendUntil(f, 0, 1_000)
	require.True(t, f.RecordCold(at(1_000), r, at(990), 3*time.Second))
	require.False(t, f.RecordCold(at(1_010), r, at(1_005), 3*time.Second), "it is known")
	require.LessOrEqual(t, float64(sendUntil(f, 1_010, 3_010)["u"]), 2*coldLimit)
	require.Empty(t, f.StaleUpstreams(at(3_010), "reads", 3), "a probe is a request too")
	require.False(t, f.MayProbe(at(3_010), "u"))
	require.False(t, f.RecordCold(at(3_010), r, at(999), 0), "sent before the cold time was known")
	require.True(t, f.RecordCold(at(3_020), r, at(3_015), 0))
	require.Equal(t, 200, sendUntil(f, 3_020, 4_020)["u"])
}

// Guards against a report that excludes an upstream for good, and one about another run.
func TestReportsOfColdUpstreamsThatLie(t *testing.T) {
	f := newColdFleet(1, "u")
	r, _ := f.Find("u")
	for _, remaining := range []time.Duration{-time.Second, 0, MaxColdTime + 2*time.Millisecond, 1 << 62} {
		require.False(t, f.RecordCold(at(100), r, at(90), remaining))
		require.False(t, f.RecordPeerCold(at(100), "u", 0, remaining))
	}
	require.False(t, f.RecordPeerCold(at(100), "u", 7, time.Second), "another run")
	require.False(t, f.RecordPeerCold(at(100), "unknown", 0, time.Second))
	tooLong := coldRegistration("u", 0)
	tooLong.WarmUpRemaining = MaxColdTime + 1
	f.Register(at(200), tooLong)
	require.Empty(t, f.ColdUpstreams(at(200)))
	require.True(t, f.RecordPeerCold(at(300), "u", 0, 2*time.Second))
	require.Len(t, f.ColdUpstreams(at(2_299)), 1)
	require.Empty(t, f.ColdUpstreams(at(2_300)), "it ends by itself")
}

// Guards against a limit that returns with an unchanged registration, as from a store that is
// restored or listed by an entry that starts, and one that is lost with it.
func TestRegistrationReadAgainBeginsNoColdTime(t *testing.T) {
	f := newColdFleet(1)
	f.Register(at(0), coldRegistration("old", at(0).Add(-2*time.Minute).UnixMilli()))
	require.Empty(t, f.ColdUpstreams(at(0)), "listed long after its start")
	f.Register(at(0), coldRegistration("new", at(0).Add(-time.Second).UnixMilli()))
	require.Len(t, f.ColdUpstreams(at(0)), 1, "listed soon after its start")
	f.Register(at(5_000), coldRegistration("u", 1))
	f.Remove(at(6_000), "u")
	f.Register(at(6_000), coldRegistration("u", 1))
	require.Len(t, f.ColdUpstreams(at(7_999)), 1)
	f.Register(at(9_000), coldRegistration("u", 1))
	require.Empty(t, f.ColdUpstreams(at(9_000)))
	f.Register(at(9_500), coldRegistration("u", 2))
	require.Len(t, f.ColdUpstreams(at(9_500)), 1, "another run")
}

// Guards against the slow requests of a cold upstream that change what this entry expects
// of warm ones, or of this one afterwards.
func TestSlownessOfAColdUpstreamDoesNotLast(t *testing.T) {
	f := newColdFleet(1, "u")
	req := testRequest(at(0))
	before := f.ServiceTimeNanos(req)
	f.Register(at(0), coldRegistration("u", 0))
	slow := time.Duration(10 * before)
	for ms := 0; ms < 3_000; ms += 100 {
		f.RecordLoad(at(ms), "u", magnolialedge.LoadReading{Slots: 4, Slowdown: 9})
		f.BeginAttempt(at(ms), "u")
		f.EndAttempt(at(ms), AttemptResult{UpstreamID: "u", Request: req, Duration: slow, Slowdown: 1})
	}
	require.Greater(t, f.byID["u"].slowdownAt(at(2_999)), 5.0)
	f.EndAttempt(at(3_100), AttemptResult{UpstreamID: "u", Request: req, Duration: slow, Slowdown: 1})
	require.InDelta(t, before, f.ServiceTimeNanos(req), 1)
	require.InDelta(t, 1, f.byID["u"].slowdownAt(at(3_100)), 0.01)
}

// Guards against a limit of a cold upstream that hides a lower one that it announces, and
// against a retry or hedge that passes it.
func TestLowerLimitOfAColdUpstreamApplies(t *testing.T) {
	f := newColdFleet(1, "u")
	f.cfg.Quotas = fixedQuotas(1)
	f.Register(at(0), coldRegistration("u", 0))
	f.RecordLimit(at(0), registration("u", "east-a", 4), at(0), named(1))
	require.LessOrEqual(t, sendUntil(f, 0, 2_990)["u"], 2)
	f.RecordLimit(at(2_990), registration("u", "east-a", 4), at(2_990), named(1000))
	require.LessOrEqual(t, sendUntil(f, 2_990, 2_999)["u"], 1)
	hedged := newColdFleet(0, "slow")
	hedged.Register(at(0), coldRegistration("cold", 0))
	slow := RunningAttempt{Candidate: Candidate{Registration: registration("slow", "east-a", 4), ServiceTime: 75 * time.Millisecond}, Elapsed: time.Second}
	_, ok := hedged.HedgeCandidate(at(100), testRequest(at(100)), slow)
	require.False(t, ok)
}

// Guards against a decision that differs where no service has a limit for cold upstreams.
func TestWithoutColdLimitColdTimesDecideNothing(t *testing.T) {
	plain, told := newTestFleet(), newTestFleet()
	for i, f := range []*Fleet{plain, told} {
		for _, id := range []string{"a", "b", "c"} {
			f.Register(at(0), coldRegistration(id, 0))
		}
		require.Zero(t, len(f.ColdUpstreams(at(0))), "fleet %d", i)
	}
	for ms := 0; ms < 4_000; ms += 10 {
		r, _ := told.Find("a")
		require.False(t, told.RecordCold(at(ms), r, at(ms), time.Minute))
		require.False(t, told.RecordPeerCold(at(ms), "b", 0, time.Minute))
		var ids []string
		for _, f := range []*Fleet{plain, told} {
			found, _ := f.Candidates(at(ms), testRequest(at(ms)), 3)
			require.NotEmpty(t, found)
			ids = append(ids, fmt.Sprint(found))
			f.BeginAttempt(at(ms), found[0].ID)
			f.EndAttempt(at(ms), AttemptResult{UpstreamID: found[0].ID, Request: testRequest(at(ms)), Duration: 80 * time.Millisecond, Slowdown: 1})
		}
		require.Equal(t, ids[0], ids[1])
	}
}
