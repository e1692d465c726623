package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// TestRoutingIsAppliedAfterUpstreamsOfSameBatch guards against an entry that
// applies its routing before the upstreams that arrived with it, and so rejects
// its first requests.
func TestRoutingIsAppliedAfterUpstreamsOfSameBatch(t *testing.T) {
	routing := update{DiscoveryUpdate: magnolialedge.DiscoveryUpdate{Routing: &magnolialedge.RoutingConfig{Version: 1}}}
	first := update{DiscoveryUpdate: magnolialedge.DiscoveryUpdate{Upstream: &magnolialedge.Registration{ID: "a"}}}
	second := update{DiscoveryUpdate: magnolialedge.DiscoveryUpdate{RemovedUpstreamID: "b"}}
	require.Equal(t, []update{first, second, routing}, sortRoutingLast([]update{routing, first, second}))
	require.Equal(t, []update{first, second, routing}, sortRoutingLast([]update{first, routing, second}))
}
