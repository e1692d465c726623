package proc

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// The shares in the limits of upstreams are computed while requests wait, for each limited
// upstream several times a second.
func BenchmarkShareQuotaOf312Entries(b *testing.B) {
	all := nineZones(35)[:312]
	r := magnolialedge.Registration{ID: "u", Service: "svc", Zone: "z4"}
	for b.Loop() {
		ShareQuota(all, "z4-e1", r, Place{Region: "r1", Zone: "z4"}, []string{testHost})
	}
}

// Each entry of a large fleet must compute the same holders, and their shares must add up
// to the limit.
func TestSharesOfALargeFleetAddUpToTheLimit(t *testing.T) {
	all := nineZones(35)
	for i := range 20 {
		r := magnolialedge.Registration{ID: fmt.Sprint("u", i), Service: "svc", Zone: "z4"}
		sum, holders := 0.0, 0
		for _, in := range all {
			share := ShareQuota(all, in.Name, r, Place{Region: "r1", Zone: "z4"}, []string{testHost, "other.example"})
			sum += share.Fraction
			if share.Fraction > 0 {
				holders++
			}
		}
		require.InDelta(t, 1, sum, 1e-9)
		require.LessOrEqual(t, holders, maxQuotaHolders)
	}
}
