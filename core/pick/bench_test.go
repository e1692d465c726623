package pick

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// manyUpstreams has a service of a thousand upstreams, two thirds of them in
// another region.
func manyUpstreams() *Fleet {
	f := newTestFleet()
	for i := range 1000 {
		f.Register(at(0), registration(fmt.Sprint("u", i), []string{"west-a", "west-a", "east-a"}[i%3], 4))
	}
	return f
}

func BenchmarkCandidates(b *testing.B) {
	f := manyUpstreams()
	for b.Loop() {
		f.Candidates(at(0), need(at(0)), 3)
	}
}

// TestPickingAmongAThousandUpstreamsTakesLittle has the pattern of a large fleet on
// small instances, where each pick looks at all upstreams of a service: what it
// allocates must not grow with their number.
func TestPickingAmongAThousandUpstreamsTakesLittle(t *testing.T) {
	f := manyUpstreams()
	allocs := testing.AllocsPerRun(20, func() {
		found, _ := f.Candidates(at(0), need(at(0)), 3)
		require.Len(t, found, 3)
	})
	require.Less(t, allocs, 30.0)
}
