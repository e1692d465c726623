package pick

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestShortageTellsHowTheUpstreamsWereReached(t *testing.T) {
	f := newTestFleet()
	for _, id := range []string{"u1", "u2", "u3"} {
		f.Register(at(0), registration(id, "east-a", 4))
	}
	s := f.ShortageFor(at(0), testRequest(at(0)), 0)
	require.Zero(t, s.Unreachable)
	require.Equal(t, time.Duration(-1), s.ContactAge)
	f.RecordContact(at(0), "u1")
	f.RecordContact(at(1000), "u2")
	f.MarkUnreachable(at(2000), "u1")
	f.MarkUnreachable(at(2000), "u3")
	s = f.ShortageFor(at(3000), testRequest(at(3000)), 0)
	require.Equal(t, 2, s.Unreachable)
	require.Equal(t, 2*time.Second, s.ContactAge)
	require.Equal(t, 2, f.UnreachableCount())
}

// Guards against upstreams that stay ejected because this entry's own links failed.
func TestFailuresOfOwnLinksAreDiscarded(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("u1", "east-a", 4))
	f.Register(at(0), registration("u2", "east-a", 4))
	for range 5 {
		f.BeginAttempt(at(0), "u1")
		f.EndAttempt(at(0), AttemptResult{UpstreamID: "u1", Request: testRequest(at(0)), Status: AttemptFailed})
	}
	f.MarkUnreachable(at(0), "u2")
	found, _ := f.Candidates(at(1), testRequest(at(1)), 3)
	require.Empty(t, found)
	f.ResetFailures("reads")
	found, _ = f.Candidates(at(1), testRequest(at(1)), 3)
	require.ElementsMatch(t, []string{"u1", "u2"}, ids(found))
	require.False(t, f.HasUnreachable(testRequest(at(0))))
}

func TestCensusAndLossProbeTargets(t *testing.T) {
	f := newTestFleet()
	_, ok := f.LossProbeTarget(at(0), "reads", true)
	require.False(t, ok)
	f.Register(at(0), registration("near", "east-a", 4))
	f.Register(at(0), registration("far", "west-a", 4))
	leaving := registration("leaving", "east-b", 4)
	leaving.Draining = true
	f.Register(at(0), leaving)
	ofService, ofAll := f.Census("reads")
	require.Equal(t, 2, ofService.Upstreams)
	require.Equal(t, 2, ofService.Zones)
	require.Equal(t, ofService, ofAll)
	for range 10 {
		r, ok := f.LossProbeTarget(at(0), "reads", true)
		require.True(t, ok)
		require.Equal(t, "near", r.ID)
	}
}
