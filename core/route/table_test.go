package route

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
	"magnolialedge/io/seed"
)

func TestMain(m *testing.M) {
	seed.Main(m)
}

func newRoute(name, host, prefix string, services ...magnolialedge.WeightedService) magnolialedge.Route {
	return magnolialedge.Route{Name: name, Host: host, Prefix: prefix, Kind: magnolialedge.RouteSafe, Split: services}
}

func weighted(service string, weight float64) magnolialedge.WeightedService {
	return magnolialedge.WeightedService{Service: service, Weight: weight}
}

func TestFindReturnsLongestPrefixOfHost(t *testing.T) {
	table := NewTable(magnolialedge.RoutingConfig{Version: 3, Routes: []magnolialedge.Route{
		newRoute("short", "a.example", "/x/", weighted("s", 1)),
		newRoute("long", "a.example", "/x/y/", weighted("t", 1)),
		newRoute("other", "b.example", "/", weighted("u", 1)),
	}}, nil)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"A.Example:80", "/x/y/1", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/x/y/1", "other"},
		{"c.example", "/x/1", ""},
	} {
		m, ok := table.Find(c.host, c.path)
		require.Equal(t, c.want != "", ok, "%s%s", c.host, c.path)
		require.Equal(t, c.want, m.Name)
	}
}

func TestNewTableKeepsSplitOfUnchangedRoute(t *testing.T) {
	routes := []magnolialedge.Route{newRoute("split", "h", "/s/", weighted("a", 3), weighted("b", 1))}
	table := NewTable(magnolialedge.RoutingConfig{Version: 1, Routes: routes}, nil)
	counts := map[string]int{}
	for i := range 40 {
		m, _ := table.Find("h", "/s/1")
		counts[m.Service.Name]++
		table = NewTable(magnolialedge.RoutingConfig{Version: int64(i + 2), Routes: append(routes, newRoute("new", "h", "/n/", weighted("a", 1)))}, table)
	}
	require.Equal(t, map[string]int{"a": 30, "b": 10}, counts)
}

// After any number of requests, the count of each service differs from its
// share by at most the number of services.
func TestSplitterFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 20), 1, 5).Draw(t, "weights")
		var services []magnolialedge.WeightedService
		total := 0
		for i, w := range weights {
			services = append(services, weighted(string(rune('a'+i)), float64(w)))
			total += w
		}
		s := NewSplitter(services)
		counts := map[string]int{}
		for n := 1; n <= 200; n++ {
			counts[s.Next()]++
			for i, w := range weights {
				share := float64(n) * float64(w) / float64(total)
				require.InDelta(t, share, float64(counts[services[i].Service]), float64(len(weights)))
			}
		}
	})
}

func TestSplitterWithoutPositiveWeightReturnsNone(t *testing.T) {
	require.Empty(t, NewSplitter(nil).Next())
	require.Empty(t, NewSplitter([]magnolialedge.WeightedService{weighted("a", 0)}).Next())
}
