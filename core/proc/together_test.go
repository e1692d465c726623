package proc

import (
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// One entry that starts again among others, as in an upgrade, must not refuse what the
// others let wait.
func TestStartedTogetherNeedsMostEntries(t *testing.T) {
	self := magnolialedge.Instance{Name: "a", StartedAt: 100_000}
	near, old := magnolialedge.Instance{StartedAt: 97_000}, magnolialedge.Instance{StartedAt: 10_000}
	gone := magnolialedge.Instance{StartedAt: 10_000, Leaving: true}
	require.True(t, StartedTogether(self, []magnolialedge.Instance{self, near, near, old, gone, gone}))
	require.False(t, StartedTogether(self, []magnolialedge.Instance{self, near, old, old}))
	require.False(t, StartedTogether(self, []magnolialedge.Instance{self, near}))
}
