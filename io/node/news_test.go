package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// TestRoutesAreTakenBehindTheUpstreamsThatCameWithThem: an entry that had routes
// and no upstreams yet refused its first requests.
func TestRoutesAreTakenBehindTheUpstreamsThatCameWithThem(t *testing.T) {
	routing := news{DiscoveryUpdate: magnolialedge.DiscoveryUpdate{Routing: &magnolialedge.RoutingConfig{Version: 1}}}
	first := news{DiscoveryUpdate: magnolialedge.DiscoveryUpdate{Upstream: &magnolialedge.Registration{ID: "a"}}}
	second := news{DiscoveryUpdate: magnolialedge.DiscoveryUpdate{RemovedUpstreamID: "b"}}
	require.Equal(t, []news{first, second, routing}, routingLast([]news{routing, first, second}))
	require.Equal(t, []news{first, second, routing}, routingLast([]news{first, routing, second}))
}
