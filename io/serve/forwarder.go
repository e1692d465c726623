package serve

import (
	"context"
	"net/http"
	"sync"
	"time"

	"magnolialedge"
	"magnolialedge/core/acct"
	"magnolialedge/core/pick"
	"magnolialedge/core/proc"
	"magnolialedge/core/reach"
	"magnolialedge/core/route"
	"magnolialedge/core/stop"
	"magnolialedge/io/event"
	"magnolialedge/io/front"
	"magnolialedge/io/limit"
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
	// one, best first, among those that accepts returns true for. If it is nil, no request is
	// handed over.
	Helpers func(host string, accepts func(magnolialedge.Instance) bool) []magnolialedge.Instance
	// HelperPool holds the connections to these entries.
	HelperPool *link.Pool
	// MaxHanded limits the requests in progress that other entries handed to this one;
	// 0 means no limit.
	MaxHanded int
	// AcceptsHandoversFrom reports whether the peer at an address may hand requests to this
	// entry. If it is nil, each may.
	AcceptsHandoversFrom func(remoteAddress string) bool
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
	// ReportCold notifies the other entries that an upstream is cold for the remaining time,
	// or no longer if that is 0. It may be nil.
	ReportCold func(r magnolialedge.Registration, remaining time.Duration)
	// MayLackRoutes reports whether newer routes may be in force at other entries. A
	// request without a route is then told to come back. nil means never.
	MayLackRoutes func() bool
	// ResponseMemory limits what the requests hold of responses. If it is nil, there is no
	// limit.
	ResponseMemory *limit.Holder
	// Quotas keeps the limits of client accounts. It may be nil.
	Quotas AccountQuotas
	// Admission turns on admission control by priority. It is on, too, while the
	// configuration has client accounts.
	Admission bool
}

// Forwarder proxies the requests of callers to upstreams. It implements
// front.Handler.
type Forwarder struct {
	cfg Config
	// hashKey is the secret for the hashes of the keys of client accounts.
	hashKey acct.HashKey

	// mu guards the fields below. It is never held during I/O.
	mu     sync.Mutex
	routes *route.Table
	// accounts holds the client accounts of the routes in effect, or is nil if they have none.
	accounts     *acct.Table
	accountUsage *acct.Usage
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
	// stopping is the end of this entry if it was told to stop.
	stopping stop.Schedule
	// crashChecks holds the fingerprints of the requests that were lost at an upstream
	// whose check is in progress, by its ID.
	crashChecks map[string][]uint64
	// pendingProbes holds the probes in progress by upstream ID; each channel is
	// closed when its probe ends.
	pendingProbes map[string]chan struct{}
	// invalidNoticeLoggedAt holds the times of the last log lines about invalid headers,
	// by upstream ID.
	invalidNoticeLoggedAt map[string]time.Time
	// coldTimer runs until the next end of a cold time, or is nil.
	coldTimer *time.Timer
}

// NewForwarder returns a Forwarder without routes.
func NewForwarder(cfg Config) *Forwarder {
	if cfg.ResponseMemory == nil {
		cfg.ResponseMemory = limit.NewHolder(limit.HolderConfig{})
	}
	return &Forwarder{
		cfg:           cfg,
		hashKey:       newHashKey(),
		accountUsage:  acct.NewUsage(maxAccountLabels),
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
// whether it is. It does not keep the keys of client accounts.
func (f *Forwarder) SetRouting(r magnolialedge.RoutingConfig) bool {
	accounts := f.newAccounts(r)
	r.Accounts = accounts.Accounts()
	if !f.setRouting(r, accounts) {
		return false
	}
	f.logAccounts(r.Version, accounts)
	return true
}

func (f *Forwarder) setRouting(r magnolialedge.RoutingConfig, accounts *acct.Table) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isNewer(r.Version) {
		return false
	}
	previous := magnolialedge.RoutingConfig{}
	if f.routes != nil {
		previous = f.routes.Config()
	}
	f.accounts = accounts
	f.setRoutes(r)
	if accounts != nil {
		f.accountUsage.Retain(func(name string) bool { return accounts.Account(name) != nil })
	}
	f.wakeForRouting(previous, r)
	f.setColdLimits(r)
	return true
}

// isNewer reports whether a version is newer than the routing in effect. The caller holds
// f.mu.
func (f *Forwarder) isNewer(version int64) bool {
	return f.routes == nil || version > f.routes.Config().Version
}

// Register adds or updates an upstream.
func (f *Forwarder) Register(r magnolialedge.Registration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet.Register(time.Now(), r)
	f.checkColdTime(r)
	f.applyColdChanges("registration")
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
	return f.versionLocked()
}

func (f *Forwarder) versionLocked() int64 {
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

// Quarantined returns the requests that are refused because they crashed upstreams.
func (f *Forwarder) Quarantined() []proc.Quarantined {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.Quarantined(time.Now())
}

// AdoptQuarantined applies what another entry knows of a request that crashed upstreams, and
// reports whether it was news.
func (f *Forwarder) AdoptQuarantined(known proc.Quarantined) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.Adopt(time.Now(), known)
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

// setRoute sets the route of the request by the version of the routes in force.
func (x *exchange) setRoute() {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	if x.f.routes == nil {
		return
	}
	x.hasRouting, x.version = true, x.f.routes.Config().Version
	x.match, x.hasRoute = x.f.routes.Find(x.req.Host, x.req.Path)
}

func (f *Forwarder) mayLackRoutes() bool {
	return f.cfg.MayLackRoutes != nil && f.cfg.MayLackRoutes()
}

// AllowedRegions returns the regions in which requests of a host may be served, or nil if
// there is no restriction.
func (f *Forwarder) AllowedRegions(host string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.routes == nil {
		return nil
	}
	return f.routes.Regions(host)
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
	mayRetry := spec.Status == http.StatusServiceUnavailable || spec.Status == http.StatusTooManyRequests
	if mayRetry && retryAfter > 0 {
		h.Set("Retry-After", formatSeconds(retryAfter))
	}
	return &front.Response{
		Status: spec.Status,
		Header: h,
		Body:   []byte(`{"kind":"` + string(kind) + `","outcome":"` + string(spec.Outcome) + `"}`),
		Length: -1,
	}
}
