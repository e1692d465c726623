package serve

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"magnolialedge"
	"magnolialedge/core/pick"
	"magnolialedge/core/proc"
	"magnolialedge/core/route"
	"magnolialedge/io/event"
	"magnolialedge/io/front"
	"magnolialedge/io/link"
)

// Config constructs a Forwarder.
type Config struct {
	Fleet   *pick.Fleet
	Pool    *link.Pool
	Dialect magnolialedge.HeaderProtocol
	Metrics *Metrics
	Log     event.Logger
	// Retries bounds what all entries together spend on retries.
	Retries proc.RetryLimits
	// Probes bounds what all entries together ask of upstreams' load.
	Probes proc.ProbeLimits
	// ReportCrash passes on that a request crashed upstreams.
	ReportCrash func(fingerprint uint64, losses int)
}

// Forwarder answers the requests of callers. It implements front.Handler.
type Forwarder struct {
	cfg Config

	// mu guards all that follows; it is never held during input or output.
	mu      sync.Mutex
	table   *route.Table
	fleet   *pick.Fleet
	queues  map[string]*queue
	retries map[string]*proc.RatioBudget
	// entries is the number of live entries, which share the budget of retries.
	entries    int
	readings   *proc.ProbeBudget
	quarantine *proc.Quarantine
	// asking holds the readings that are on their way, by upstream.
	asking map[string]chan struct{}
}

// NewForwarder returns a Forwarder without routes.
func NewForwarder(cfg Config) *Forwarder {
	return &Forwarder{
		cfg:        cfg,
		fleet:      cfg.Fleet,
		queues:     map[string]*queue{},
		retries:    map[string]*proc.RatioBudget{},
		readings:   proc.NewProbeBudget(cfg.Probes, time.Now()),
		quarantine: proc.NewQuarantine(),
		asking:     map[string]chan struct{}{},
	}
}

// SetRouting puts a version of the routes in force and reports whether it is
// newer than the one before.
func (f *Forwarder) SetRouting(r magnolialedge.RoutingConfig) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table != nil && r.Version <= f.table.Config().Version {
		return false
	}
	f.table = route.NewTable(r, f.table)
	return true
}

// Register takes an upstream's registration.
func (f *Forwarder) Register(r magnolialedge.Registration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet.Register(time.Now(), r)
	f.shareReadings()
	f.runQueue(r.Service)
}

// Remove forgets an upstream.
func (f *Forwarder) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet.Remove(id)
	f.shareReadings()
	f.cfg.Pool.CloseIdle(id)
}

// IsReady reports whether routes are in force.
func (f *Forwarder) IsReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table != nil
}

// Version returns the version of the routes in force, or 0.
func (f *Forwarder) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return 0
	}
	return f.table.Config().Version
}

// Limits implements front.Handler.
func (f *Forwarder) Limits() magnolialedge.RequestLimits {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return magnolialedge.RequestLimits{}
	}
	return f.table.Config().Limits
}

// IsIdempotent implements front.Handler.
func (f *Forwarder) IsIdempotent(r *front.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return false
	}
	kind, ok := f.table.Kind(r.Host, r.Path)
	return ok && kind.IsIdempotent()
}

// RecordCrashReport takes a peer's word on a request that crashed upstreams.
func (f *Forwarder) RecordCrashReport(fingerprint uint64, losses int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quarantine.RecordPeerLosses(time.Now(), fingerprint, losses)
}

// Handle implements front.Handler.
func (f *Forwarder) Handle(ctx context.Context, r *front.Request) (a *front.Response) {
	x := f.newExchange(r)
	defer func() {
		if cause := recover(); cause != nil {
			f.cfg.Log.Log(event.RequestPanicked, "requestId", x.id, "cause", cause, "stack", string(debug.Stack()))
			a = x.refuse(magnolialedge.KindInternal, 0)
			x.report(a)
		}
	}()
	a = x.run(ctx)
	if a.Stream == nil {
		x.report(a)
	}
	return a
}

// Reject implements front.Handler.
func (f *Forwarder) Reject(kind magnolialedge.ErrorKind, detail string) *front.Response {
	f.cfg.Metrics.Requests.WithLabelValues("", string(kind)).Inc()
	f.cfg.Log.Log(event.RequestUnreadable, "kind", kind, "detail", detail)
	return refusal(kind, magnolialedge.ErrorResponseFor(kind).RetryAfter)
}

func (f *Forwarder) find(r *front.Request) (m route.Match, known, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return route.Match{}, false, false
	}
	m, found = f.table.Find(r.Host, r.Path)
	return m, true, found
}

// SetEntryCount takes the number of live entries.
func (f *Forwarder) SetEntryCount(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = n
	f.shareReadings()
	for _, b := range f.retries {
		b.SetCapacity(f.cfg.Retries.CapacityPerEntry(n))
	}
}

// shareReadings works out this entry's part of the readings; f.mu is held.
func (f *Forwarder) shareReadings() {
	f.readings.Resize(time.Now(), f.entries, f.fleet.TotalUpstreams())
}

func (f *Forwarder) budget(service string) *proc.RatioBudget {
	b, ok := f.retries[service]
	if !ok {
		b = f.cfg.Retries.NewRetryBudget(f.entries)
		f.retries[service] = b
	}
	return b
}

func (f *Forwarder) earnRetry(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).Deposit()
}

func (f *Forwarder) spendRetry(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(service).Withdraw()
}

// refusal returns an answer of the system itself.
func refusal(kind magnolialedge.ErrorKind, retryAfter time.Duration) *front.Response {
	row := magnolialedge.ErrorResponseFor(kind)
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	if row.Status == http.StatusServiceUnavailable && retryAfter > 0 {
		h.Set("Retry-After", formatSeconds(retryAfter))
	}
	return &front.Response{
		Status: row.Status,
		Header: h,
		Body:   []byte(`{"kind":"` + string(kind) + `","outcome":"` + string(row.Outcome) + `"}`),
		Length: -1,
	}
}
