package route

import (
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// Guards against resolve responses that restrict a host of which one route permits all regions.
func TestRegionsOfAHost(t *testing.T) {
	table := NewTable(magnolialedge.RoutingConfig{Routes: []magnolialedge.Route{
		{Host: "Bound", Prefix: "/a", AllowedRegions: []string{"east"}},
		{Host: "bound", Prefix: "/b", AllowedRegions: []string{"west"}},
		{Host: "mixed", Prefix: "/a", AllowedRegions: []string{"east"}},
		{Host: "mixed", Prefix: "/b"},
	}}, nil)
	require.ElementsMatch(t, []string{"east", "west"}, table.Regions("bound:80"))
	require.Nil(t, table.Regions("mixed"))
	require.Nil(t, table.Regions("unknown"))
}
