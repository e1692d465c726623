package serve

import (
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/core/route"
	"magnolialedge/io/front"
)

// Guards against a restricted request at an entry that ignores the restriction, or in a region
// that is not allowed.
func TestRestrictedRequestsAreHandedToEntriesThatHeedThem(t *testing.T) {
	old := magnolialedge.Instance{Region: "west"}
	west := magnolialedge.Instance{Region: "west", Protocol: 1}
	east := magnolialedge.Instance{Region: "east", Protocol: 1}
	cases := []struct {
		in      magnolialedge.Instance
		regions []string
		want    bool
	}{
		{old, nil, true},
		{old, []string{"west"}, false},
		{west, []string{"west"}, true},
		{east, []string{"west"}, false},
		{west, []string{}, false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, mayBeHandedTo(c.regions)(c.in), "%+v %v", c.in, c.regions)
	}
}

func routesWith(version int64, regions ...string) magnolialedge.RoutingConfig {
	return magnolialedge.RoutingConfig{Version: version, Routes: []magnolialedge.Route{{Name: "r", Host: "h", Prefix: "/", AllowedRegions: regions}}}
}

// Guards against a request that runs by an outdated version of the routes.
func TestRefreshAppliesTheVersionInForce(t *testing.T) {
	f := NewForwarder(Config{})
	x := &exchange{f: f, req: &front.Request{Host: "h", Path: "/"}}
	for _, c := range []struct {
		config magnolialedge.RoutingConfig
		want   []string
	}{
		{routesWith(1), nil},
		{routesWith(2, "east"), []string{"east"}},
		{magnolialedge.RoutingConfig{Version: 3}, []string{"east"}},
		{routesWith(4, "west"), []string{"west"}},
	} {
		f.routes = route.NewTable(c.config, f.routes)
		require.Empty(t, x.refresh())
		require.Equal(t, c.want, x.pickReq.Regions, "version %d", c.config.Version)
		require.Equal(t, c.config.Version, x.version)
	}
	x.handover = &handover{AllowedRegions: []string{"west"}}
	f.routes = route.NewTable(routesWith(5, "east"), f.routes)
	require.Equal(t, magnolialedge.KindNoAllowedRegion, x.refresh(), "the helper knows of another restriction")
}

// Guards against a handed request that loses the restriction because the entry that handed it
// over is of a release without regions.
func TestHandedRequestIsRestrictedByTheHelperAsWell(t *testing.T) {
	f := NewForwarder(Config{})
	f.routes = route.NewTable(routesWith(7, "east"), nil)
	x := f.newHandedExchange(&front.Request{Host: "h", Path: "/"}, handover{Version: 7})
	require.Nil(t, x.pickReq.Regions)
	require.Empty(t, x.refresh())
	require.Equal(t, []string{"east"}, x.pickReq.Regions)
}
