package magnolialedge

import (
	"net/http"
	"time"
)

// RouteKind tells what may be repeated of the requests on a route.
type RouteKind string

const (
	// RouteSafe requests may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteNonIdempotent requests run at most once.
	RouteNonIdempotent RouteKind = "nonIdempotent"
	// RouteUpload requests have large bodies and run at most once.
	RouteUpload RouteKind = "upload"
)

// IsIdempotent reports whether a request on such a route may run more than once.
func (k RouteKind) IsIdempotent() bool {
	return k == RouteSafe
}

// WeightedService is one service of a route and its share of the requests.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route tells where the requests of a host and path prefix go.
type Route struct {
	Name   string    `json:"name"`
	Host   string    `json:"host"`
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// TimeoutMs is the longest time that a request is kept waiting; 0 is none.
	TimeoutMs int64 `json:"timeoutMs"`
	// LatencyTargetMs is the time within which an answer is of full use to its caller.
	LatencyTargetMs int64 `json:"aimMs"`
	// Priority is the rank of the requests, 0 the highest.
	Priority int `json:"priority"`
	// MaxAttempts is the greatest number of upstreams that one request may reach.
	MaxAttempts int `json:"attempts"`
	// Split holds the services that share the requests.
	Split []WeightedService `json:"split"`
}

// Timeout returns the route's timeout, or 0 for none.
func (r Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMs) * time.Millisecond
}

// LatencyTarget returns the route's aim.
func (r Route) LatencyTarget() time.Duration {
	return time.Duration(r.LatencyTargetMs) * time.Millisecond
}

// RoutedService is a service whose upstreams register themselves.
type RoutedService struct {
	Name string `json:"name"`
	// HealthPath answers with the upstream's id and load.
	HealthPath string `json:"healthPath"`
	// MaxConnections bounds the connections to one upstream from all entries.
	MaxConnections int `json:"maxConnections"`
}

// RequestLimits bounds what callers may send. Zero values set no bound.
type RequestLimits struct {
	MaxHeaderBytes  int   `json:"maxHeaderBytes"`
	MaxBodyBytes    int64 `json:"maxBodyBytes"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs"`
}

// HeaderTimeout bounds the reading of a request's head.
func (l RequestLimits) HeaderTimeout() time.Duration {
	return time.Duration(l.HeaderTimeoutMs) * time.Millisecond
}

// IdleTimeout bounds the time between two requests of a connection.
func (l RequestLimits) IdleTimeout() time.Duration {
	return time.Duration(l.IdleTimeoutMs) * time.Millisecond
}

// RoutingConfig is a version of the routes with all that belongs to them.
type RoutingConfig struct {
	// Version orders the versions; a higher one replaces a lower one.
	Version  int64           `json:"version"`
	Routes   []Route         `json:"routes"`
	Services []RoutedService `json:"services"`
	Limits   RequestLimits   `json:"limits"`
}

// Registration is what an upstream says of itself.
type Registration struct {
	// ID names one start of the upstream, mostly.
	ID       string
	Service  string
	Address  string
	Zone     string
	Release  string
	Slots    int
	Draining bool
	// WarmUpRemaining is how much longer the upstream is slow after its start.
	WarmUpRemaining time.Duration
	// StartedAtUnixMs is the start of the upstream in Unix milliseconds, or 0.
	StartedAtUnixMs int64
}

// LoadReading is what an upstream tells of its load at one moment.
type LoadReading struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times as long as usual work takes at present, or 0
	// when the upstream doesn't tell.
	Slowdown float64
}

// DiscoveryUpdate is what one item of the platform's store says, decoded.
type DiscoveryUpdate struct {
	// Routing is a version of the routes.
	Routing *RoutingConfig
	// Upstream is a registered upstream.
	Upstream *Registration
	// RemovedUpstreamID is the id of an upstream that is no longer registered, or whose
	// entry can't be used.
	RemovedUpstreamID string
}

// DiscoveryDecoder reads the items that operators and upstreams write.
type DiscoveryDecoder interface {
	// Prefixes returns the prefixes of the keys to follow.
	Prefixes() []string
	// Decode reads an item; the fact may be useful also beside an error.
	Decode(Item) (DiscoveryUpdate, error)
}

// HeaderProtocol names the headers between callers, entries and upstreams.
type HeaderProtocol struct {
	// RequestID names one attempt of a caller, and is echoed by upstreams.
	RequestID string
	// Deadline is the time left, in milliseconds.
	Deadline string
	// ExpectedInstance names the upstream that alone may run the request.
	ExpectedInstance string
	// Instance names the upstream that answers a health request.
	Instance string
	// Signature comes with each answer that an upstream made by its service.
	Signature string
	// Load carries a LoadReading.
	Load string
	// NotRun marks answers to requests that the upstream did not run.
	NotRun string
	// ParseLoad reads the value of Load.
	ParseLoad func(string) (LoadReading, bool)
}

// ResolveQuery is a caller's question for the addresses of a host.
type ResolveQuery struct {
	Host   string
	Region string
	Zone   string
}

// Resolution names the entries that a caller should use, and for how long.
type Resolution struct {
	Addresses []string
	TTL       time.Duration
}

// EntryAPI serves what the platform and callers ask an entry about itself.
type EntryAPI interface {
	// ReadyHandler tells whether the entry takes callers.
	ReadyHandler(isReady func() bool) http.Handler
	// ResolveHandler tells callers where to connect.
	ResolveHandler(resolve func(ResolveQuery) Resolution) http.Handler
}
