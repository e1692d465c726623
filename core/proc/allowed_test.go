package proc

import (
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// Load: callers of a restricted host in three regions, whose entries are lost one region after
// the other. Guards against responses that name entries of a third region.
func TestCallersOfRestrictedHostsUseTheirOwnOrAnAllowedRegion(t *testing.T) {
	without := func(regions ...string) []magnolialedge.Instance {
		all := nineZones(3)
		for i, in := range all {
			all[i].Leaving = magnolialedge.PermitsRegion(append(regions, "none"), in.Region)
		}
		return all
	}
	for _, c := range []struct {
		lost    []string
		place   Place
		allowed []string
		want    string
	}{
		{nil, Place{Region: "r0"}, []string{"r1"}, "r0"},
		{[]string{"r0"}, Place{Region: "r0"}, []string{"r1"}, "r1"},
		{[]string{"r0"}, Place{Region: "r0"}, []string{"r2"}, "r2"},
		{[]string{"r0", "r1"}, Place{Region: "r0"}, []string{"r1"}, ""},
		{nil, Place{}, []string{"r2"}, "r2"},
	} {
		live, n := SteerAllowed(without(c.lost...), c.place, "host", 0, c.allowed)
		require.Equal(t, c.want == "", n == 0, "%+v", c)
		for _, in := range live {
			require.Equal(t, c.want, in.Region, "%+v", c)
		}
	}
	all := without("r0")
	restricted, _ := SteerAllowed(all, Place{Region: "r0"}, "host", 0, nil)
	unrestricted, _ := Steer(all, Place{Region: "r0"}, "host", 0)
	require.Equal(t, unrestricted, restricted, "without a restriction nothing changes")
	for i := range all {
		all[i].Isolated = all[i].Region == "r1"
		all[i].Leaving = false
	}
	live, _ := SteerAllowed(all, Place{Region: "r1"}, "host", 0, []string{"r2"})
	for _, in := range live {
		require.Equal(t, "r2", in.Region, "entries that reach no upstream do not count")
	}
}
