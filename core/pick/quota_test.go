package pick

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// fixedQuotas gives this entry the same share in each limit.
type fixedQuotas float64

func (q fixedQuotas) QuotaShare(time.Time, magnolialedge.Registration) magnolialedge.QuotaShare {
	return magnolialedge.QuotaShare{Fraction: float64(q), ExploreInterval: time.Minute}
}

func named(perSecond float64) magnolialedge.RateLimit {
	return magnolialedge.RateLimit{IsSet: true, PerSecond: perSecond}
}

// newLimitedFleet returns a fleet of the given upstreams, all of which announce a limit of 2
// a second.
func newLimitedFleet(share float64, names ...string) *Fleet {
	cfg := testConfig()
	cfg.Quotas = fixedQuotas(share)
	f := NewFleet(cfg)
	for _, id := range names {
		f.Register(at(0), registration(id, "east-a", 4))
		f.RecordLimit(at(0), registration(id, "east-a", 4), at(0), named(2))
	}
	return f
}

// Load pattern: an overloaded upstream announces a limit far below its share of the requests.
func TestLimitedUpstreamReceivesNoMoreThanItsLimit(t *testing.T) {
	f := newLimitedFleet(1, "limited")
	f.Register(at(0), registration("other", "east-a", 4))
	sent := map[string]int{}
	for ms := 0; ms < 10_000; ms += 5 {
		found, _ := f.Candidates(at(ms), testRequest(at(ms)), 1)
		require.Len(t, found, 1)
		f.BeginAttempt(at(ms), found[0].ID)
		f.EndAttempt(at(ms), AttemptResult{UpstreamID: found[0].ID, Request: testRequest(at(ms)), Status: AttemptCanceled})
		sent[found[0].ID]++
	}
	require.LessOrEqual(t, sent["limited"], 20)
	require.Greater(t, sent["limited"], 15)
}

// Load pattern: all upstreams of a service announce limits below the demand. Requests that
// exceed them wait in the order of their priority, or are refused at once.
func TestAllUpstreamsOfAServiceNameLimits(t *testing.T) {
	f := newLimitedFleet(1, "a", "b")
	found, hasUsable := f.Candidates(at(0), testRequest(at(0)), 1)
	require.Empty(t, found)
	require.True(t, hasUsable, "it may wait")
	q := &recordingQueue{woken: map[string]WakeReason{}}
	require.True(t, q.push(at(0), f, "usual", testRequest(at(0))))
	urgent := testRequest(at(0))
	urgent.Priority = -1
	require.True(t, q.push(at(0), f, "urgent", urgent))
	require.True(t, q.push(at(0), f, "third", testRequest(at(0))))
	require.False(t, q.push(at(0), f, "late", testRequest(at(0))), "four a second, and the others come first")
	require.GreaterOrEqual(t, f.RetryAfter(at(0), testRequest(at(0)), 3), time.Second)
	f.RecordLimit(at(0), registration("a", "east-a", 4), at(0), named(8))
	q.Dispatch(at(130), f)
	require.Equal(t, []string{"urgent"}, q.order, "one request is due at one of them")
}

// Guards against an entry that sends requests to a limited upstream of which others hold
// the limit, and against one that waits for it.
func TestEntryWithoutShareLeavesLimitedUpstreamOut(t *testing.T) {
	f := newLimitedFleet(0, "limited")
	_, hasUsable := f.Candidates(at(5000), testRequest(at(5000)), 1)
	require.False(t, hasUsable)
	require.Equal(t, 1, f.ShortageFor(at(5000), testRequest(at(5000)), 0).Limited, "the log line names the cause")
	require.Equal(t, LimitEnded, f.RecordPeerLimit(at(6000), "limited", 0, magnolialedge.RateLimit{}))
	found, _ := f.Candidates(at(6000), testRequest(at(6000)), 1)
	require.Len(t, found, 1)
}

// Guards against a probe or a second attempt that passes a limit.
func TestLimitCountsProbesAndHedges(t *testing.T) {
	f := newLimitedFleet(1, "limited")
	require.Empty(t, f.StaleUpstreams(at(5000), "reads", 3))
	f.Register(at(0), registration("slow", "east-a", 4))
	found, _ := f.Candidates(at(5000), testRequest(at(5000)), 2)
	require.Len(t, found, 2)
	f.BeginAttempt(at(5000), "limited")
	slow := RunningAttempt{Candidate: Candidate{Registration: registration("slow", "east-a", 4), ServiceTime: 75 * time.Millisecond}, Elapsed: time.Second}
	_, ok := f.HedgeCandidate(at(5010), testRequest(at(5010)), slow)
	require.False(t, ok)
	limited := newLimitedFleet(1, "limited")
	found, _ = limited.Candidates(at(5000), testRequest(at(5000)), 1)
	require.True(t, found[0].IsFresh(at(5000)), "no probe before the request")
}

// Guards against a limit that is dropped because of a response to an earlier request.
func TestLimitEndsWithTwoResponsesThatNameNone(t *testing.T) {
	none := magnolialedge.RateLimit{}
	f := newLimitedFleet(1, "limited")
	f.Register(at(0), registration("free", "east-a", 4))
	require.Equal(t, LimitUnchanged, f.RecordLimit(at(100), registration("free", "east-a", 4), at(50), none))
	require.Equal(t, LimitUnchanged, f.RecordLimit(at(100), registration("limited", "east-a", 4), at(-50), none), "sent before the limit was known")
	require.Equal(t, LimitUnchanged, f.RecordLimit(at(200), registration("limited", "east-a", 4), at(150), none))
	require.Equal(t, LimitChanged, f.RecordLimit(at(300), registration("limited", "east-a", 4), at(150), named(3)))
	require.Equal(t, LimitUnchanged, f.RecordLimit(at(400), registration("limited", "east-a", 4), at(350), none))
	require.Equal(t, LimitEnded, f.RecordLimit(at(500), registration("limited", "east-a", 4), at(350), none))
	_, isLimited := f.QuotaRate("limited")
	require.False(t, isLimited)
}

// Guards against a limit of one run of an upstream that applies to the next one, and
// against a report about an earlier run.
func TestLimitBelongsToOneRun(t *testing.T) {
	f := newLimitedFleet(1, "limited")
	restarted := registration("limited", "east-a", 4)
	restarted.StartedAtUnixMs = 5
	f.Register(at(100), restarted)
	_, isLimited := f.QuotaRate("limited")
	require.False(t, isLimited)
	require.Equal(t, LimitUnchanged, f.RecordPeerLimit(at(200), "limited", 4, named(1)))
	require.Equal(t, LimitBegun, f.RecordPeerLimit(at(200), "limited", 5, named(1)))
	require.Equal(t, LimitUnchanged, f.RecordPeerLimit(at(200), "unknown", 5, named(1)))
}
