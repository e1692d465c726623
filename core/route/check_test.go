package route

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// Guards against a version of the routes that decodes, contradicts itself and comes into force.
func TestContradictionsAreFound(t *testing.T) {
	valid := func() magnolialedge.RoutingConfig {
		return magnolialedge.RoutingConfig{
			Version:  3,
			Services: []magnolialedge.RoutedService{{Name: "a"}, {Name: "b"}},
			Routes: []magnolialedge.Route{
				{Name: "reads", Host: "shop.example", Prefix: "/reads/", Split: []magnolialedge.WeightedService{{Service: "a", Weight: 1}}},
				{Name: "writes", Host: "shop.example", Prefix: "/writes/", Split: []magnolialedge.WeightedService{{Service: "a", Weight: 9}, {Service: "b"}}},
				{Name: "reads", Host: "other.example", Prefix: "/reads/", Split: []magnolialedge.WeightedService{{Service: "b", Weight: 1}}},
			},
		}
	}
	require.NoError(t, Check(valid()))
	require.NoError(t, Check(magnolialedge.RoutingConfig{}))
	for name, change := range map[string]func(*magnolialedge.RoutingConfig){
		"unknown service":         func(c *magnolialedge.RoutingConfig) { c.Services = c.Services[:1] },
		"service defined twice":   func(c *magnolialedge.RoutingConfig) { c.Services[1].Name = "a" },
		"same host and prefix":    func(c *magnolialedge.RoutingConfig) { c.Routes[1].Prefix = "/reads/" },
		"same host in other case": func(c *magnolialedge.RoutingConfig) { c.Routes[2].Host = "SHOP.example" },
		"no service":              func(c *magnolialedge.RoutingConfig) { c.Routes[0].Split = nil },
		"no weight":               func(c *magnolialedge.RoutingConfig) { c.Routes[0].Split[0].Weight = 0 },
		"negative weight":         func(c *magnolialedge.RoutingConfig) { c.Routes[1].Split[1].Weight = -1 },
		"infinite weights":        func(c *magnolialedge.RoutingConfig) { c.Routes[1].Split[1].Weight = math.Inf(1) },
		"prefix without a slash":  func(c *magnolialedge.RoutingConfig) { c.Routes[0].Prefix = "reads/" },
	} {
		c := valid()
		change(&c)
		require.ErrorIs(t, Check(c), ErrContradiction, name)
	}
}
