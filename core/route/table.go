package route

import (
	"cmp"
	"slices"
	"strings"

	"magnolialedge"
)

// Table finds the route of a request. It is immutable except for the state of
// its traffic splits and is not safe for concurrent use.
type Table struct {
	config magnolialedge.RoutingConfig
	// byHost holds the routes by host in lower case, longest prefix first.
	byHost   map[string][]*hostRoute
	services map[string]magnolialedge.RoutedService
}

// hostRoute is a route with the state of its traffic split.
type hostRoute struct {
	route    magnolialedge.Route
	splitter *Splitter
}

// Match is the route of a request and the service that was selected for it. If
// the configuration does not define the service, only its name is set.
type Match struct {
	magnolialedge.Route
	Service magnolialedge.RoutedService
}

// NewTable returns a Table for the given configuration. A route whose services
// and weights are unchanged keeps the split state of the previous table, which
// may be nil.
func NewTable(config magnolialedge.RoutingConfig, previous *Table) *Table {
	t := &Table{
		config:   config,
		byHost:   map[string][]*hostRoute{},
		services: map[string]magnolialedge.RoutedService{},
	}
	for _, s := range config.Services {
		t.services[s.Name] = s
	}
	for _, r := range config.Routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], &hostRoute{route: r, splitter: previous.splitterFor(r)})
	}
	for _, candidates := range t.byHost {
		slices.SortStableFunc(candidates, func(a, b *hostRoute) int {
			return cmp.Compare(len(b.route.Prefix), len(a.route.Prefix))
		})
	}
	return t
}

// splitterFor returns the splitter of an unchanged route in t, which may be
// nil, or a new one.
func (t *Table) splitterFor(r magnolialedge.Route) *Splitter {
	if t != nil {
		for _, c := range t.byHost[strings.ToLower(r.Host)] {
			if c.route.Name == r.Name && slices.Equal(c.route.Split, r.Split) {
				return c.splitter
			}
		}
	}
	return NewSplitter(r.Split)
}

// Config returns the routing configuration of the table.
func (t *Table) Config() magnolialedge.RoutingConfig {
	return t.config
}

// Find returns the route with the longest prefix that matches path, and the
// service that its traffic split selects. It returns false if no route matches.
func (t *Table) Find(host, path string) (Match, bool) {
	for _, c := range t.byHost[canonicalHost(host)] {
		if !strings.HasPrefix(path, c.route.Prefix) {
			continue
		}
		name := c.splitter.Next()
		service, ok := t.services[name]
		if !ok {
			service.Name = name
		}
		return Match{Route: c.route, Service: service}, true
	}
	return Match{}, false
}

// Kind returns the kind of the route that Find returns, without advancing its
// traffic split.
func (t *Table) Kind(host, path string) (magnolialedge.RouteKind, bool) {
	r, ok := t.Route(host, path)
	return r.Kind, ok
}

// Route returns the route that Find returns, without advancing its traffic split.
func (t *Table) Route(host, path string) (magnolialedge.Route, bool) {
	for _, c := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, c.route.Prefix) {
			return c.route, true
		}
	}
	return magnolialedge.Route{}, false
}

// Regions returns the regions that at least one route of a host allows, or nil if a route
// allows all or the host has no routes.
func (t *Table) Regions(host string) []string {
	var regions []string
	for _, c := range t.byHost[canonicalHost(host)] {
		if len(c.route.AllowedRegions) == 0 {
			return nil
		}
		regions = append(regions, c.route.AllowedRegions...)
	}
	return regions
}

// IsAuthExempt reports whether the requests of the route that Find returns need no key of a
// client account, without advancing its traffic split.
func (t *Table) IsAuthExempt(host, path string) bool {
	r, _ := t.Route(host, path)
	return r.AuthExempt
}

// canonicalHost removes the port from a host and converts it to lower case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
