package serve

import (
	"context"
	"net/http"
	"sync"
	"time"

	"magnolialedge"
	"magnolialedge/core/pick"
	"magnolialedge/core/proc"
	"magnolialedge/core/reach"
	"magnolialedge/core/route"
	"magnolialedge/io/event"
	"magnolialedge/io/front"
	"magnolialedge/io/link"
)

// Config configures a Forwarder.
type Config struct {
	Fleet   *pick.Fleet
	Pool    *link.Pool
	Headers magnolialedge.HeaderProtocol
	Metrics *Metrics
	Log     event.Logger
	// Retries limits the retries of all entries together.
	Retries proc.RetryLimits
	// Probes limits the load probes of all entries together.
	Probes proc.ProbeLimits
	// Name is the name of this entry.
	Name string
	// Helpers returns the entries that may serve requests of a host in place of this
	// one, best first. If it is nil, no request is handed over.
	Helpers func(now time.Time, host string) []magnolialedge.Instance
	// HelperPool holds the connections to these entries.
	HelperPool *link.Pool
	// MaxHanded limits the requests in progress that other entries handed to this one;
	// 0 means no limit.
	MaxHanded int
	// OnIsolated is called when this entry begins or ceases to reach no upstream. It must
	// not block.
	OnIsolated func(bool)
	// AskPeer asks another entry whether it reaches an upstream, and returns its name. It
	// may be nil.
	AskPeer func(ctx context.Context, upstreamID string) (peer string, reached bool)
	// ReportCrash notifies the other entries that a request crashed upstreams.
	ReportCrash func(fingerprint uint64, losses int)
	// ReportLimit notifies the other entries that an upstream begins or ceases to announce
	// a limit.
	ReportLimit func(magnolialedge.Registration, magnolialedge.RateLimit)
}

// Forwarder proxies the requests of callers to upstreams. It implements
// front.Handler.
type Forwarder struct {
	cfg Config

	// mu guards the fields below. It is never held during I/O.
	mu           sync.Mutex
	routes       *route.Table
	fleet        *pick.Fleet
	queues       map[string]*queue
	retryBudgets map[string]*proc.RatioBudget
	gates        map[string]*gate
	// strictUntil is the time until which only requests wait that can meet their latency
	// target.
	strictUntil time.Time
	// entryCount is the number of live entries, which share the retry and probe
	// budgets.
	entryCount  int
	probeBudget *proc.ProbeBudget
	quarantine  *proc.Quarantine
	// reach tracks the links to the upstreams, and helpers the requests that are handed
	// over. isIsolated is the last announced value.
	reach      *reach.Tracker
	helpers    *reach.Helpers
	isIsolated bool
	// lossProbes holds the services for which probeUntilReached runs.
	lossProbes map[string]bool
	// handedCount is the number of requests in progress that other entries handed over.
	handedCount int
	closed      bool
	// crashChecks holds the fingerprints of the requests that were lost at an upstream
	// whose check is in progress, by its ID.
	crashChecks map[string][]uint64
	// pendingProbes holds the probes in progress by upstream ID; each channel is
	// closed when its probe ends.
	pendingProbes map[string]chan struct{}
	// invalidNoticeLoggedAt holds the times of the last log lines about invalid headers,
	// by upstream ID.
	invalidNoticeLoggedAt map[string]time.Time
}

// NewForwarder returns a Forwarder without routes.
func NewForwarder(cfg Config) *Forwarder {
	return &Forwarder{
		cfg:           cfg,
		fleet:         cfg.Fleet,
		queues:        map[string]*queue{},
		retryBudgets:  map[string]*proc.RatioBudget{},
		gates:         map[string]*gate{},
		probeBudget:   proc.NewProbeBudget(cfg.Probes, time.Now()),
		quarantine:    proc.NewQuarantine(),
		reach:         reach.NewTracker(),
		helpers:       reach.NewHelpers(),
		lossProbes:    map[string]bool{},
		crashChecks:   map[string][]uint64{},
		pendingProbes: map[string]chan struct{}{},

		invalidNoticeLoggedAt: map[string]time.Time{},
	}
}

// SetRouting applies r if it is newer than the routing in effect, and reports
// whether it is.
func (f *Forwarder) SetRouting(r magnolialedge.RoutingConfig) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.routes != nil && r.Version <= f.routes.Config().Version {
		return false
	}
	f.setRoutes(r)
	return true
}

// Register adds or updates an upstream.
func (f *Forwarder) Register(r magnolialedge.Registration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet.Register(time.Now(), r)
	f.resizeProbeBudget()
	f.dispatchQueue(r.Service)
}

// Remove removes an upstream and closes its unused connections.
func (f *Forwarder) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet.Remove(time.Now(), id)
	delete(f.invalidNoticeLoggedAt, id)
	f.resizeProbeBudget()
	f.cfg.Pool.CloseIdle(id)
}

// IsReady reports whether routing is in effect.
func (f *Forwarder) IsReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.routes != nil
}

// Version returns the version of the routing in effect, or 0.
func (f *Forwarder) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.routes == nil {
		return 0
	}
	return f.routes.Config().Version
}

// Limits implements front.Handler.
func (f *Forwarder) Limits() magnolialedge.RequestLimits {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.routes == nil {
		return magnolialedge.RequestLimits{}
	}
	return f.routes.Config().Limits
}

// IsIdempotent implements front.Handler.
func (f *Forwarder) IsIdempotent(r *front.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.routes == nil {
		return false
	}
	kind, ok := f.routes.Kind(r.Host, r.Path)
	return ok && kind.IsIdempotent()
}

// RecordCrashReport applies a peer's report of a request that crashed upstreams.
func (f *Forwarder) RecordCrashReport(fingerprint uint64, losses int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quarantine.RecordPeerLosses(time.Now(), fingerprint, losses)
}

// Handle implements front.Handler.
func (f *Forwarder) Handle(ctx context.Context, r *front.Request) *front.Response {
	x := f.newExchange(r)
	return x.serve(func() *front.Response { return x.run(ctx) })
}

// Reject implements front.Handler.
func (f *Forwarder) Reject(kind magnolialedge.ErrorKind, detail string) *front.Response {
	f.cfg.Metrics.Requests.WithLabelValues("", string(kind)).Inc()
	f.cfg.Log.Log(event.RequestUnreadable, "kind", kind, "detail", detail)
	return errorResponse(kind, magnolialedge.ErrorResponseFor(kind).RetryAfter)
}

func (f *Forwarder) findRoute(r *front.Request) (m route.Match, hasRouting, hasRoute bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.routes == nil {
		return route.Match{}, false, false
	}
	m, hasRoute = f.routes.Find(r.Host, r.Path)
	return m, true, hasRoute
}

// SetEntryCount sets the number of live entries among which the retry and probe
// budgets are divided.
func (f *Forwarder) SetEntryCount(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entryCount = n
	f.resizeProbeBudget()
	for _, b := range f.retryBudgets {
		b.SetCapacity(f.cfg.Retries.CapacityPerEntry(n))
	}
}

// SetTransferCosts sets how traffic between zones and regions is weighed against
// latency.
func (f *Forwarder) SetTransferCosts(c pick.TransferCosts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet.SetTransferCosts(c)
}

// resizeProbeBudget recomputes this entry's share of the probe budget. The caller
// holds f.mu.
func (f *Forwarder) resizeProbeBudget() {
	f.probeBudget.Resize(time.Now(), f.entryCount, f.fleet.TotalUpstreams())
}

// errorResponse returns a response that the load balancer generates itself.
func errorResponse(kind magnolialedge.ErrorKind, retryAfter time.Duration) *front.Response {
	spec := magnolialedge.ErrorResponseFor(kind)
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	if spec.Status == http.StatusServiceUnavailable && retryAfter > 0 {
		h.Set("Retry-After", formatSeconds(retryAfter))
	}
	return &front.Response{
		Status: spec.Status,
		Header: h,
		Body:   []byte(`{"kind":"` + string(kind) + `","outcome":"` + string(spec.Outcome) + `"}`),
		Length: -1,
	}
}
