package pick

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

func twoUpstreams(slowness float64) (*Fleet, Request, Candidate) {
	f := newTestFleet()
	f.Register(at(0), registration("first", "east-a", 4))
	f.Register(at(0), registration("other", "east-b", 4))
	n := need(at(0))
	found, _ := f.Candidates(at(0), n, 1)
	f.BeginAttempt("first")
	f.RecordLoad(at(60), "first", magnolialedge.LoadReading{Running: 1, Slots: 4, Slowdown: slowness})
	f.RecordLoad(at(60), "other", magnolialedge.LoadReading{Slots: 4, Slowdown: 1})
	return f, n, found[0]
}

// Pattern: an upstream turns slow while it runs a request that may be repeated.
func TestRequestWhoseUpstreamTurnsSlowGetsASecondAttempt(t *testing.T) {
	f, n, first := twoUpstreams(7)
	p := RunningAttempt{Candidate: first, Elapsed: 60 * time.Millisecond}
	require.True(t, f.IsAttemptSlow(at(60), n, p))
	c, ok := f.HedgeCandidate(at(60), n, p)
	require.True(t, ok)
	require.Equal(t, "other", c.ID)
}

func TestRequestThatGetsOnWellIsLeftAlone(t *testing.T) {
	f, n, first := twoUpstreams(1)
	_, ok := f.HedgeCandidate(at(60), n, RunningAttempt{Candidate: first, Elapsed: 60 * time.Millisecond})
	require.False(t, ok)
}

// Pattern: an upstream takes requests and never answers, while its readings are
// good.
func TestRequestAtAnUpstreamThatHangsGetsASecondAttempt(t *testing.T) {
	f, n, first := twoUpstreams(1)
	n.SoftDeadline = n.Deadline
	_, ok := f.HedgeCandidate(at(300), n, RunningAttempt{Candidate: first, Elapsed: 300 * time.Millisecond})
	require.True(t, ok)
}

func TestSecondAttemptIsNotMadeWhereItTakesTheLastSlot(t *testing.T) {
	f, n, first := twoUpstreams(7)
	for range 3 {
		f.BeginAttempt("other")
	}
	_, ok := f.HedgeCandidate(at(60), n, RunningAttempt{Candidate: first, Elapsed: 60 * time.Millisecond})
	require.False(t, ok)
}
