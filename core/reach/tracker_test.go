package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// upstreamAt returns upstream number i of a service, in one of three zones.
func upstreamAt(service string, i int) Upstream {
	return Upstream{ID: fmt.Sprintf("%s-%d", service, i), Service: service, Zone: fmt.Sprintf("zone-%d", i%3)}
}

var (
	largeService = Census{Upstreams: 12, Zones: 3}
	largeFleet   = Census{Upstreams: 36, Zones: 3}
)

// loseAll records failures of the given number of upstreams of each service.
func loseAll(t *Tracker, now time.Time, n int, services ...string) (changes []Change) {
	for _, s := range services {
		for i := range n {
			changes = append(changes, t.RecordFailure(now, upstreamAt(s, i), largeService, largeFleet)...)
		}
	}
	return changes
}

func TestWhenLinksCountAsLost(t *testing.T) {
	one := Census{Upstreams: 1, Zones: 1}
	for name, c := range map[string]struct {
		failed           []Upstream
		responses        int
		service, all     Census
		lost, isIsolated bool
	}{
		"some upstreams of one zone fail":        {failed: []Upstream{upstreamAt("a", 0), upstreamAt("a", 3), upstreamAt("a", 6), upstreamAt("a", 9)}, service: largeService, all: largeFleet},
		"two upstreams fail":                     {failed: []Upstream{upstreamAt("a", 0), upstreamAt("a", 1)}, service: largeService, all: largeFleet},
		"three upstreams in two zones fail":      {failed: []Upstream{upstreamAt("a", 0), upstreamAt("a", 1), upstreamAt("a", 2)}, service: largeService, all: largeFleet, lost: true},
		"one upstream fails three times":         {failed: []Upstream{upstreamAt("a", 0), upstreamAt("a", 0), upstreamAt("a", 0)}, service: largeService, all: largeFleet},
		"four upstreams of two services fail":    {failed: []Upstream{upstreamAt("a", 0), upstreamAt("a", 1), upstreamAt("b", 2), upstreamAt("b", 0)}, service: largeService, all: largeFleet, lost: true, isIsolated: true},
		"the only upstream of a service":         {failed: []Upstream{upstreamAt("a", 0)}, service: one, all: largeFleet, lost: true},
		"the only upstream at all":               {failed: []Upstream{upstreamAt("a", 0)}, service: one, all: one, lost: true},
		"the others respond between failures":    {failed: []Upstream{upstreamAt("a", 0), upstreamAt("a", 1), upstreamAt("a", 2)}, responses: 1, service: largeService, all: largeFleet},
		"two upstreams, which are all there are": {failed: []Upstream{upstreamAt("a", 0), upstreamAt("a", 1)}, service: Census{2, 2}, all: Census{2, 2}, lost: true, isIsolated: true},
	} {
		t.Run(name, func(t *testing.T) {
			tr := NewTracker()
			for i, u := range c.failed {
				tr.RecordFailure(at(10*i), u, c.service, c.all)
				for range c.responses {
					tr.RecordResponse(at(10*i+5), at(0), upstreamAt(u.Service, 11), c.service)
				}
			}
			require.Equal(t, c.lost, tr.StateAt(at(100), "a") == Lost)
			require.Equal(t, c.lost, !tr.AllowsDirect(at(100), "a"))
			require.Equal(t, c.isIsolated, tr.IsIsolated())
		})
	}
}

func TestFailuresAreForgotten(t *testing.T) {
	tr := NewTracker()
	for i := range 6 {
		tr.RecordFailure(at(4000*i), upstreamAt("a", i), largeService, largeFleet)
		require.Equal(t, Reached, tr.StateAt(at(4000*i), "a"))
	}
}

func TestChangesOfIsolation(t *testing.T) {
	tr := NewTracker()
	tr.RecordResponse(at(0), at(0), upstreamAt("b", 1), largeService)
	changes := loseAll(tr, at(100), 4, "a")
	require.Equal(t, []Change{
		{Service: "a", State: Lost, Failed: 3, ResponseAge: -1},
		{Service: "b", State: Lost, ResponseAge: 100 * time.Millisecond},
	}, changes)
	require.True(t, tr.IsIsolated())
}

func TestRequestsReturnByDegrees(t *testing.T) {
	tr := NewTracker()
	loseAll(tr, at(0), 4, "a")
	_, changed := tr.RecordResponse(at(500), at(-100), upstreamAt("a", 5), largeService)
	require.False(t, changed)
	_, changed = tr.RecordResponse(at(500), at(490), upstreamAt("a", 6), largeService)
	require.False(t, changed, "one upstream is not enough, and connections from before the loss prove nothing")
	c, changed := tr.RecordResponse(at(600), at(590), upstreamAt("a", 7), largeService)
	require.True(t, changed)
	require.Equal(t, Returning, c.State)
	shares := []float64{}
	for phase := range 4 {
		direct := 0
		for i := range 100 {
			if tr.AllowsDirect(at(600+300*phase+3*i), "a") {
				direct++
			}
		}
		shares = append(shares, float64(direct)/100)
	}
	require.InDelta(t, 0.15, shares[0], 0.1)
	require.InDelta(t, 0.45, shares[1], 0.1)
	require.InDelta(t, 0.75, shares[2], 0.1)
	require.InDelta(t, 1, shares[3], 0.1)
	require.True(t, tr.IsIsolated(), "until a response arrives after the return")
	tr.RecordResponse(at(1900), at(590), upstreamAt("a", 7), largeService)
	require.False(t, tr.IsIsolated())
}

// Load pattern: a link that comes and goes. Each loss lasts longer than the one before,
// so that requests do not move back and forth with the link.
func TestLinkThatComesAndGoesIsUsedLessAndLess(t *testing.T) {
	tr := NewTracker()
	returns := 0
	for ms := 0; ms < 20_000; ms += 10 {
		now := at(ms)
		u := upstreamAt("a", ms/10%12)
		if ms/500%2 == 0 {
			tr.RecordFailure(now, u, largeService, largeFleet)
		} else if _, changed := tr.RecordResponse(now, now, u, largeService); changed {
			returns++
		}
	}
	require.LessOrEqual(t, returns, 6)
	require.Positive(t, returns)
}

func TestServiceThatCannotBeProbedReturnsUnproven(t *testing.T) {
	tr := NewTracker()
	loseAll(tr, at(0), 4, "a")
	_, changed := tr.ReturnUnproven(at(1900), "a")
	require.False(t, changed)
	c, changed := tr.ReturnUnproven(at(2000), "a")
	require.True(t, changed)
	require.Equal(t, Returning, c.State)
	_, changed = tr.ReturnUnproven(at(2001), "a")
	require.False(t, changed)
	require.True(t, tr.IsIsolated())
	_, changed = tr.ReturnUnproven(at(3100), "a")
	require.False(t, changed)
	require.False(t, tr.IsIsolated())
}

func TestSilentServiceStaysReached(t *testing.T) {
	tr := NewTracker()
	tr.RecordResponse(at(0), at(0), upstreamAt("a", 1), largeService)
	require.Equal(t, Reached, tr.StateAt(at(3_600_000), "a"), "no traffic is no failure")
	require.Equal(t, Reached, tr.StateAt(at(0), "unknown"))
}
