package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// TestRoutesAreTakenBehindTheUpstreamsThatCameWithThem: an entry that had routes
// and no upstreams yet refused its first requests.
func TestRoutesAreTakenBehindTheUpstreamsThatCameWithThem(t *testing.T) {
	routing := news{Fact: magnolialedge.Fact{Routing: &magnolialedge.Routing{Version: 1}}}
	first := news{Fact: magnolialedge.Fact{Upstream: &magnolialedge.Registration{ID: "a"}}}
	second := news{Fact: magnolialedge.Fact{Removed: "b"}}
	require.Equal(t, []news{first, second, routing}, routingLast([]news{routing, first, second}))
	require.Equal(t, []news{first, second, routing}, routingLast([]news{first, routing, second}))
}
