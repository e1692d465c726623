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

// LoadConfig configures a LoadGenerator.
type LoadConfig struct {
	// EntryAddresses are the entries through which callers resolve services.
	EntryAddresses []string
	// EntryGroups adds one list of entries for each group of callers, such as the
	// callers of a region. Callers are spread evenly over the groups. They prefer
	// EntryAddresses and the entries of their group, and use the entries of the
	// other groups as fallback.
	EntryGroups [][]string
	Services    []string
	// Rate is the number of new requests per second over all services.
	Rate     float64
	Duration time.Duration
	// Callers is the number of callers. Each has its own cache of addresses.
	Callers int
	// KeyedPercent is the percentage of non-idempotent requests, which carry an
	// idempotency key.
	KeyedPercent float64
	// KeyedPath is the path of non-idempotent requests. Their method is POST.
	KeyedPath string
	// UploadPercent is the percentage of uploads, of UploadBytes each.
	UploadPercent float64
	UploadBytes   int
	// MaxResends limits how often a caller resends a non-idempotent request until
	// a response reports that it ran.
	MaxResends int
	Timeout    time.Duration
	Seed       uint64
	// CrashUpstreams makes every request one that crashes the upstream that runs
	// it. Requests are then evenly spaced.
	CrashUpstreams bool
	// UpstreamAddresses, if not empty, are called directly instead of entries.
	UpstreamAddresses []string
}

// KeyedRequest records the responses to one non-idempotent request.
type KeyedRequest struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	// NotRunIDs are the request IDs of the attempts whose responses reported that
	// the request did not run.
	NotRunIDs []string `json:"notRun,omitempty"`
	// Ran is true if a response reported that the request ran.
	Ran bool `json:"ran"`
}

// LoadResult holds the counts and latencies of a load. Latencies count from the
// intended start of a request, so that delays of the generator are included.
type LoadResult struct {
	Sent int64 `json:"sent"`
	OK   int64 `json:"ok"`
	// Refused counts the responses that entries generated themselves, by kind.
	Refused map[string]int64 `json:"refused"`
	// Failed counts the responses of upstreams with a status of 300 or more.
	Failed int64 `json:"failed"`
	// NoResponse counts requests without a response.
	NoResponse int64 `json:"lost"`
	// Truncated counts responses whose connection broke before their end.
	Truncated int64 `json:"cut"`
	// Mismatched counts responses that belong to another request.
	Mismatched int64 `json:"foreign"`
	// MissingRetryAfter counts refusals with a status of 500 or more and no
	// Retry-After header.
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

// LoadGenerator generates an open-loop load: each request starts at its intended
// time, regardless of earlier requests, and its latency counts from that time.
type LoadGenerator struct {
	cfg            LoadConfig
	callers        []*Caller
	mu             sync.Mutex
	result         LoadResult
	latency        *hdrhistogram.Histogram
	refusalLatency *hdrhistogram.Histogram
	// onResponse is called with the intended start and the result of each request,
	// for measurements over time.
	onResponse func(at time.Time, r Response)
}

const (
	// maxLatencyUs is the highest latency that the histograms record.
	maxLatencyUs = 120_000_000
	// latencyDigits is the number of significant digits of the histograms.
	latencyDigits = 3
	// maxErrors limits the error texts in a LoadResult.
	maxErrors = 10
)

// NewLoadGenerator returns a LoadGenerator with its callers.
func NewLoadGenerator(cfg LoadConfig) *LoadGenerator {
	l := &LoadGenerator{
		cfg:            cfg,
		result:         LoadResult{Refused: map[string]int64{}},
		latency:        hdrhistogram.New(1, maxLatencyUs, latencyDigits),
		refusalLatency: hdrhistogram.New(1, maxLatencyUs, latencyDigits),
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
	for i := range max(1, cfg.Callers) {
		entries := append([]string(nil), cfg.EntryAddresses...)
		if n := len(cfg.EntryGroups); n > 0 {
			entries = append(entries, cfg.EntryGroups[i%n]...)
		}
		preferred := len(entries)
		if preferred > 0 {
			k := i / max(1, len(cfg.EntryGroups)) % preferred
			entries = append(entries[k:], entries[:k]...)
		}
		for offset := 1; offset < len(cfg.EntryGroups); offset++ {
			entries = append(entries, cfg.EntryGroups[(i+offset)%len(cfg.EntryGroups)]...)
		}
		l.callers = append(l.callers, NewCaller(entries, client))
	}
	return l
}

// Run sends requests until the duration has passed or ctx is done, and waits for
// their responses.
func (l *LoadGenerator) Run(ctx context.Context) LoadResult {
	random := rand.New(rand.NewPCG(l.cfg.Seed, 7))
	start := time.Now()
	end := start.Add(l.cfg.Duration)
	next := start
	var wg sync.WaitGroup
	for n := 0; next.Before(end) && ctx.Err() == nil; n++ {
		time.Sleep(time.Until(next))
		intended := next
		plan := l.planRequest(random, n)
		wg.Go(func() { l.runRequest(ctx, intended, plan) })
		next = next.Add(l.nextInterval(random))
	}
	wg.Wait()
	return l.Result()
}

// nextInterval returns the time to the next request. It is constant for requests
// that crash upstreams and exponentially distributed otherwise.
func (l *LoadGenerator) nextInterval(random *rand.Rand) time.Duration {
	mean := float64(time.Second) / l.cfg.Rate
	if l.cfg.CrashUpstreams {
		return time.Duration(mean)
	}
	return time.Duration(random.ExpFloat64() * mean)
}

// Result returns the counts and latencies so far.
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
	r.RefusedP99Ms = ms(l.refusalLatency, 99)
	return r
}

// plannedRequest is one request and the caller that sends it.
type plannedRequest struct {
	Request
	caller *Caller
	seed   uint64
}

func (l *LoadGenerator) planRequest(random *rand.Rand, n int) plannedRequest {
	p := plannedRequest{caller: l.callers[random.IntN(len(l.callers))], seed: random.Uint64()}
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
	percent := random.Float64() * 100
	switch {
	case percent < l.cfg.KeyedPercent:
		p.Method = http.MethodPost
		p.Path = l.cfg.KeyedPath
		p.Key = uuid.Must(uuid.NewV7()).String()
		p.Body = []byte(p.Tag)
	case percent < l.cfg.KeyedPercent+l.cfg.UploadPercent:
		p.Method = http.MethodPut
		p.Body = make([]byte, l.cfg.UploadBytes)
	}
	return p
}

func (l *LoadGenerator) runRequest(ctx context.Context, intended time.Time, p plannedRequest) {
	var resp Response
	if p.Key == "" {
		resp = l.sendAttempt(ctx, &p, 0)
	} else {
		resp = l.sendKeyed(ctx, &p)
	}
	l.record(intended, resp)
}

// sendAttempt sends the attempt attemptIndex of a request, counted from 0, to the
// entry address at that index, or to the next addresses if the connection fails. If
// none can be reached, it resolves the service again and retries once.
func (l *LoadGenerator) sendAttempt(ctx context.Context, p *plannedRequest, attemptIndex int) Response {
	requestID := fmt.Sprintf("%s-%d", p.Tag, attemptIndex)
	if len(l.cfg.UpstreamAddresses) > 0 {
		return p.caller.Send(ctx, l.cfg.UpstreamAddresses[p.seed%uint64(len(l.cfg.UpstreamAddresses))], requestID, p.Request)
	}
	resolved, err := p.caller.Resolve(ctx, p.Service)
	if len(resolved.Addresses) == 0 {
		return Response{RequestID: requestID, Err: err}
	}
	resp, sent := l.tryAddresses(ctx, p, requestID, attemptIndex, resolved.Addresses)
	if sent {
		return resp
	}
	resolved = p.caller.Refresh(ctx, p.Service)
	resp, _ = l.tryAddresses(ctx, p, requestID, attemptIndex, resolved.Addresses)
	return resp
}

// tryAddresses tries at most three addresses, beginning with the one at
// attemptIndex. It sends the attempt to the first that accepts a connection, and
// reports whether one did.
func (l *LoadGenerator) tryAddresses(ctx context.Context, p *plannedRequest, requestID string, attemptIndex int, addresses []string) (Response, bool) {
	resp := Response{RequestID: requestID, Err: errors.New("no entry address is known")}
	for i := range min(3, len(addresses)) {
		entry := addresses[(attemptIndex+i)%len(addresses)]
		resp = p.caller.Send(ctx, entry, requestID, p.Request)
		if resp.Err == nil || !isDialError(resp.Err) {
			p.TriedEntries = append(p.TriedEntries, entry)
			return resp, true
		}
	}
	return resp, false
}

// resendDelay is how long a caller waits before it resends a request.
const resendDelay = 100 * time.Millisecond

// sendKeyed sends a non-idempotent request and resends it with the same key until
// a response reports that it ran or MaxResends is reached.
func (l *LoadGenerator) sendKeyed(ctx context.Context, p *plannedRequest) Response {
	keyed := KeyedRequest{Service: p.Service, Key: p.Key}
	defer func() {
		l.mu.Lock()
		l.result.Keyed = append(l.result.Keyed, keyed)
		l.mu.Unlock()
	}()
	var resp Response
	for attemptIndex := 0; attemptIndex <= l.cfg.MaxResends; attemptIndex++ {
		resp = l.sendAttempt(ctx, p, attemptIndex)
		if resp.Outcome == "notRun" {
			keyed.NotRunIDs = append(keyed.NotRunIDs, resp.RequestID)
		}
		if resp.Outcome == "ran" {
			keyed.Ran = true
			return resp
		}
		time.Sleep(resendDelay)
	}
	return resp
}

func (l *LoadGenerator) record(intended time.Time, r Response) {
	latencyUs := time.Since(intended).Microseconds()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Sent++
	if l.onResponse != nil {
		l.onResponse(intended, r)
	}
	switch {
	case r.Truncated:
		l.result.Truncated++
		l.recordError(r.Err)
	case r.Err != nil:
		l.result.NoResponse++
		l.recordError(r.Err)
	case !r.MatchesRequest:
		l.result.Mismatched++
		l.recordError(errors.New(r.MismatchDetail))
	case r.Kind != "":
		l.result.Refused[r.Kind]++
		_ = l.refusalLatency.RecordValue(latencyUs)
		if r.RetryAfter == 0 && r.Status >= 500 {
			l.result.MissingRetryAfter++
		}
	case !r.OK():
		l.result.Failed++
	default:
		l.result.OK++
		_ = l.latency.RecordValue(latencyUs)
	}
}

func (l *LoadGenerator) recordError(err error) {
	if len(l.result.Errors) < maxErrors {
		l.result.Errors = append(l.result.Errors, err.Error())
	}
}
