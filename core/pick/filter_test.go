package pick

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
)

// newZonesFleet returns a fleet with one upstream in each of three zones: here, near and far.
func newZonesFleet() *Fleet {
	f := newTestFleet()
	f.Register(at(0), registration("here", "east-a", 4))
	f.Register(at(0), registration("near", "east-b", 4))
	f.Register(at(0), registration("far", "west-a", 4))
	return f
}

func requestIn(regions ...string) Request {
	req := testRequest(at(0))
	req.Regions = regions
	return req
}

// Guards against a chooser that overlooks an evacuation.
func TestEvacuatedZoneIsNotChosen(t *testing.T) {
	f := newZonesFleet()
	f.MarkUnreachable(at(0), "here")
	require.True(t, f.SetEvacuated("east-a", true))
	require.False(t, f.SetEvacuated("east-a", true), "a repeated begin is no change")
	f.Register(at(0), registration("late", "east-a", 4))
	req := testRequest(at(1000))
	found, _ := f.Candidates(at(1000), req, 4)
	require.Equal(t, []string{"near", "far"}, ids(found))
	for _, r := range f.StaleUpstreams(at(1000), "reads", 4) {
		require.Equal(t, "near", r.ID)
	}
	require.False(t, f.MayProbe(at(1000), "late"))
	require.False(t, f.HasUnreachable(req), "a zone that is switched off is no lost link")
	require.Equal(t, []string{"near"}, neighborIDs(f, registration("here", "east-a", 4), 4))
	for range 20 {
		r, ok := f.LossProbeTarget(at(1000), "reads", true)
		require.True(t, ok && r.ID == "near")
	}
	census, _ := f.Census("reads")
	require.Equal(t, 2, census.Upstreams)
	require.Equal(t, 2, census.Zones)
	require.Equal(t, 2, f.ShortageFor(at(1000), req, 0).Evacuated)
	require.False(t, f.Permits(registration("here", "east-a", 4), req))
	require.True(t, f.SetEvacuated("east-a", false))
	require.False(t, f.SetEvacuated("east-a", false), "a repeated end is no change")
	found, _ = f.Candidates(at(1000), req, 4)
	require.Len(t, found, 4)
}

// Load: requests for a service of which all zones are evacuated. They are refused at once.
func TestServiceWithoutZonesHasNoUsableUpstream(t *testing.T) {
	f := newZonesFleet()
	for _, zone := range []string{"east-a", "east-b", "west-a"} {
		f.SetEvacuated(zone, true)
	}
	_, hasUsable := f.Candidates(at(0), testRequest(at(0)), 3)
	require.False(t, hasUsable)
	_, ok := f.LossProbeTarget(at(0), "reads", true)
	require.False(t, ok)
	require.Equal(t, maxRetryAfter, f.RetryAfter(at(0), testRequest(at(0)).withDeadline(time.Minute), 0))
	require.Zero(t, f.TotalUpstreams())
}

func (req Request) withDeadline(left time.Duration) Request {
	req.Deadline = req.arrivedAt().Add(left)
	return req
}

// Load: requests that only some regions may serve, with both, one and none of them left.
func TestAllowedRegionsRestrictCandidates(t *testing.T) {
	f := newZonesFleet()
	cases := []struct {
		regions []string
		want    []string
	}{
		{nil, []string{"here", "near", "far"}},
		{[]string{"east"}, []string{"here", "near"}},
		{[]string{"west"}, []string{"far"}},
		{[]string{"west", "east"}, []string{"here", "near", "far"}},
		{[]string{"north"}, []string{}},
		{[]string{}, []string{}},
	}
	for _, c := range cases {
		found, hasUsable := f.Candidates(at(0), testRequest(at(0)).withRegions(c.regions), 3)
		require.Equal(t, c.want, ids(found), "%v", c.regions)
		require.Equal(t, len(c.want) > 0, hasUsable)
	}
	f.MarkUnreachable(at(0), "here")
	f.MarkUnreachable(at(0), "near")
	found, _ := f.Candidates(at(0), requestIn("east", "west"), 3)
	require.Equal(t, []string{"far"}, ids(found), "one of two regions is lost")
	_, hasUsable := f.Candidates(at(0), requestIn("east"), 3)
	require.False(t, hasUsable, "the only region is lost")
	require.True(t, f.HasUnreachable(requestIn("east")))
	require.False(t, f.HasUnreachable(requestIn("west")))
	require.Equal(t, 1, f.ShortageFor(at(0), requestIn("east"), 0).Disallowed)
}

func (req Request) withRegions(regions []string) Request {
	req.Regions = regions
	return req
}

// Guards against a hedge outside the allowed regions or into an evacuated zone.
func TestHedgeHeedsRegionsAndEvacuations(t *testing.T) {
	f, req, first := newRunningAttempt(7)
	attempt := RunningAttempt{Candidate: first, Elapsed: 60 * time.Millisecond}
	_, ok := f.HedgeCandidate(at(60), req.withRegions([]string{"east"}), attempt)
	require.True(t, ok)
	_, ok = f.HedgeCandidate(at(60), req.withRegions([]string{"west"}), attempt)
	require.False(t, ok)
	f.SetEvacuated("east-b", true)
	_, ok = f.HedgeCandidate(at(60), req, attempt)
	require.False(t, ok)
}

// Guards against a waiter that no free upstream may serve holding back the others of its
// route.
func TestBlockedClassesDependOnRegions(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("here", "east-a", 1))
	f.Register(at(0), registration("far", "west-a", 1))
	f.BeginAttempt(at(0), "here")
	f.BeginAttempt(at(0), "far")
	q := &recordingQueue{woken: map[string]WakeReason{}}
	require.True(t, q.push(at(0), f, "east", requestIn("east")))
	require.True(t, q.push(at(0), f, "west", requestIn("west")))
	f.EndAttempt(at(5), AttemptResult{UpstreamID: "far", Request: requestIn("west"), Status: AttemptCanceled})
	q.Dispatch(at(5), f)
	require.Equal(t, []string{"west"}, q.order)
}

// Load: requests wait for two full zones, one of which is evacuated.
func TestStrandedWaitersAreWokenAtOnce(t *testing.T) {
	f := newTestFleet()
	f.Register(at(0), registration("here", "east-a", 1))
	f.Register(at(0), registration("far", "west-a", 1))
	f.BeginAttempt(at(0), "here")
	f.BeginAttempt(at(0), "far")
	q := &recordingQueue{woken: map[string]WakeReason{}}
	require.True(t, q.push(at(0), f, "west", requestIn("west")))
	require.True(t, q.push(at(0), f, "any", testRequest(at(0))))
	f.SetEvacuated("west-a", true)
	q.WakeUnservable(at(1), f)
	require.Equal(t, []string{"west"}, q.order)
	require.Equal(t, 1, q.Len())
}

// Evacuations, returns, registrations, removals and delays come in random order. A simple
// model states which upstreams may be chosen, probed and counted.
func TestFilterMatchesModel(t *testing.T) {
	zones := []string{"east-a", "east-b", "west-a"}
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet()
		now := start
		registered := map[string]magnolialedge.Registration{}
		evacuated := map[string]bool{}
		name := func() string { return fmt.Sprint("u", rapid.IntRange(0, 5).Draw(t, "upstream")) }
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				r := registration(name(), rapid.SampledFrom(zones).Draw(t, "zone"), 4)
				registered[r.ID] = r
				f.Register(now, r)
			},
			"remove": func(*rapid.T) {
				id := name()
				delete(registered, id)
				f.Remove(now, id)
			},
			"evacuate": func(t *rapid.T) {
				zone, active := rapid.SampledFrom(append(zones, "empty")).Draw(t, "zone"), rapid.Bool().Draw(t, "active")
				require.Equal(t, evacuated[zone] != active, f.SetEvacuated(zone, active))
				evacuated[zone] = active
			},
			"pass": func(*rapid.T) { now = now.Add(time.Second) },
			"": func(t *rapid.T) {
				regions := rapid.SampledFrom([][]string{nil, {}, {"east"}, {"west"}, {"west", "east"}}).Draw(t, "regions")
				var want, total []string
				for id, r := range registered {
					if evacuated[r.Zone] {
						continue
					}
					total = append(total, id)
					if regions == nil || slices.Contains(regions, f.cfg.Regions[r.Zone]) {
						want = append(want, id)
					}
				}
				req := testRequest(now).withRegions(regions)
				found, hasUsable := f.Candidates(now, req, 9)
				require.ElementsMatch(t, want, ids(found))
				require.Equal(t, len(want) > 0, hasUsable)
				require.Equal(t, len(total), f.TotalUpstreams())
				require.Equal(t, len(want), f.ShortageFor(now, req, 0).Usable)
				for _, r := range f.Neighbors(now, registration("none", "east-a", 1), 9) {
					require.False(t, evacuated[r.Zone])
				}
			},
		})
	})
}
