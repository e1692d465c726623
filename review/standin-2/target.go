package main

import (
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"magnolialedge/platform"
	"magnolialedge/platform/stand"
)

//go:embed registration.json
var registrationTemplate string

var (
	services = []string{"inspection-svc", "history-svc"}
	zones    = []string{"bag-a", "bag-b"}
	headers  = platform.HeaderProtocol()
)

const (
	slots = 4
	queue = 16
	// uploadTime is how long an upload runs, and readTime any other request.
	uploadTime = 72 * time.Millisecond
	readTime   = 240 * time.Millisecond
	// heartbeat is the interval between two entries in the store, and silence how long the
	// entry of a target that says nothing stays there: three of them.
	heartbeat = 1500 * time.Millisecond
	silence   = 3 * heartbeat
	// downTime is how long a target that crashed is down.
	downTime = 3 * time.Second
	// crashPath is the path of the request that crashes the targets.
	crashPath = "/view/transformer-17"
)

// arrival is a request that a target began to run.
type arrival struct {
	at         time.Time
	id, target string
	method     string
	path       string
	account    string
	bodyBytes  int
}

// crashes reports whether the arrival is one of the request that crashes targets.
func (a arrival) crashes() bool {
	return a.path == crashPath && a.account != otherAccount
}

// fleet holds the targets and what they have run.
type fleet struct {
	store      *stand.Store
	isDark     bool
	hasTrouble bool
	mu         sync.Mutex
	started    int
	arrivals   []arrival
	// answered holds the requests whose answers were written.
	answered map[string]bool
	targets  []*target
	closed   bool
}

// target is one start of a target.
type target struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	server  *http.Server
	address string
	born    time.Time
	slots   chan struct{}
	// crashed is closed when the target crashes.
	crashed chan struct{}
	once    sync.Once

	mu      sync.Mutex
	running int
	waiting int
}

// start starts a target with an ID of its own and registers it.
func (f *fleet) start(service, zone string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return l.Close()
	}
	f.started++
	t := &target{fleet: f, id: fmt.Sprintf("i-%08x", 0x5a3c0000+f.started), service: service, zone: zone, address: l.Addr().String(), born: time.Now(), slots: make(chan struct{}, slots), crashed: make(chan struct{})}
	t.server = &http.Server{Handler: t}
	f.targets = append(f.targets, t)
	go func() { _ = t.server.Serve(l) }()
	go t.beat()
	return nil
}

// close ends all targets.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, t := range f.targets {
		_ = t.server.Close()
	}
}

// beat keeps the entry of the target in the store until it crashes. The entry is removed after
// three intervals of silence.
func (t *target) beat() {
	for seq := 1; ; seq++ {
		t.fleet.store.Put(fmt.Sprintf("servers/%s", t.id), fmt.Appendf(nil, registrationTemplate, t.service, t.address, t.zone, seq, t.born.UnixMilli()))
		select {
		case <-t.crashed:
			time.Sleep(silence)
			t.fleet.store.Delete(fmt.Sprintf("servers/%s", t.id))
			return
		case <-time.After(heartbeat):
		}
	}
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.silentIfCrashed()
	id := r.Header.Get(headers.RequestID)
	w.Header().Set(headers.Load, t.load())
	if expected := r.Header.Get(headers.ExpectedInstance); expected != "" && expected != t.id {
		t.reject(w, id, http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set(headers.Instance, t.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !t.acquire() {
		t.reject(w, id, http.StatusServiceUnavailable)
		return
	}
	defer t.release()
	t.silentIfCrashed()
	f := t.fleet
	a := arrival{at: time.Now(), id: id, target: t.id, method: r.Method, path: r.URL.Path, account: r.Header.Get(headers.Account), bodyBytes: len(body)}
	f.mu.Lock()
	f.arrivals = append(f.arrivals, a)
	f.mu.Unlock()
	if a.crashes() && f.hasTrouble {
		t.once.Do(t.crash)
	}
	work := readTime
	if r.Method == http.MethodPost {
		work = uploadTime
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	t.silentIfCrashed()
	text := fmt.Sprintf("%s %s %d", r.Method, r.URL.Path, len(body))
	w.Header().Set(headers.RequestID, id)
	w.Header().Set(headers.Signature, "3e1b.07."+t.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := io.WriteString(w, text); err == nil {
		f.mu.Lock()
		f.answered[id] = true
		f.mu.Unlock()
	}
}

// reject says that the request was not run.
func (t *target) reject(w http.ResponseWriter, id string, status int) {
	w.Header().Set(headers.RequestID, id)
	w.Header().Set(headers.NotRun, "1")
	w.WriteHeader(status)
}

// acquire waits for a slot. It returns false if too many requests wait already.
func (t *target) acquire() bool {
	t.mu.Lock()
	if t.waiting >= queue {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	t.slots <- struct{}{}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
	t.running++
	return true
}

func (t *target) release() {
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	<-t.slots
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", t.running, t.waiting, slots)
}

// silentIfCrashed does not return while a dark machine is off: nothing on it runs. A process
// that ended runs nothing either.
func (t *target) silentIfCrashed() {
	select {
	case <-t.crashed:
		select {}
	default:
	}
}

// crash ends the target, and starts another one in its place after downTime. The kernel closes the
// connections of a process that ends; a machine that goes dark does not, and answers nothing.
func (t *target) crash() {
	close(t.crashed)
	if !t.fleet.isDark {
		go func() { _ = t.server.Close() }()
	}
	go func() {
		time.Sleep(downTime)
		_ = t.server.Close()
		_ = t.fleet.start(t.service, t.zone)
	}()
}
