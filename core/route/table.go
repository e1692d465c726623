package route

import (
	"cmp"
	"slices"
	"strings"

	"magnolialedge"
)

// Table finds the route of a request. It is immutable but for the state of its
// splits and isn't safe for concurrent use.
type Table struct {
	routing  magnolialedge.RoutingConfig
	byHost   map[string][]*entry
	services map[string]magnolialedge.RoutedService
}

type entry struct {
	route magnolialedge.Route
	split *Splitter
}

// Match is a request's route and the service that it goes to.
type Match struct {
	magnolialedge.Route
	Service magnolialedge.RoutedService
}

// NewTable returns a Table of routing. The splits of routes whose parts are as
// they were in old go on where they stood; old may be nil.
func NewTable(routing magnolialedge.RoutingConfig, old *Table) *Table {
	t := &Table{
		routing:  routing,
		byHost:   map[string][]*entry{},
		services: map[string]magnolialedge.RoutedService{},
	}
	for _, s := range routing.Services {
		t.services[s.Name] = s
	}
	for _, r := range routing.Routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], &entry{route: r, split: old.splitOf(r)})
	}
	for _, entries := range t.byHost {
		slices.SortStableFunc(entries, func(a, b *entry) int {
			return cmp.Compare(len(b.route.Prefix), len(a.route.Prefix))
		})
	}
	return t
}

func (t *Table) splitOf(r magnolialedge.Route) *Splitter {
	if t != nil {
		for _, e := range t.byHost[strings.ToLower(r.Host)] {
			if e.route.Name == r.Name && slices.Equal(e.route.Split, r.Split) {
				return e.split
			}
		}
	}
	return NewSplitter(r.Split)
}

// Config returns the version that the table was made of.
func (t *Table) Config() magnolialedge.RoutingConfig {
	return t.routing
}

// Find returns the route with the longest prefix of path, and picks the service
// of a split.
func (t *Table) Find(host, path string) (Match, bool) {
	for _, e := range t.byHost[canonicalHost(host)] {
		if !strings.HasPrefix(path, e.route.Prefix) {
			continue
		}
		name := e.split.Next()
		service, ok := t.services[name]
		if !ok {
			service.Name = name
		}
		return Match{Route: e.route, Service: service}, true
	}
	return Match{}, false
}

// Kind returns the kind of a request's route.
func (t *Table) Kind(host, path string) (magnolialedge.RouteKind, bool) {
	for _, e := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, e.route.Prefix) {
			return e.route.Kind, true
		}
	}
	return "", false
}

// canonicalHost drops a port and folds the case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
