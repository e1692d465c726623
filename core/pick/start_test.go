package pick

import (
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// All entries lost power and start together. Their few first probes must go to the
// upstreams that their first requests use, not to those of other zones.
func TestUnreadUpstreamsAreNearestOnesInTurns(t *testing.T) {
	f := newTestFleet()
	for _, r := range []magnolialedge.Registration{
		registration("far", "west-a", 4), registration("near", "east-b", 4),
		registration("here", "east-a", 4), registration("read", "east-a", 4),
		{ID: "other", Service: "writes", Zone: "west-a", Slots: 4},
	} {
		f.Register(at(0), r)
	}
	f.RecordLoad(at(0), "read", magnolialedge.LoadReading{Slots: 4})
	unread := func(limit int) []string {
		out := []string{}
		for _, r := range f.UnreadUpstreams(at(0), []string{"reads", "writes", "none"}, limit) {
			out = append(out, r.ID)
		}
		return out
	}
	require.Equal(t, []string{"here", "other", "near"}, unread(9))
	require.Equal(t, []string{"here", "other"}, unread(2))
	f.RecordProbe(at(0), "here")
	f.RecordLiveness(at(0), "other")
	f.MarkUnreachable(at(0), "near")
	require.Empty(t, unread(9))
}
