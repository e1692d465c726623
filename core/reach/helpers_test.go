package reach

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRequestsAreSpreadOverTheFirstHelpers(t *testing.T) {
	h := NewHelpers()
	ranked := []string{"e1", "e2", "e3"}
	counts := map[string]int{}
	for range 10 {
		name, ok := h.Pick(at(0), "a", ranked, nil)
		require.True(t, ok)
		counts[name]++
	}
	require.Equal(t, map[string]int{"e1": 5, "e2": 5}, counts)
	h.End("e2")
	name, _ := h.Pick(at(0), "a", ranked, nil)
	require.Equal(t, "e2", name)
	name, _ = h.Pick(at(0), "a", ranked, []string{"e1", "e2"})
	require.Equal(t, "e3", name)
}

func TestHelperThatDeclinesIsAvoidedForAWhile(t *testing.T) {
	h := NewHelpers()
	h.Avoid(at(0), "e1", "a")
	_, ok := h.Pick(at(100), "a", []string{"e1"}, nil)
	require.False(t, ok)
	_, ok = h.Pick(at(100), "b", []string{"e1"}, nil)
	require.True(t, ok, "other services are not affected")
	_, ok = h.Pick(at(500), "a", []string{"e1"}, nil)
	require.True(t, ok)
	_, ok = h.Pick(at(0), "a", nil, nil)
	require.False(t, ok)
}
