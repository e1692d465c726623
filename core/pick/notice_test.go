package pick

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// canUse reports whether an upstream is the candidate for a request.
func canUse(f *Fleet, now time.Time) bool {
	found, _ := f.Candidates(now, testRequest(now), 1)
	return len(found) == 1
}

func succeed(f *Fleet, now time.Time, id string, took time.Duration) {
	f.EndAttempt(now, AttemptResult{UpstreamID: id, Request: testRequest(now), Duration: took, Status: AttemptSucceeded})
}

// Load pattern: an upstream that is short of room asks the entry to back off. Requests
// return one by one.
func TestPausedUpstreamReturnsWithOneRequest(t *testing.T) {
	f := newTestFleet()
	r := registration("a", "east-a", 4)
	f.Register(at(0), r)
	f.BeginAttempt(at(0), "a")
	require.True(t, f.RecordRetryAfter(at(10), r, 2*time.Second))
	require.False(t, f.RecordRetryAfter(at(20), r, time.Second), "the longer time stands")
	succeed(f, at(60), "a", 60*time.Millisecond)
	require.False(t, canUse(f, at(2009)))
	require.False(t, f.MayProbe(at(2009), "a"))
	require.InDelta(t, 1500, f.RetryAfter(at(510), testRequest(at(510)), 0).Milliseconds(), 1)
	require.True(t, canUse(f, at(2010)))
	f.BeginAttempt(at(2010), "a")
	require.False(t, canUse(f, at(2011)), "the first request has not been executed yet")
	succeed(f, at(2100), "a", 90*time.Millisecond)
	f.BeginAttempt(at(2100), "a")
	require.True(t, canUse(f, at(2100)))
}

// Guards against an upstream that is used again although its run is leaving, because the
// store lists it as ready, or again.
func TestNoticeOutlivesTheRegistration(t *testing.T) {
	f := newTestFleet()
	r := registration("a", "east-a", 4)
	f.Register(at(0), r)
	require.True(t, f.RecordLeaving(r))
	require.False(t, f.RecordLeaving(r))
	f.Register(at(100), r)
	require.False(t, canUse(f, at(100)))
	f.Remove(at(200), "a")
	f.Register(at(300), r)
	require.False(t, canUse(f, at(300)))
	next := r
	next.StartedAtUnixMs = 7
	f.Register(at(400), next)
	require.True(t, canUse(f, at(400)))
	require.False(t, f.RecordLeaving(r), "a late response of the earlier run")
	require.True(t, canUse(f, at(400)))
}

// Guards against a notice that applies to another upstream at the same address.
func TestNoticeBelongsToItsUpstream(t *testing.T) {
	f := newTestFleet()
	r := registration("a", "east-a", 4)
	f.Register(at(0), r)
	f.RecordLeaving(r)
	f.RecordRetryAfter(at(0), r, time.Hour)
	f.Remove(at(100), "a")
	f.Register(at(100), registration("b", "east-a", 4))
	require.True(t, canUse(f, at(100)))
	require.False(t, f.RecordLeaving(magnolialedge.Registration{ID: "unknown"}))
}
