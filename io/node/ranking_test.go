package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// Guards against another order of the sources than that of release 018f8a0: entries of two
// releases side by side could follow each other in a circle, in which no change arrives.
// The expected order was computed by that release.
func TestOrderOfSourcesIsThatOfTheEarlierRelease(t *testing.T) {
	m := newMembers(magnolialedge.Instance{Name: "entry-0", Region: "east"})
	for i, capacity := range []float64{0, 0, 100, 120, 200, 10, 0} {
		name := fmt.Sprint("entry-", i+1)
		m.byName[name] = magnolialedge.Instance{Name: name, Region: "east", CapacityMbps: capacity, Protocol: i % 2}
	}
	var names []string
	for _, in := range m.ranked() {
		names = append(names, in.Name)
	}
	require.Equal(t, []string{"entry-5", "entry-3", "entry-4", "entry-6", "entry-7", "entry-1", "entry-2", "entry-0"}, names)
}
