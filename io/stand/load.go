package stand

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// LoadConfig constructs a Load.
type LoadConfig struct {
	// Entries are the callers' addresses of entries to ask first.
	EntryAddresses []string
	// EntryGroups replaces Entries by one list for each group of callers, as for
	// the callers of each region.
	EntryGroups [][]string
	Services    []string
	// Rate is the number of new requests a second over all services.
	Rate     float64
	Duration time.Duration
	// Callers is the number of callers, each with its own resolve answers.
	Callers int
	// KeyedPercent is the share of non-idempotent requests.
	KeyedPercent float64
	// KeyedPath is their path; POST is their method.
	KeyedPath string
	// UploadPercent is the share of uploads, of UploadBytes each.
	UploadPercent float64
	UploadBytes   int
	// MaxResends is how often a caller sends a non-idempotent request again when
	// it isn't told that it ran.
	MaxResends int
	Timeout    time.Duration
	Seed       uint64
	// Crash makes every request the same one, which crashes the upstreams that
	// run it.
	CrashUpstreams bool
	// UpstreamAddresses are upstream addresses that are called without any entry.
	UpstreamAddresses []string
}

// KeyedRequest is what a caller knows of one non-idempotent request.
type KeyedRequest struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	// NotRun names the attempts that were told that they were not run.
	NotRunIDs []string `json:"notRun,omitempty"`
	// Ran tells that an answer said the request was run.
	Ran bool `json:"ran"`
}

// LoadResult is what a load saw.
type LoadResult struct {
	Sent int64 `json:"sent"`
	OK   int64 `json:"ok"`
	// Refused counts answers that the system made itself, by kind.
	Refused map[string]int64 `json:"refused"`
	// Failed counts answers of upstreams with a status from 400.
	Failed int64 `json:"failed"`
	// Lost counts requests without an answer, Cut answers that broke off, and
	// Mismatched answers to another request.
	NoResponse int64 `json:"lost"`
	Truncated  int64 `json:"cut"`
	Mismatched int64 `json:"foreign"`
	// MissingRetryAfter counts refusals that should have said when to come back.
	MissingRetryAfter int64          `json:"noRetryAfter"`
	P50Ms             float64        `json:"p50Ms"`
	P90Ms             float64        `json:"p90Ms"`
	P99Ms             float64        `json:"p99Ms"`
	P999Ms            float64        `json:"p999Ms"`
	MaxMs             float64        `json:"maxMs"`
	RefusedP99Ms      float64        `json:"refusedP99Ms"`
	Keyed             []KeyedRequest `json:"keyed,omitempty"`
	Errors            []string       `json:"errors,omitempty"`
}

// Load is an open-loop generator: each request begins at its intended time,
// whatever became of those before, and latency counts from that time.
type LoadGenerator struct {
	cfg     LoadConfig
	callers []*Caller
	mu      sync.Mutex
	result  LoadResult
	latency *hdrhistogram.Histogram
	refused *hdrhistogram.Histogram
	// after is called with each end, for measurements over time.
	after func(at time.Time, r Response)
}

const (
	// mostLatencyUs is the greatest latency that the histograms tell apart.
	mostLatencyUs = 120_000_000
	// latencyDigits is the number of significant digits of the histograms.
	latencyDigits = 3
	// mostErrors bounds the errors that a result names.
	mostErrors = 10
)

// NewLoadGenerator returns a Load.
func NewLoadGenerator(cfg LoadConfig) *LoadGenerator {
	l := &LoadGenerator{
		cfg:     cfg,
		result:  LoadResult{Refused: map[string]int64{}},
		latency: hdrhistogram.New(1, mostLatencyUs, latencyDigits),
		refused: hdrhistogram.New(1, mostLatencyUs, latencyDigits),
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
	for i := range max(1, cfg.Callers) {
		entries := append([]string(nil), cfg.EntryAddresses...)
		if n := len(cfg.EntryGroups); n > 0 {
			entries = append(entries, cfg.EntryGroups[i%n]...)
		}
		near := len(entries)
		if near > 0 {
			k := i / max(1, len(cfg.EntryGroups)) % near
			entries = append(entries[k:], entries[:k]...)
		}
		for far := 1; far < len(cfg.EntryGroups); far++ {
			entries = append(entries, cfg.EntryGroups[(i+far)%len(cfg.EntryGroups)]...)
		}
		l.callers = append(l.callers, NewCaller(entries, client))
	}
	return l
}

// Run makes requests until the duration has passed or ctx is done, and waits for
// their answers.
func (l *LoadGenerator) Run(ctx context.Context) LoadResult {
	random := rand.New(rand.NewPCG(l.cfg.Seed, 7))
	begin := time.Now()
	end := begin.Add(l.cfg.Duration)
	next := begin
	var wg sync.WaitGroup
	for n := 0; next.Before(end) && ctx.Err() == nil; n++ {
		time.Sleep(time.Until(next))
		intended := next
		plan := l.plan(random, n)
		wg.Go(func() { l.one(ctx, intended, plan) })
		next = next.Add(l.gap(random))
	}
	wg.Wait()
	return l.Result()
}

// gap returns the time to the next request: even for a request that crashes
// upstreams, else exponential.
func (l *LoadGenerator) gap(random *rand.Rand) time.Duration {
	mean := float64(time.Second) / l.cfg.Rate
	if l.cfg.CrashUpstreams {
		return time.Duration(mean)
	}
	return time.Duration(random.ExpFloat64() * mean)
}

// Result returns what has been seen so far.
func (l *LoadGenerator) Result() LoadResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.result
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	r.P50Ms = ms(l.latency, 50)
	r.P90Ms = ms(l.latency, 90)
	r.P99Ms = ms(l.latency, 99)
	r.P999Ms = ms(l.latency, 99.9)
	r.MaxMs = float64(l.latency.Max()) / 1000
	r.RefusedP99Ms = ms(l.refused, 99)
	return r
}

// planned is one request and the caller that makes it.
type planned struct {
	Request
	caller *Caller
	seed   uint64
}

func (l *LoadGenerator) plan(random *rand.Rand, n int) planned {
	p := planned{caller: l.callers[random.IntN(len(l.callers))], seed: random.Uint64()}
	p.Service = l.cfg.Services[random.IntN(len(l.cfg.Services))]
	p.Timeout = l.cfg.Timeout
	p.Tag = fmt.Sprintf("tag-%d-%d", l.cfg.Seed, n)
	p.Method = http.MethodGet
	p.Path = fmt.Sprintf("/items/%d", random.IntN(1000))
	if l.cfg.CrashUpstreams {
		p.Path = "/crash"
		p.Header = http.Header{HeaderCrash: {"1"}}
		return p
	}
	share := random.Float64() * 100
	switch {
	case share < l.cfg.KeyedPercent:
		p.Method = http.MethodPost
		p.Path = l.cfg.KeyedPath
		p.Key = uuid.Must(uuid.NewV7()).String()
		p.Body = []byte(p.Tag)
	case share < l.cfg.KeyedPercent+l.cfg.UploadPercent:
		p.Method = http.MethodPut
		p.Body = make([]byte, l.cfg.UploadBytes)
	}
	return p
}

func (l *LoadGenerator) one(ctx context.Context, intended time.Time, p planned) {
	var reply Response
	if p.Key == "" {
		reply = l.attempt(ctx, &p, 0)
	} else {
		reply = l.keyed(ctx, &p)
	}
	l.note(intended, reply)
}

// attempt sends one attempt to the entry whose turn it is. When an entry can't
// be reached at all, the next one is tried.
func (l *LoadGenerator) attempt(ctx context.Context, p *planned, turn int) Response {
	requestID := fmt.Sprintf("%s-%d", p.Tag, turn)
	if len(l.cfg.UpstreamAddresses) > 0 {
		return p.caller.Send(ctx, l.cfg.UpstreamAddresses[p.seed%uint64(len(l.cfg.UpstreamAddresses))], requestID, p.Request)
	}
	resolved, err := p.caller.Resolve(ctx, p.Service)
	if len(resolved.Addresses) == 0 {
		return Response{RequestID: requestID, Err: err}
	}
	reply, sent := l.tryAddresses(ctx, p, requestID, turn, resolved.Addresses)
	if sent {
		return reply
	}
	resolved = p.caller.Refresh(ctx, p.Service)
	reply, _ = l.tryAddresses(ctx, p, requestID, turn, resolved.Addresses)
	return reply
}

// tryAddresses sends an attempt to the first address that can be reached, and
// reports whether one could.
func (l *LoadGenerator) tryAddresses(ctx context.Context, p *planned, requestID string, turn int, addresses []string) (Response, bool) {
	reply := Response{RequestID: requestID, Err: errors.New("no entry is known")}
	for i := range min(3, len(addresses)) {
		entry := addresses[(turn+i)%len(addresses)]
		reply = p.caller.Send(ctx, entry, requestID, p.Request)
		if reply.Err == nil || !neverSent(reply.Err) {
			p.TriedEntries = append(p.TriedEntries, entry)
			return reply, true
		}
	}
	return reply, false
}

// resendPause is how long a caller waits before it sends again.
const resendPause = 100 * time.Millisecond

// keyed sends a non-idempotent request, and again with the same key until it is
// told that it ran.
func (l *LoadGenerator) keyed(ctx context.Context, p *planned) Response {
	known := KeyedRequest{Service: p.Service, Key: p.Key}
	defer func() {
		l.mu.Lock()
		l.result.Keyed = append(l.result.Keyed, known)
		l.mu.Unlock()
	}()
	var reply Response
	for turn := 0; turn <= l.cfg.MaxResends; turn++ {
		reply = l.attempt(ctx, p, turn)
		if reply.Outcome == "notRun" {
			known.NotRunIDs = append(known.NotRunIDs, reply.RequestID)
		}
		if reply.Outcome == "ran" {
			known.Ran = true
			return reply
		}
		time.Sleep(resendPause)
	}
	return reply
}

func (l *LoadGenerator) note(intended time.Time, r Response) {
	took := time.Since(intended).Microseconds()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Sent++
	if l.after != nil {
		l.after(intended, r)
	}
	switch {
	case r.Truncated:
		l.result.Truncated++
		l.fault(r.Err)
	case r.Err != nil:
		l.result.NoResponse++
		l.fault(r.Err)
	case !r.MatchesRequest:
		l.result.Mismatched++
		l.fault(errors.New(r.BodyPrefix))
	case r.Kind != "":
		l.result.Refused[r.Kind]++
		_ = l.refused.RecordValue(took)
		if r.RetryAfter == 0 && r.Status >= 500 {
			l.result.MissingRetryAfter++
		}
	case !r.OK():
		l.result.Failed++
	default:
		l.result.OK++
		_ = l.latency.RecordValue(took)
	}
}

func (l *LoadGenerator) fault(err error) {
	if len(l.result.Errors) < mostErrors {
		l.result.Errors = append(l.result.Errors, err.Error())
	}
}
