package pick

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/core/proc"
)

const (
	// simBound is the hard bound for requests in any second with the usual settings.
	simBound = coldLimit*1.5 + 8
	// simStep is the time between two requests of an entry, and simEnd the length of a
	// simulation, in milliseconds.
	simStep = 50
	simEnd  = 9_000
	// simColdAt and simColdAgainAt are the times at which the upstream starts cold.
	simColdAt      = 1_000
	simColdAgainAt = 5_000
	simColdMs      = 3_000
	// simMaxDelay is the longest time until an entry knows of a change.
	simMaxDelay = 3_000
)

// simEntry is one of many entries with one clock. It learns of each change after a delay.
type simEntry struct {
	magnolialedge.Instance
	fleet *Fleet
	sim   *simulation
	// startsAt and stopsAt are in milliseconds; an entry that was there before starts far
	// in the past.
	startsAt, stopsAt int
	// upgradedAt is when the entry restarts with this release. Before, it has protocol 0
	// and its requests are not counted.
	upgradedAt int
	// memberDelay is how late the entry knows of other entries, and upstreamDelay of
	// upstreams.
	memberDelay, upstreamDelay int
	// isCutOff is set for an entry that learns of no change after the cut, while the
	// others learn that it is gone.
	isCutOff bool
	run      int64
}

// simulation holds the entries, and the requests that reach the upstream while it is cold.
type simulation struct {
	entries []*simEntry
	cutAt   int
	sent    []int
}

// QuotaShare implements magnolialedge.QuotaSharer.
func (e *simEntry) QuotaShare(now time.Time, r magnolialedge.Registration) magnolialedge.QuotaShare {
	ms := int(now.Sub(at(0)).Milliseconds())
	keepers := proc.ColdLimitSharers(e.view(ms), r.Service, proc.Place{Region: "r0", Zone: "z0"}, []string{"shop.example"})
	share := proc.ShareAmong(keepers, e.Name, r)
	if ms-max(e.startsAt, e.upgradedAt) < int(proc.MemberSettleTime.Milliseconds()) {
		share.Fraction = 0
	}
	return share
}

// view returns the entries as e knows them.
func (e *simEntry) view(ms int) []magnolialedge.Instance {
	known := ms - e.memberDelay
	if e.isCutOff {
		known = min(known, e.sim.cutAt)
	}
	var out []magnolialedge.Instance
	for _, o := range e.sim.entries {
		isGone := known >= o.stopsAt || (o.isCutOff && !e.isCutOff && known >= e.sim.cutAt)
		if o == e || (o.startsAt <= known && !isGone) {
			in := o.Instance
			if o != e && known < o.upgradedAt {
				in.Protocol = 0
			}
			out = append(out, in)
		}
	}
	return out
}

// newSimulation returns n entries in six zones of three regions, of which some start or
// stop at random times, and half may be cut off.
func newSimulation(n int, rnd *rand.Rand) *simulation {
	s := &simulation{cutAt: simEnd}
	cuts := rnd.IntN(2) == 0
	if cuts {
		s.cutAt = rnd.IntN(simEnd)
	}
	for i := range n {
		zone := i % 6
		e := &simEntry{
			Instance: magnolialedge.Instance{Name: fmt.Sprint("e", i), Region: fmt.Sprint("r", zone/2), Zone: fmt.Sprint("z", zone), Protocol: 1},
			sim:      s, startsAt: -1_000_000, stopsAt: 2 * simEnd,
			memberDelay: rnd.IntN(simMaxDelay), upstreamDelay: rnd.IntN(500), isCutOff: cuts && rnd.IntN(2) == 0,
		}
		switch rnd.IntN(6) {
		case 0:
			e.startsAt = rnd.IntN(simEnd)
		case 1:
			e.stopsAt = rnd.IntN(simEnd)
		}
		e.fleet = NewFleet(Config{Zone: e.Zone, Regions: map[string]string{"z0": "r0", "z1": "r0", "z2": "r1", "z3": "r1", "z4": "r2", "z5": "r2"}, ColdQuotas: e, ColdOverage: 1.5, Seed: uint64(i)})
		e.fleet.SetColdLimits(at(0), map[string]float64{"reads": coldLimit})
		s.entries = append(s.entries, e)
	}
	return s
}

// step lets an entry learn what it can at a time, and send as much as it may.
func (e *simEntry) step(ms int) {
	if ms < max(e.startsAt, e.upgradedAt) || ms >= e.stopsAt {
		return
	}
	for _, coldAt := range []int{simColdAt, simColdAgainAt} {
		if known := coldAt + e.upstreamDelay; ms >= known && ms < known+simStep {
			e.run = int64(coldAt)
			r := coldRegistration("u", e.run)
			r.Zone, r.Slots = "z0", 100
			e.fleet.Register(at(ms), r)
		}
	}
	present := int64(simColdAt)
	if ms >= simColdAgainAt {
		present = simColdAgainAt
	}
	for range 100 {
		found, _ := e.fleet.Candidates(at(ms), testRequest(at(ms)), 1)
		if len(found) == 0 {
			return
		}
		e.fleet.BeginAttempt(at(ms), "u")
		e.fleet.EndAttempt(at(ms), AttemptResult{UpstreamID: "u", Request: testRequest(at(ms)), Status: AttemptCanceled})
		if e.run == present && ms < int(present)+simColdMs {
			e.sim.sent = append(e.sim.sent, ms)
		}
	}
}

// run runs the simulation.
func (s *simulation) run() {
	for ms := 0; ms < simEnd; ms += simStep {
		for _, e := range s.entries {
			e.step(ms)
		}
	}
}

// most returns the largest number of requests in any second.
func (s *simulation) most() int {
	most := 0
	for i, from := range s.sent {
		n, _ := slices.BinarySearch(s.sent[i:], from+1_000)
		most = max(most, n)
	}
	return most
}

// Load pattern: all entries always have requests, while they start, stop and are cut off
// from the store and each other, and know of it after up to 3 s. An upstream starts cold
// twice. It may not receive more than the hard bound in any second, and gets some requests.
func TestEntriesTogetherKeepTheBoundOfAColdUpstream(t *testing.T) {
	for _, size := range []struct{ entries, seeds int }{{14, 60}, {312, 2}} {
		worst, served := 0, 0
		for seed := range size.seeds {
			s := newSimulation(size.entries, rand.New(rand.NewPCG(uint64(seed), 7)))
			s.run()
			require.LessOrEqual(t, float64(s.most()), simBound, "%d entries, seed %d", size.entries, seed)
			worst = max(worst, s.most())
			if len(s.sent) > 0 {
				served++
			}
		}
		t.Logf("%d entries: at most %d requests in a second, some in %d of %d runs", size.entries, worst, served, size.seeds)
		require.Equal(t, size.seeds, served)
	}
}

// Guards against entries that, while others are still of the earlier release, together send
// more than the bound. Load pattern: as above, and entries restart with this release at
// random times until the upstream starts cold for the second time.
func TestUpgradedEntriesTogetherKeepTheBoundOfAColdUpstream(t *testing.T) {
	worst, served := 0, 0
	for seed := range 60 {
		rnd := rand.New(rand.NewPCG(uint64(seed), 8))
		s := newSimulation(14, rnd)
		for _, e := range s.entries {
			e.upgradedAt = rnd.IntN(simColdAgainAt)
		}
		s.run()
		require.LessOrEqual(t, float64(s.most()), simBound, "seed %d", seed)
		worst = max(worst, s.most())
		if len(s.sent) > 0 {
			served++
		}
	}
	t.Logf("at most %d requests in a second, some in %d of 60 runs", worst, served)
	require.Positive(t, served)
}
