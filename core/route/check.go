package route

import (
	"math"
	"strings"

	"github.com/cockroachdb/errors"

	"magnolialedge"
)

// ErrContradiction is what the errors of Check wrap.
var ErrContradiction = errors.New("the routing configuration contradicts itself")

// Check returns an error that wraps ErrContradiction if a configuration cannot be meant as
// it stands: a service is defined twice, two routes claim the same requests, or the requests
// of a route have no service that the configuration defines.
func Check(c magnolialedge.RoutingConfig) error {
	services := map[string]bool{}
	for _, s := range c.Services {
		if services[s.Name] {
			return contradiction("service %q is defined twice", s.Name)
		}
		services[s.Name] = true
	}
	type claim struct{ host, prefix string }
	claims := map[claim]string{}
	for _, r := range c.Routes {
		if err := checkRoute(r, services); err != nil {
			return err
		}
		own := claim{strings.ToLower(r.Host), r.Prefix}
		if other, ok := claims[own]; ok {
			return contradiction("routes %q and %q have the same host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		claims[own] = r.Name
	}
	return nil
}

func checkRoute(r magnolialedge.Route, services map[string]bool) error {
	if !strings.HasPrefix(r.Prefix, "/") {
		return contradiction("route %q: the prefix %q does not begin with a slash", r.Name, r.Prefix)
	}
	total := 0.0
	for _, s := range r.Split {
		if !services[s.Service] {
			return contradiction("route %q: service %q is not defined", r.Name, s.Service)
		}
		if s.Weight < 0 || math.IsNaN(s.Weight) {
			return contradiction("route %q: the weight %g of service %q is not valid", r.Name, s.Weight, s.Service)
		}
		total += s.Weight
	}
	if total <= 0 || math.IsInf(total, 0) {
		return contradiction("route %q: the weights of its services add up to %g", r.Name, total)
	}
	return nil
}

func contradiction(format string, args ...any) error {
	return errors.Wrapf(ErrContradiction, format, args...)
}
