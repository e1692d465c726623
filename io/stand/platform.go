package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnolialedge"
	"magnolialedge/io/plat"
)

// PlatformBehaviour configures the faults of the platform stand-in.
type PlatformBehaviour struct {
	// Down rejects every call to the key-value service.
	Down bool `json:"down"`
	// DelayMs delays every call to the key-value service.
	DelayMs int `json:"slowMs"`
	// DropWriteResponses is the number of writes from now on that take effect, but
	// whose connection is closed without a response.
	DropWriteResponses int `json:"loseReplies"`
	// ListLagMs is the age of the list of instances that is returned.
	ListLagMs int `json:"listLagMs"`
}

// PlatformCallCounts counts the calls to the key-value service.
type PlatformCallCounts struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Watches   int64 `json:"watches"`
	Conflicts int64 `json:"conflicts"`
	// RateLimited counts calls that exceeded the rate limits.
	RateLimited int64 `json:"refused"`
}

// PlatformConfig configures a Platform. A rate of 0 means no limit.
type PlatformConfig struct {
	MaxWritesPerSecond float64
	MaxReadsPerSecond  float64
}

// Platform is a stand-in for the key-value service and the list of instances.
type Platform struct {
	cfg       PlatformConfig
	mu        sync.Mutex
	values    map[string]*storedValue
	changed   chan struct{}
	behaviour PlatformBehaviour
	counts    PlatformCallCounts
	writes    rateLimiter
	reads     rateLimiter
	instances instanceList
}

type storedValue struct {
	data      []byte
	revision  int64
	expiresAt time.Time
}

// rateLimiter is a token bucket with a burst of one second's tokens.
type rateLimiter struct {
	rate       float64
	tokens     float64
	refilledAt time.Time
}

func (l *rateLimiter) allow(now time.Time) bool {
	if l.rate <= 0 {
		return true
	}
	l.tokens = min(l.rate, l.tokens+now.Sub(l.refilledAt).Seconds()*l.rate)
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// NewPlatform returns an empty Platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	return &Platform{
		cfg:       cfg,
		values:    map[string]*storedValue{},
		changed:   make(chan struct{}),
		writes:    rateLimiter{rate: cfg.MaxWritesPerSecond},
		reads:     rateLimiter{rate: cfg.MaxReadsPerSecond},
		instances: newInstanceList(),
	}
}

// Handler returns the HTTP handler of the platform and its control paths.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+plat.PathKeys, p.get)
	mux.HandleFunc("PUT "+plat.PathKeys, p.put)
	mux.HandleFunc("GET "+plat.PathInstances, p.list)
	mux.HandleFunc("POST "+plat.PathInstances, func(w http.ResponseWriter, r *http.Request) {
		var in magnolialedge.Instance
		if readJSON(w, r, &in) {
			p.instances.announce(time.Now(), in)
			writeJSON(w, http.StatusOK, struct{}{})
		}
	})
	mux.HandleFunc("POST "+ControlPathPrefix+"behave", func(w http.ResponseWriter, r *http.Request) {
		var b PlatformBehaviour
		if readJSON(w, r, &b) {
			p.SetBehaviour(b)
			writeJSON(w, http.StatusOK, b)
		}
	})
	mux.HandleFunc("GET "+ControlPathPrefix+"counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Counts())
	})
	return mux
}

// SetBehaviour replaces the behaviour.
func (p *Platform) SetBehaviour(b PlatformBehaviour) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behaviour = b
}

// Counts returns the calls to the key-value service so far.
func (p *Platform) Counts() PlatformCallCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) instanceListLag() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.behaviour.ListLagMs) * time.Millisecond
}

// admit counts a call, applies the outage, the delay and the rate limit, and
// reports whether the call proceeds. Otherwise it has written the response.
func (p *Platform) admit(w http.ResponseWriter, limiter *rateLimiter, count *int64) bool {
	p.mu.Lock()
	b := p.behaviour
	ok := limiter.allow(time.Now())
	*count++
	if !ok {
		p.counts.RateLimited++
	}
	p.mu.Unlock()
	time.Sleep(time.Duration(b.DelayMs) * time.Millisecond)
	if b.Down || !ok {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// list responds with the instances, or with 304 if the client has the same list.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(p.instances.list(time.Now(), p.instanceListLag()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func keyOf(r *http.Request) string {
	key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), plat.PathKeys))
	if err != nil {
		return ""
	}
	return key
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	count := &p.counts.Reads
	if after != "" {
		count = &p.counts.Watches
	}
	if !p.admit(w, &p.reads, count) {
		return
	}
	if after != "" {
		p.waitForChange(r, keyOf(r), after)
	}
	writeJSON(w, http.StatusOK, p.currentValue(keyOf(r)))
}

// waitForChange waits until the revision of key exceeds after, the time given by
// the waitMs parameter has passed, or the request is canceled. It does not wait
// while the service is down.
func (p *Platform) waitForChange(r *http.Request, key, after string) {
	revision, _ := strconv.ParseInt(after, 10, 64)
	ms, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		p.mu.Lock()
		changed := p.changed
		value := p.currentValueLocked(key)
		down := p.behaviour.Down
		p.mu.Unlock()
		if value.Revision > revision || down {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) currentValue(key string) plat.Value {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currentValueLocked(key)
}

func (p *Platform) currentValueLocked(key string) plat.Value {
	v, ok := p.values[key]
	if !ok || (!v.expiresAt.IsZero() && time.Now().After(v.expiresAt)) {
		return plat.Value{}
	}
	return plat.Value{Data: v.data, Revision: v.revision}
}

// maxValueBytes limits the size of a value.
const maxValueBytes = 1 << 20

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	var req plat.CompareAndSwapRequest
	if !readJSON(w, r, &req) || !p.admit(w, &p.writes, &p.counts.Writes) {
		return
	}
	if len(req.Data) > maxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	v, swapped, dropResponse := p.compareAndSwap(keyOf(r), req)
	switch {
	case dropResponse:
		panic(http.ErrAbortHandler)
	case !swapped:
		writeJSON(w, http.StatusConflict, v)
	default:
		writeJSON(w, http.StatusOK, plat.Value{Revision: v.Revision})
	}
}

// compareAndSwap writes a value if the current revision is the base of req. It
// returns the resulting value, or the current one on a conflict, and whether the
// response is to be dropped.
func (p *Platform) compareAndSwap(key string, req plat.CompareAndSwapRequest) (v plat.Value, swapped, dropResponse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	dropResponse = p.behaviour.DropWriteResponses > 0
	if dropResponse {
		p.behaviour.DropWriteResponses--
	}
	current := p.currentValueLocked(key)
	if current.Revision != req.BaseRevision {
		p.counts.Conflicts++
		return current, false, dropResponse
	}
	next := &storedValue{data: req.Data, revision: current.Revision + 1}
	if req.TTLMs > 0 {
		next.expiresAt = time.Now().Add(time.Duration(req.TTLMs) * time.Millisecond)
	}
	p.values[key] = next
	close(p.changed)
	p.changed = make(chan struct{})
	return p.currentValueLocked(key), true, dropResponse
}
