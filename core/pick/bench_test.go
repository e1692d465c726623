package pick

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// newLargeFleet returns a fleet of 1000 upstreams of one service, two thirds of
// them in another region.
func newLargeFleet() *Fleet {
	f := newTestFleet()
	for i := range 1000 {
		f.Register(at(0), registration(fmt.Sprint("u", i), []string{"west-a", "west-a", "east-a"}[i%3], 4))
	}
	return f
}

func BenchmarkCandidates(b *testing.B) {
	f := newLargeFleet()
	for b.Loop() {
		f.Candidates(at(0), testRequest(at(0)), 3)
	}
}

// Each selection visits all upstreams of a service. Its allocations must not
// grow with their number, since large fleets run on small instances.
func TestCandidatesAllocationsAreIndependentOfFleetSize(t *testing.T) {
	f := newLargeFleet()
	allocs := testing.AllocsPerRun(20, func() {
		found, _ := f.Candidates(at(0), testRequest(at(0)), 3)
		require.Len(t, found, 3)
	})
	require.Less(t, allocs, 30.0)
}

// BenchmarkPick picks among 300 upstreams of three zones, two thirds of them in the entry's
// region.
func BenchmarkPick(b *testing.B) {
	f := newTestFleet()
	for i := range 300 {
		f.Register(at(0), registration(fmt.Sprint("u", i), []string{"east-a", "east-b", "west-a"}[i%3], 4))
	}
	for b.Loop() {
		f.Candidates(at(0), testRequest(at(0)), 3)
	}
}

// newColdBenchFleet returns a fleet of 300 upstreams, of which every sixth registers as cold,
// with or without a limit for cold ones.
func newColdBenchFleet(limits map[string]float64) *Fleet {
	cfg := testConfig()
	cfg.ColdQuotas = fixedQuotas(0.5)
	f := NewFleet(cfg)
	f.SetColdLimits(at(0), limits)
	for i := range 300 {
		r := registration(fmt.Sprint("u", i), []string{"west-a", "east-b", "east-a"}[i%3], 4)
		if i%6 == 0 {
			r.WarmUpRemaining = MaxColdTime
		}
		f.Register(at(0), r)
	}
	return f
}

// A pick with cold upstreams may take at most 1.1 times that without.
func BenchmarkPickAmong300Upstreams(b *testing.B) {
	for name, limits := range map[string]map[string]float64{"plain": nil, "cold": {"reads": coldLimit}} {
		b.Run(name, func(b *testing.B) {
			f := newColdBenchFleet(limits)
			ms := 0
			for b.Loop() {
				ms = (ms + 1) % 2_000_000
				f.Candidates(at(ms/100), testRequest(at(ms/100)), 3)
			}
		})
	}
}
