package call

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
	"magnolialedge/io/seed"
)

// TestMain fixes the random seed, so that failures are reproducible.
func TestMain(m *testing.M) {
	seed.Main(m)
}

var planStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// unlimitedBudgets allows and counts every retry and hedge.
type unlimitedBudgets struct {
	retries, hedges int
}

func (b *unlimitedBudgets) SpendRetry() bool {
	b.retries++
	return true
}

func (b *unlimitedBudgets) SpendHedge() bool {
	b.hedges++
	return true
}

// TestStoppingEntryRefusesOnlyWhatDidNotRun guards against a request that is said to be refused
// by a stopping entry although an attempt may have run.
func TestStoppingEntryRefusesOnlyWhatDidNotRun(t *testing.T) {
	leaving := Result{Outcome: magnolialedge.OutcomeNotRun, Leaving: true}
	p := NewPlan(PlanConfig{Class: Idempotent, Deadline: planStart.Add(time.Second), BodyReplayable: true, Budgets: &unlimitedBudgets{}})
	p.Begin(planStart)
	require.Equal(t, Action{Step: StepGiveUp, Kind: magnolialedge.KindLeaving, Outcome: magnolialedge.OutcomeNotRun}, p.AttemptEnded(planStart, leaving))
	p = NewPlan(PlanConfig{Class: Idempotent, Deadline: planStart.Add(time.Second), BodyReplayable: true, Budgets: &unlimitedBudgets{}})
	p.Begin(planStart)
	require.Equal(t, StepSend, p.AttemptEnded(planStart, Result{Outcome: magnolialedge.OutcomeUnknown, UpstreamLost: true}).Step)
	require.Equal(t, Action{Step: StepGiveUp, Kind: magnolialedge.KindUpstreamLost, Outcome: magnolialedge.OutcomeUnknown}, p.AttemptEnded(planStart, leaving))
}

// TestPlanInvariantsUnderRandomEvents checks a Plan under random sequences of
// results, hedges, stalls and deadlines: a non-idempotent request is not sent
// again once it may have run, notRun is reported only for requests that did not
// run, a request has at most one final action, has one when no attempt is in
// flight, and is not sent again after two lost upstreams.
func TestPlanInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		class := rapid.SampledFrom([]Class{Idempotent, AtMostOnce, Keyed}).Draw(t, "class")
		p := NewPlan(PlanConfig{Class: class, Deadline: planStart.Add(time.Second), BodyReplayable: rapid.Bool().Draw(t, "replayable"), Budgets: &unlimitedBudgets{}})
		now := planStart
		inFlight, mayHaveRun, lost, finals := 0, 0, 0, 0
		apply := func(a Action) {
			switch a.Step {
			case StepSend:
				inFlight++
				if class != Idempotent && mayHaveRun > 0 {
					t.Fatal("non-idempotent request sent again after it may have run")
				}
				if lost >= maxUpstreamsLost {
					t.Fatal("request sent to another upstream after the limit of lost upstreams")
				}
			case StepRelay, StepGiveUp:
				finals++
				if a.Step == StepGiveUp && a.Outcome == magnolialedge.OutcomeNotRun && (mayHaveRun > 0 || inFlight > 0) {
					t.Fatal("outcome notRun for a request that may have run")
				}
			}
		}
		apply(p.Begin(now))
		for range 20 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				apply(p.HedgeDue(now))
			case 1:
				apply(p.StallDue(now))
			case 2:
				if now.After(planStart.Add(time.Second)) {
					apply(p.DeadlineExpired())
				}
			default:
				if inFlight == 0 {
					continue
				}
				inFlight--
				r := drawResult(t)
				if r.Outcome != magnolialedge.OutcomeNotRun {
					mayHaveRun++
				}
				if r.UpstreamLost {
					lost++
				}
				apply(p.AttemptEnded(now, r))
			}
		}
		if finals > 1 {
			t.Fatal("request has more than one final action")
		}
		if inFlight == 0 && finals == 0 {
			t.Fatal("request has no final action and no attempt in flight")
		}
	})
}

func drawResult(t *rapid.T) Result {
	return rapid.SampledFrom([]Result{
		{Outcome: magnolialedge.OutcomeNotRun},
		{Outcome: magnolialedge.OutcomeNotRun, NoUpstream: true},
		{Outcome: magnolialedge.OutcomeNotRun, Status: 503},
		{Outcome: magnolialedge.OutcomeNotRun, Status: 503, BodyConsumed: true},
		{Outcome: magnolialedge.OutcomeRan, Status: 200},
		{Outcome: magnolialedge.OutcomeRan, Status: 500},
		{Outcome: magnolialedge.OutcomeUnknown, UpstreamLost: true},
		{Outcome: magnolialedge.OutcomeUnknown},
	}).Draw(t, "result")
}

func TestClassOf(t *testing.T) {
	rules := []magnolialedge.Rule{{Method: "POST", Path: "/permits/*/close"}, {Method: "PUT", Path: "/fees/**"}}
	for _, c := range []struct {
		method, path string
		want         Class
	}{
		{"POST", "/permits/7/close", Keyed},
		{"POST", "//permits/./7/close/", Keyed},
		{"POST", "/permits/%37/clos%65", Keyed},
		{"POST", "/permits/7/x/../close", Keyed},
		{"POST", "/permits/7/8/close", AtMostOnce},
		{"POST", "/permits", AtMostOnce},
		{"PUT", "/fees/1/2/3", Keyed},
		{"PUT", "/fees", Keyed},
		{"PUT", "/fee", Idempotent},
		{"GET", "/permits/7/close", Idempotent},
		{"PATCH", "/x", AtMostOnce},
		{"BREW", "/x", AtMostOnce},
	} {
		require.Equal(t, c.want, ClassOf(rules, c.method, c.path), "%s %s", c.method, c.path)
	}
}

func FuzzParseKey(f *testing.F) {
	f.Add(uuid.Must(uuid.NewV7()).String(), int64(0))
	f.Add("{0190a0a0-0000-7000-8000-000000000000}", int64(1))
	f.Add("7fffffff-ffff-7000-8000-000000000000", int64(1<<40))
	f.Fuzz(func(t *testing.T, text string, ms int64) {
		now := time.UnixMilli(ms)
		k, err := ParseKey(text, now)
		if err != nil {
			require.Contains(t, []magnolialedge.ErrorKind{magnolialedge.KindKeyMissing, magnolialedge.KindKeyMalformed, magnolialedge.KindKeyFromFuture, magnolialedge.KindKeyExpired}, magnolialedge.KindOf(err))
			return
		}
		require.False(t, k.IssuedAt.After(now.Add(MaxClockSkew)))
		require.True(t, k.IssuedAt.Add(KeyTTL).After(now))
	})
}

func FuzzMatchPath(f *testing.F) {
	f.Add("/a/*/b", "/a/1/b")
	f.Add("/a/**", "/a/%2e%2e/b")
	f.Fuzz(func(t *testing.T, pattern, path string) {
		if MatchPath(pattern, path) {
			require.True(t, MatchPath(pattern, path+"/"))
		}
	})
}
