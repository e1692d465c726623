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

// PlatformBehaviour is how the platform stand-in fails.
type PlatformBehaviour struct {
	// Down refuses every call to the key-value service.
	Down bool `json:"down"`
	// DelayMs delays every call.
	DelayMs int `json:"slowMs"`
	// DropWriteResponses carries writes out and breaks the connection instead of
	// answering, for the next so many writes.
	DropWriteResponses int `json:"loseReplies"`
	// ListLagMs is the age of the list of instances.
	ListLagMs int `json:"listLagMs"`
}

// PlatformCallCounts counts the calls to the key-value service.
type PlatformCallCounts struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Watches   int64 `json:"watches"`
	Conflicts int64 `json:"conflicts"`
	// Refused counts calls beyond the call rates.
	RateLimited int64 `json:"refused"`
}

// PlatformConfig constructs a Platform.
type PlatformConfig struct {
	MaxWritesPerSecond float64
	MaxReadsPerSecond  float64
}

// Platform is the key-value service and the list of instances.
type Platform struct {
	cfg       PlatformConfig
	mu        sync.Mutex
	values    map[string]*entryValue
	changed   chan struct{}
	behaviour PlatformBehaviour
	counts    PlatformCallCounts
	writes    allowance
	reads     allowance
	instances instanceList
}

type entryValue struct {
	data     []byte
	revision int64
	until    time.Time
}

// allowance is a call rate with a second's burst.
type allowance struct {
	rate   float64
	tokens float64
	at     time.Time
}

func (a *allowance) take(now time.Time) bool {
	if a.rate <= 0 {
		return true
	}
	a.tokens = min(a.rate, a.tokens+now.Sub(a.at).Seconds()*a.rate)
	a.at = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// NewPlatform returns a Platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	return &Platform{
		cfg:       cfg,
		values:    map[string]*entryValue{},
		changed:   make(chan struct{}),
		writes:    allowance{rate: cfg.MaxWritesPerSecond},
		reads:     allowance{rate: cfg.MaxReadsPerSecond},
		instances: newInstanceList(),
	}
}

// Handler returns the HTTP interface of the platform.
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

// SetBehaviour sets how the platform fails from now on.
func (p *Platform) SetBehaviour(b PlatformBehaviour) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behaviour = b
}

// Counts returns the calls so far.
func (p *Platform) Counts() PlatformCallCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) lag() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.behaviour.ListLagMs) * time.Millisecond
}

// admit applies outage, slowness and call rates, and reports whether the call
// goes on.
func (p *Platform) admit(w http.ResponseWriter, rate *allowance, count *int64) bool {
	p.mu.Lock()
	b := p.behaviour
	ok := rate.take(time.Now())
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

// list answers with the instances, or with 304 when the caller has them already.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(p.instances.list(time.Now(), p.lag()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
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
		p.wait(r, keyOf(r), after)
	}
	writeJSON(w, http.StatusOK, p.value(keyOf(r)))
}

func (p *Platform) wait(r *http.Request, key, after string) {
	revision, _ := strconv.ParseInt(after, 10, 64)
	ms, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		p.mu.Lock()
		changed := p.changed
		now := p.valueLocked(key)
		down := p.behaviour.Down
		p.mu.Unlock()
		if now.Revision > revision || down {
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

func (p *Platform) value(key string) plat.Value {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.valueLocked(key)
}

func (p *Platform) valueLocked(key string) plat.Value {
	v, ok := p.values[key]
	if !ok || (!v.until.IsZero() && time.Now().After(v.until)) {
		return plat.Value{}
	}
	return plat.Value{Data: v.data, Revision: v.revision}
}

// mostValueBytes is the greatest value.
const mostValueBytes = 1 << 20

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	var req plat.SwapRequest
	if !readJSON(w, r, &req) || !p.admit(w, &p.writes, &p.counts.Writes) {
		return
	}
	if len(req.Data) > mostValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	v, swapped, lose := p.swap(keyOf(r), req)
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case !swapped:
		writeJSON(w, http.StatusConflict, v)
	default:
		writeJSON(w, http.StatusOK, plat.Value{Revision: v.Revision})
	}
}

func (p *Platform) swap(key string, req plat.SwapRequest) (v plat.Value, swapped, lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lose = p.behaviour.DropWriteResponses > 0
	if lose {
		p.behaviour.DropWriteResponses--
	}
	have := p.valueLocked(key)
	if have.Revision != req.Base {
		p.counts.Conflicts++
		return have, false, lose
	}
	next := &entryValue{data: req.Data, revision: have.Revision + 1}
	if req.TTLMs > 0 {
		next.until = time.Now().Add(time.Duration(req.TTLMs) * time.Millisecond)
	}
	p.values[key] = next
	close(p.changed)
	p.changed = make(chan struct{})
	return p.valueLocked(key), true, lose
}
