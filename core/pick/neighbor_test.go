package pick

import (
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

func neighborIDs(f *Fleet, r magnolialedge.Registration, limit int) []string {
	out := []string{}
	for _, n := range f.Neighbors(at(0), r, limit) {
		out = append(out, n.ID)
	}
	return out
}

func TestNeighborsAreTheNearestUpstreams(t *testing.T) {
	f := newTestFleet()
	lost := registration("lost", "east-a", 4)
	f.Register(at(0), lost)
	require.Empty(t, neighborIDs(f, lost, 2), "the only upstream")
	f.Register(at(0), registration("far", "west-a", 4))
	require.Equal(t, []string{"far"}, neighborIDs(f, lost, 2))
	f.Register(at(0), registration("near", "east-b", 4))
	require.Equal(t, []string{"near"}, neighborIDs(f, lost, 2))
	other := registration("same", "east-a", 4)
	other.Service = "writes"
	f.Register(at(0), other)
	f.Register(at(0), registration("same2", "east-a", 4))
	require.ElementsMatch(t, []string{"same", "same2"}, neighborIDs(f, lost, 2))
	require.Len(t, neighborIDs(f, lost, 1), 1)
	f.RecordLeaving(other)
	require.Equal(t, []string{"same2"}, neighborIDs(f, lost, 2))
}
