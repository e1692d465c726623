package magnolialedge

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A restriction that is lost when two lists are joined would let data leave its regions.
func TestCommonRegions(t *testing.T) {
	for name, test := range map[string]struct{ a, b, want []string }{
		"no restriction":   {nil, []string{}, nil},
		"first restricts":  {[]string{"east"}, nil, []string{"east"}},
		"second restricts": {nil, []string{"west"}, []string{"west"}},
		"both restrict":    {[]string{"east", "west"}, []string{"west", "north"}, []string{"west"}},
		"none in common":   {[]string{"east"}, []string{"west"}, []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, CommonRegions(test.a, test.b))
		})
	}
	require.True(t, PermitsRegion(nil, "east"))
	require.False(t, PermitsRegion([]string{}, "east"))
}
