package proc

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// mixedFleet returns entries in six zones of three regions, each with protocol 1 with the
// given probability, and 0 otherwise.
func mixedFleet(r *rand.Rand, n int, upgraded float64) []magnolialedge.Instance {
	var all []magnolialedge.Instance
	for i := range n {
		in := magnolialedge.Instance{Name: fmt.Sprint("e", i), Region: fmt.Sprint("r", i%6/2), Zone: fmt.Sprint("z", i%6)}
		if r.Float64() < upgraded {
			in.Protocol = 1
		}
		all = append(all, in)
	}
	return all
}

// Guards against entries that add their shares in the limit of a cold upstream to what
// entries of an earlier release send, which know of no such limit. Load pattern: 14 and 312
// entries during an upgrade.
func TestColdSharesOfAMixedFleet(t *testing.T) {
	shared := 0
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 0))
		all := mixedFleet(r, []int{14, 312}[seed%2], r.Float64())
		place, hosts := Place{Region: "r0", Zone: "z0"}, []string{"a.example", "b.example"}
		up := magnolialedge.Registration{ID: "u", Service: "svc", Zone: "z0"}
		hasEarlier := slices.ContainsFunc(SteeredEntries(all, up.Service, place, hosts), ignoresColdLimits)
		keepers := ColdLimitSharers(all, up.Service, place, hosts)
		sum := 0.0
		for _, in := range all {
			share := ShareAmong(keepers, in.Name, up).Fraction
			require.False(t, share > 0 && ignoresColdLimits(in), "an entry of protocol 0 counts as a holder")
			sum += share
		}
		if hasEarlier {
			require.Zero(t, sum, "seed %d", seed)
			continue
		}
		require.InDelta(t, 1, sum, 1e-9, "seed %d", seed)
		shared++
	}
	require.Positive(t, shared)
}

// Guards against different shares in an announced limit at entries of two releases. The
// earlier one keeps these limits too, so that its entries are holders.
func TestSharesInAnnouncedLimitsDoNotDependOnTheProtocol(t *testing.T) {
	up := magnolialedge.Registration{ID: "u", Service: "svc", Zone: "z0"}
	place, hosts := Place{Region: "r0", Zone: "z0"}, []string{"a.example", "b.example"}
	for seed := range uint64(50) {
		all := mixedFleet(rand.New(rand.NewPCG(seed, 0)), 60, 0.5)
		earlier := mixedFleet(rand.New(rand.NewPCG(seed, 0)), 60, 0)
		for _, in := range all {
			require.Equal(t, ShareQuota(earlier, in.Name, up, place, hosts), ShareQuota(all, in.Name, up, place, hosts))
		}
	}
}
