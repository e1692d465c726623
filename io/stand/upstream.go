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

// UpstreamBehaviour is how an upstream serves and fails.
type UpstreamBehaviour struct {
	MeanServiceTimeMs float64 `json:"meanMs"`
	// Constant makes each request take the mean time; otherwise times are
	// exponentially distributed.
	ConstantServiceTime bool `json:"constant"`
	// SlowdownFactor slows every request; 0 stands for 1.
	SlowdownFactor float64 `json:"factor"`
	// NoiseFactor slows the upstream for NoiseForMs in every NoiseEveryMs.
	NoiseFactor     float64 `json:"noiseFactor"`
	NoiseDurationMs int     `json:"noiseForMs"`
	NoisePeriodMs   int     `json:"noiseEveryMs"`
	// FailFast answers 500 at once.
	FailFast bool `json:"failFast"`
	// Draining says in each answer that the upstream leaves.
	Draining bool `json:"draining"`
	// LoadReportOffset is added to the reported load.
	LoadReportOffset int `json:"lie"`
	// WarmUpMs is the time over which a new upstream gets to full speed.
	WarmUpMs int `json:"coldMs"`
}

// UpstreamConfig constructs an Upstream.
type UpstreamConfig struct {
	Name  string
	Slots int
	// Queue is the number of requests that wait for a slot; more are shed.
	MaxQueue int
	Seed     uint64
	// CrashDuration is how long the upstream is gone after a request that crashes
	// it.
	CrashDuration time.Duration
	Behaviour     UpstreamBehaviour
}

// Run records one request that an upstream ran.
type RequestRun struct {
	Key       string    `json:"key,omitempty"`
	RequestID string    `json:"requestId"`
	At        time.Time `json:"at"`
}

// UpstreamRecord is what an upstream has done.
type UpstreamRecord struct {
	Name     string `json:"name"`
	Ran      int64  `json:"ran"`
	Shed     int64  `json:"shed"`
	Failed   int64  `json:"failed"`
	Crashes  int64  `json:"crashes"`
	Canceled int64  `json:"canceled"`
	// LateRequests counts requests that arrived more than 3 s after the drain began.
	LateRequests int64 `json:"late"`
	// Runs names the non-idempotent requests that were run.
	Runs []RequestRun `json:"runs"`
}

// Headers by which a request tells an upstream stand-in what to do.
const (
	// HeaderCrash crashes each upstream that runs the request.
	HeaderCrash = "Standin-Crash"
	// HeaderTag is returned in the answer's body, to tell whose answer it is.
	HeaderTag = "Standin-Tag"
	// HeaderBodyBytes sets the length of the answer's body.
	HeaderBodyBytes = "Standin-Bytes"
)

// drainLimit is the time after the start of a drain from which new work is late.
const drainLimit = 3 * time.Second

// Upstream serves requests with a few slots.
type Upstream struct {
	cfg     UpstreamConfig
	slots   chan struct{}
	started time.Time

	mu         sync.Mutex
	behaviour  UpstreamBehaviour
	drainSince time.Time
	record     UpstreamRecord
	inFlight   int
	rand       *rand.Rand
	server     *Server
	address    string
}

// NewUpstream returns an Upstream.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	return &Upstream{
		cfg:       cfg,
		slots:     make(chan struct{}, cfg.Slots),
		started:   time.Now(),
		behaviour: cfg.Behaviour,
		record:    UpstreamRecord{Name: cfg.Name},
		rand:      rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
}

// Start listens on address.
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

// Close ends the upstream.
func (u *Upstream) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server.Close()
}

// SetBehaviour sets how the upstream serves from now on.
func (u *Upstream) SetBehaviour(b UpstreamBehaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if b.Draining && !u.behaviour.Draining {
		u.drainSince = time.Now()
	}
	u.behaviour = b
}

// Record returns what the upstream has done.
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
		b := u.now()
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

func (u *Upstream) now() UpstreamBehaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	load, room := u.arrive()
	defer u.leave()
	w.Header().Set("Upstream-Load", load)
	if u.now().FailFast {
		u.count(&u.record.Failed)
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if !room {
		u.count(&u.record.Shed)
		w.Header().Set("Request-Outcome", "notRun")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		u.count(&u.record.Canceled)
		return
	}
	defer func() { <-u.slots }()
	u.run(w, r, body)
}

// arrive counts a request and returns the load report and whether there is room.
func (u *Upstream) arrive() (string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	if u.behaviour.Draining && time.Since(u.drainSince) > drainLimit {
		u.record.LateRequests++
	}
	said := max(0, u.inFlight+u.behaviour.LoadReportOffset)
	running := min(said, u.cfg.Slots)
	load := fmt.Sprintf("inFlight=%d queued=%d", running, said-running)
	if u.behaviour.Draining {
		load += " draining"
	}
	return load, u.inFlight <= u.cfg.Slots+u.cfg.MaxQueue
}

func (u *Upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

func (u *Upstream) count(n *int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	*n++
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request, body int64) {
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
	if !u.work(r) {
		u.count(&u.record.Canceled)
		return
	}
	u.answer(w, r, body)
}

// workStep is how often a request looks whether its upstream has become slow.
const workStep = 5 * time.Millisecond

// work takes the time of one request and reports false when it was cancelled.
func (u *Upstream) work(r *http.Request) bool {
	left := float64(u.serviceTime())
	for left > 0 {
		slowness := u.slowness()
		begun := time.Now()
		timer := time.NewTimer(min(workStep, time.Duration(left*slowness)))
		select {
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return false
		}
		left -= float64(time.Since(begun)) / slowness
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

// slowness returns the factor by which the upstream is slow at this moment.
func (u *Upstream) slowness() float64 {
	b := u.now()
	factor := 1.0
	if b.SlowdownFactor > 0 {
		factor = b.SlowdownFactor
	}
	age := time.Since(u.started)
	if b.NoisePeriodMs > 0 {
		every := time.Duration(b.NoisePeriodMs) * time.Millisecond
		phase := (age + time.Duration(u.cfg.Seed%97)*every/97) % every
		if phase < time.Duration(b.NoiseDurationMs)*time.Millisecond {
			factor *= b.NoiseFactor
		}
	}
	cold := time.Duration(b.WarmUpMs) * time.Millisecond
	if age < cold {
		factor *= 1 + 9*float64(cold-age)/float64(cold)
	}
	return factor
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, body int64) {
	tag := r.Header.Get(HeaderTag)
	if tag == "" {
		tag = r.Header.Get("Request-Id")
	}
	w.Header().Set("Content-Type", "text/plain")
	text := fmt.Sprintf("%s %s %s received=%d upstream=%s\n", tag, r.Method, r.URL.RequestURI(), body, u.cfg.Name)
	var length int
	_, _ = fmt.Sscan(r.Header.Get(HeaderBodyBytes), &length)
	_, _ = io.WriteString(w, text)
	for n := len(text); n < length; n += len(text) {
		_, _ = io.WriteString(w, text)
	}
}

// crash breaks every connection and refuses new ones for a while.
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
	u.started = time.Now()
	u.server = serveOn(l, u.handler())
	return nil
}
