package magnolialedge

import (
	"net/http"
	"time"
)

// RouteKind states which requests of a route may be repeated.
type RouteKind string

const (
	// RouteSafe requests may be executed more than once.
	RouteSafe RouteKind = "safe"
	// RouteNonIdempotent requests must be executed at most once.
	RouteNonIdempotent RouteKind = "nonIdempotent"
	// RouteUpload requests have large bodies and must be executed at most once.
	RouteUpload RouteKind = "upload"
)

// IsIdempotent reports whether requests of this kind may be executed more than
// once.
func (k RouteKind) IsIdempotent() bool {
	return k == RouteSafe
}

// WeightedService is a service of a route with its relative weight in the
// traffic split.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name   string    `json:"name"`
	Host   string    `json:"host"`
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// TimeoutMs limits the total time of a request; 0 sets no limit.
	TimeoutMs int64 `json:"timeoutMs"`
	// LatencyTargetMs is the time after which a response has less value to its
	// caller.
	LatencyTargetMs int64 `json:"aimMs"`
	// Priority ranks the requests; 0 is the highest priority.
	Priority int `json:"priority"`
	// MaxAttempts is the maximum number of upstreams that a request is sent to.
	MaxAttempts int `json:"attempts"`
	// Split holds the services that share the requests.
	Split []WeightedService `json:"split"`
	// AllowedRegions lists the only regions whose upstreams may serve the requests; if it
	// is empty, all may.
	AllowedRegions []string `json:"allowedRegions,omitempty"`
	// AuthExempt is set if requests need no key of a client account.
	AuthExempt bool `json:"authExempt,omitempty"`
}

// Timeout returns the timeout of the route, or 0 for none.
func (r Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMs) * time.Millisecond
}

// LatencyTarget returns the latency target of the route, or 0 for none.
func (r Route) LatencyTarget() time.Duration {
	return time.Duration(r.LatencyTargetMs) * time.Millisecond
}

// RoutedService is a service whose upstreams register themselves.
type RoutedService struct {
	Name string `json:"name"`
	// HealthPath is the path of the health check, which returns the ID and load
	// of the upstream.
	HealthPath string `json:"healthPath"`
	// MaxConnections limits the connections to one upstream from all entries
	// together.
	MaxConnections int `json:"maxConnections"`
	// ColdPerSecond limits the requests to one upstream while it is cold, from all entries
	// together; 0 sets no limit. ColdStartMs is how long an upstream is cold after its start.
	ColdPerSecond float64 `json:"coldPerSecond,omitempty"`
	ColdStartMs   int64   `json:"coldStartMs,omitempty"`
}

// RequestLimits limits the size and timing of callers' requests. Zero values
// set no limit.
type RequestLimits struct {
	MaxHeaderBytes  int   `json:"maxHeaderBytes"`
	MaxBodyBytes    int64 `json:"maxBodyBytes"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs"`
}

// HeaderTimeout limits the time to read the header of a request.
func (l RequestLimits) HeaderTimeout() time.Duration {
	return time.Duration(l.HeaderTimeoutMs) * time.Millisecond
}

// IdleTimeout limits the time between two requests on a connection.
func (l RequestLimits) IdleTimeout() time.Duration {
	return time.Duration(l.IdleTimeoutMs) * time.Millisecond
}

// RoutingConfig is a version of the routes with their services and limits.
type RoutingConfig struct {
	// Version orders the configurations; a higher version replaces a lower one.
	Version  int64           `json:"version"`
	Routes   []Route         `json:"routes"`
	Services []RoutedService `json:"services"`
	Limits   RequestLimits   `json:"limits"`
	// Accounts holds the client accounts. If there are any, a request needs the key of
	// one, unless its route is exempt.
	Accounts []ClientAccount `json:"accounts,omitempty"`
}

// RateLimit is what a response says about the limit on the requests that an upstream
// takes from all entries together.
type RateLimit struct {
	// IsSet is true if the response announces a limit.
	IsSet     bool
	PerSecond float64
}

// Evacuation is an operator's request that nothing be sent to the upstreams of an
// availability zone, or its end.
type Evacuation struct {
	Zone string
	// Active is false at the end of the evacuation.
	Active bool
}

// DiscoveryUpdate is the decoded content of one item of the platform's store.
type DiscoveryUpdate struct {
	// Routing is a version of the routes.
	Routing *RoutingConfig
	// Upstream is a registered upstream.
	Upstream *Registration
	// RemovedUpstreamID is the ID of an upstream that is no longer registered,
	// or whose registration is invalid.
	RemovedUpstreamID string
	// Evacuation is the beginning or the end of an evacuation.
	Evacuation *Evacuation
}

// DiscoveryDecoder decodes the items that operators and upstreams write.
type DiscoveryDecoder interface {
	// Prefixes returns the key prefixes to watch.
	Prefixes() []string
	// Decode decodes an item. The update may be valid even if an error is
	// returned.
	Decode(Item) (DiscoveryUpdate, error)
	// Generation returns the order of an item's value among all values of its key.
	// It is zero for an item that is deleted, unknown or invalid.
	Generation(Item) Generation
}

// HeaderProtocol defines the headers that callers, entries and upstreams use.
// Each string field is the name of the header that carries the described value.
type HeaderProtocol struct {
	// RequestID identifies an attempt of a caller. Upstreams return it
	// unchanged.
	RequestID string
	// Deadline is the time left to the deadline in milliseconds.
	Deadline string
	// ExpectedInstance is the ID of the only upstream that may execute the
	// request.
	ExpectedInstance string
	// Instance is the ID of the upstream that responds to a health check.
	Instance string
	// Signature is set on each response that an upstream's service generated.
	Signature string
	// Load carries a LoadReading.
	Load string
	// NotRun marks responses to requests that the upstream did not execute.
	NotRun string
	// ParseLoad parses the value of the Load header. It returns false if the
	// value is invalid.
	ParseLoad func(string) (LoadReading, bool)
	// Limit carries a RateLimit, in all responses while the limit applies.
	Limit string
	// ParseLimit parses the values of the Limit header. It returns an error if they
	// do not announce one valid limit.
	ParseLimit func([]string) (RateLimit, error)
	// Leaving marks all responses of an upstream that is leaving.
	Leaving string
	// ParseLeaving reports whether the values of the Leaving header say that the
	// upstream is leaving. It returns an error if they are invalid.
	ParseLeaving func([]string) (bool, error)
	// ColdRemaining is how long the upstream stays cold, in milliseconds. Only responses to
	// health checks carry it.
	ColdRemaining string
	// APIKey carries the key of a client account. It is never sent to an upstream.
	APIKey string
	// Account is the name of the client account, for the upstream.
	Account string
}

// ResolveQuery is a caller's query for the addresses of a host.
type ResolveQuery struct {
	Host   string
	Region string
	Zone   string
}

// Resolution lists the addresses of the entries that a caller should use until
// TTL has passed.
type Resolution struct {
	Addresses []string
	TTL       time.Duration
}

// EntryAPI provides the handlers through which the platform and callers query
// an entry.
type EntryAPI interface {
	// ReadyHandler returns a handler that reports whether the entry accepts
	// callers.
	ReadyHandler(isReady func() bool) http.Handler
	// ResolveHandler returns a handler that responds with the addresses that a
	// caller should connect to.
	ResolveHandler(resolve func(ResolveQuery) Resolution) http.Handler
}
