package stand

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// UpstreamBehaviour configures the service times and faults of an upstream.
type UpstreamBehaviour struct {
	MeanServiceTimeMs float64 `json:"meanMs"`
	// ConstantServiceTime makes every request take the mean time. Otherwise
	// service times are exponentially distributed.
	ConstantServiceTime bool `json:"constant"`
	// SlowdownFactor multiplies every service time; 0 means 1.
	SlowdownFactor float64 `json:"factor"`
	// NoiseFactor multiplies service times for NoiseDurationMs in every
	// NoisePeriodMs.
	NoiseFactor     float64 `json:"noiseFactor"`
	NoiseDurationMs int     `json:"noiseForMs"`
	NoisePeriodMs   int     `json:"noiseEveryMs"`
	// FailFast responds with 500 immediately.
	FailFast bool `json:"failFast"`
	// Draining adds the draining flag to every load report.
	Draining bool `json:"draining"`
	// LoadReportOffset is added to the number of requests in a load report.
	LoadReportOffset int `json:"lie"`
	// WarmUpMs is the time from the start of an upstream until it reaches full
	// speed. It is ten times slower at first.
	WarmUpMs int `json:"coldMs"`
}

// UpstreamConfig configures an Upstream.
type UpstreamConfig struct {
	Name  string
	Slots int
	// MaxQueue limits the requests that wait for a slot. Further requests are shed.
	MaxQueue int
	Seed     uint64
	// CrashDuration is the time from a crash until the upstream listens again.
	CrashDuration time.Duration
	Behaviour     UpstreamBehaviour
}

// RequestRun records the run of a non-idempotent request.
type RequestRun struct {
	Key       string    `json:"key,omitempty"`
	RequestID string    `json:"requestId"`
	At        time.Time `json:"at"`
}

// UpstreamRecord counts the requests of an upstream by result.
type UpstreamRecord struct {
	Name     string `json:"name"`
	Ran      int64  `json:"ran"`
	Shed     int64  `json:"shed"`
	Failed   int64  `json:"failed"`
	Crashes  int64  `json:"crashes"`
	Canceled int64  `json:"canceled"`
	// LateRequests counts requests that arrived later than the drain grace period
	// after the drain began.
	LateRequests int64 `json:"late"`
	// Runs lists the non-idempotent requests that ran.
	Runs []RequestRun `json:"runs"`
}

// Request headers that control an upstream stand-in.
const (
	// HeaderCrash crashes the upstream that runs the request.
	HeaderCrash = "Standin-Crash"
	// HeaderTag is echoed at the start of the response body, so that callers can
	// check that the response belongs to their request.
	HeaderTag = "Standin-Tag"
	// HeaderBodyBytes sets the minimum length of the response body.
	HeaderBodyBytes = "Standin-Bytes"
)

// drainGracePeriod is the time after the start of a drain within which entries may
// still send new requests.
const drainGracePeriod = 3 * time.Second

// Upstream is a stand-in for an upstream that runs a limited number of requests at
// a time.
type Upstream struct {
	cfg       UpstreamConfig
	slots     chan struct{}
	startedAt time.Time

	mu             sync.Mutex
	behaviour      UpstreamBehaviour
	drainStartedAt time.Time
	record         UpstreamRecord
	inFlight       int
	rand           *rand.Rand
	server         *Server
	address        string
}

// NewUpstream returns an Upstream that does not listen yet.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	return &Upstream{
		cfg:       cfg,
		slots:     make(chan struct{}, cfg.Slots),
		startedAt: time.Now(),
		behaviour: cfg.Behaviour,
		record:    UpstreamRecord{Name: cfg.Name},
		rand:      rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
}

// Start starts to serve on address.
func (u *Upstream) Start(address string) error {
	s, err := Listen(address, u.handler())
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server = s
	u.address = s.Address()
	return nil
}

// Address returns the address that the upstream listens on.
func (u *Upstream) Address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.address
}

// Close stops the upstream and closes its connections.
func (u *Upstream) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server.Close()
}

// SetBehaviour replaces the behaviour, also for requests that are running.
func (u *Upstream) SetBehaviour(b UpstreamBehaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if b.Draining && !u.behaviour.Draining {
		u.drainStartedAt = time.Now()
	}
	u.behaviour = b
}

// Record returns the counts so far.
func (u *Upstream) Record() UpstreamRecord {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.record
	r.Runs = append([]RequestRun(nil), u.record.Runs...)
	return r
}

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ControlPathPrefix+"behave", func(w http.ResponseWriter, r *http.Request) {
		b := u.currentBehaviour()
		if readJSON(w, r, &b) {
			u.SetBehaviour(b)
			writeJSON(w, http.StatusOK, b)
		}
	})
	mux.HandleFunc("GET "+ControlPathPrefix+"record", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, u.Record())
	})
	mux.HandleFunc("/", u.serve)
	return mux
}

func (u *Upstream) currentBehaviour() UpstreamBehaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	bodyBytes, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	load, hasRoom := u.admit()
	defer u.release()
	w.Header().Set("Upstream-Load", load)
	if u.currentBehaviour().FailFast {
		u.increment(&u.record.Failed)
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if !hasRoom {
		u.increment(&u.record.Shed)
		w.Header().Set("Request-Outcome", "notRun")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		u.increment(&u.record.Canceled)
		return
	}
	defer func() { <-u.slots }()
	u.run(w, r, bodyBytes)
}

// admit counts a request as in flight and returns the load report and whether a
// slot or a place in the queue is free.
func (u *Upstream) admit() (string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	if u.behaviour.Draining && time.Since(u.drainStartedAt) > drainGracePeriod {
		u.record.LateRequests++
	}
	reported := max(0, u.inFlight+u.behaviour.LoadReportOffset)
	running := min(reported, u.cfg.Slots)
	load := fmt.Sprintf("inFlight=%d queued=%d", running, reported-running)
	if u.behaviour.Draining {
		load += " draining"
	}
	return load, u.inFlight <= u.cfg.Slots+u.cfg.MaxQueue
}

func (u *Upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

func (u *Upstream) increment(n *int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	*n++
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request, bodyBytes int64) {
	u.mu.Lock()
	u.record.Ran++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		u.record.Runs = append(u.record.Runs, RequestRun{Key: key, RequestID: r.Header.Get("Request-Id"), At: time.Now()})
	}
	u.mu.Unlock()
	if r.Header.Get(HeaderCrash) != "" {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	if !u.simulateWork(r) {
		u.increment(&u.record.Canceled)
		return
	}
	u.writeResponse(w, r, bodyBytes)
}

// workPollInterval is how often a running request applies the current slowdown.
const workPollInterval = 5 * time.Millisecond

// simulateWork waits for the service time of one request, stretched by the
// slowdown. It returns false if the request was canceled.
func (u *Upstream) simulateWork(r *http.Request) bool {
	remaining := float64(u.serviceTime())
	for remaining > 0 {
		factor := u.slowdown()
		start := time.Now()
		timer := time.NewTimer(min(workPollInterval, time.Duration(remaining*factor)))
		select {
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return false
		}
		remaining -= float64(time.Since(start)) / factor
	}
	return true
}

func (u *Upstream) serviceTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	factor := 1.0
	if !u.behaviour.ConstantServiceTime {
		factor = u.rand.ExpFloat64()
	}
	return time.Duration(factor * u.behaviour.MeanServiceTimeMs * float64(time.Millisecond))
}

// slowdown returns the factor by which service times are currently multiplied.
// Noise starts at a phase that depends on the seed.
func (u *Upstream) slowdown() float64 {
	b := u.currentBehaviour()
	factor := 1.0
	if b.SlowdownFactor > 0 {
		factor = b.SlowdownFactor
	}
	age := time.Since(u.startedAt)
	if b.NoisePeriodMs > 0 {
		period := time.Duration(b.NoisePeriodMs) * time.Millisecond
		phase := (age + time.Duration(u.cfg.Seed%97)*period/97) % period
		if phase < time.Duration(b.NoiseDurationMs)*time.Millisecond {
			factor *= b.NoiseFactor
		}
	}
	warmUp := time.Duration(b.WarmUpMs) * time.Millisecond
	if age < warmUp {
		factor *= 1 + 9*float64(warmUp-age)/float64(warmUp)
	}
	return factor
}

func (u *Upstream) writeResponse(w http.ResponseWriter, r *http.Request, bodyBytes int64) {
	tag := r.Header.Get(HeaderTag)
	if tag == "" {
		tag = r.Header.Get("Request-Id")
	}
	w.Header().Set("Content-Type", "text/plain")
	text := fmt.Sprintf("%s %s %s received=%d upstream=%s\n", tag, r.Method, r.URL.RequestURI(), bodyBytes, u.cfg.Name)
	var length int
	_, _ = fmt.Sscan(r.Header.Get(HeaderBodyBytes), &length)
	_, _ = io.WriteString(w, text)
	for n := len(text); n < length; n += len(text) {
		_, _ = io.WriteString(w, text)
	}
}

// crash closes the listener and every connection, and restarts the upstream after
// CrashDuration.
func (u *Upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.record.Crashes++
	go u.server.Close()
	address := u.address
	time.AfterFunc(u.cfg.CrashDuration, func() { _ = u.restart(address) })
}

func (u *Upstream) restart(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "restart")
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.startedAt = time.Now()
	u.server = serveOn(l, u.handler())
	return nil
}
