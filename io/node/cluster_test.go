package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/io/node"
	"magnolialedge/platform"
	"magnolialedge/platform/stand"
)

// world is a store, upstreams and entries on loopback.
type world struct {
	t       *testing.T
	store   *stand.Store
	ups     []*stand.Upstream
	entries []*entry
	version int
	routes  []string
	seq     int
	mu      sync.Mutex
}

// entry is a running instance.
type entry struct {
	settings node.Settings
	stop     context.CancelFunc
	stopped  chan struct{}
	logs     *syncBuffer
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

const host = "shop.example"

// newWorld lets the test run beside others, and starts a store with a configuration, two upstreams and one entry.
func newWorld(t *testing.T) *world {
	t.Parallel()
	w := &world{t: t, store: stand.NewStore(), version: 1}
	t.Cleanup(w.store.Close)
	w.routes = []string{
		route("reads", "/reads/", "safe", 1000, "svc"),
		route("writes", "/writes/", "non_idempotent", 1000, "svc"),
	}
	w.configure()
	w.addUpstream("u1")
	w.addUpstream("u2")
	w.addEntry("e1", "127.0.0.1")
	return w
}

func route(name, prefix, kind string, timeoutMs int, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"route-type":%q,"timeout-ms":%d,"aim-ms":300,"priority":1,"service":%q,"max-attempts":2}`,
		name, host, prefix, kind, timeoutMs, service)
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.version += 2
	routes := ""
	for i, r := range w.routes {
		if i > 0 {
			routes += ","
		}
		routes += r
	}
	w.store.Put("op/config", []byte(fmt.Sprintf(`{"version":"r%d","routes":[%s],"services":[{"name":"svc","health-path":"/health","max-conns":100},{"name":"other","health-path":"/health","max-conns":100}],"limits":{"max-header-bytes":4096,"max-body-bytes":100000,"header-timeout-ms":300,"idle-timeout-ms":5000}}`, w.version, routes)))
}

func (w *world) addUpstream(id string) *stand.Upstream {
	return w.addUpstreamOf(id, "svc")
}

func (w *world) addUpstreamOf(id, service string) *stand.Upstream {
	u := stand.NewUpstream(stand.UpstreamConfig{ID: id, Service: service, Zone: "east-a", Slots: 4, WorkDuration: 20 * time.Millisecond})
	w.t.Cleanup(u.Close)
	u.Register(w.store, "ready")
	w.ups = append(w.ups, u)
	return u
}

func freePort(t *testing.T, ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func (w *world) addEntry(name, ip string) *entry {
	return w.addEntryWith(name, ip, func(*node.Settings) {})
}

// addEntryWith starts an entry with changed settings.
func (w *world) addEntryWith(name, ip string, change func(*node.Settings)) *entry {
	address := func() string { return net.JoinHostPort(ip, strconv.Itoa(freePort(w.t, ip))) }
	peer := freePort(w.t, ip)
	e := &entry{
		settings: node.Settings{
			Name: name, Zone: "east-a", Region: "east", IP: ip,
			Regions:       map[string]string{"east-a": "east", "east-b": "east", "west-a": "west"},
			CallerAddress: address(), ReadyAddress: address(), DirectoryAddress: address(), StoreAddress: w.store.Address(),
			FirstPort: peer, LastPort: peer, StopTimeout: 6 * time.Second, RetryRatio: 0.2, RetryExtra: 400,
			MaxResolveTTL: 5 * time.Second,
		},
		stopped: make(chan struct{}),
		logs:    &syncBuffer{},
	}
	change(&e.settings)
	n, err := node.New(node.Config{
		Settings:  e.settings,
		Headers:   platform.Headers(),
		Decoder:   platform.Decoder{},
		API:       platform.Endpoints{},
		NewStore:  platform.OpenStore,
		LogWriter: e.logs,
	})
	require.NoError(w.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go func() {
		defer close(e.stopped)
		_ = n.Run(ctx, nil)
	}()
	w.t.Cleanup(func() {
		cancel()
		<-e.stopped
	})
	w.entries = append(w.entries, e)
	require.Eventually(w.t, e.isReady, 3*time.Second, 5*time.Millisecond)
	return e
}

func (e *entry) isReady() bool {
	resp, err := http.Get("http://" + e.settings.ReadyAddress + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *entry) resolve(t *testing.T, region string) []string {
	resp, err := http.Get("http://" + e.settings.DirectoryAddress + "/resolve?name=" + host + "&region=" + region)
	require.NoError(t, err)
	defer resp.Body.Close()
	var out struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl-s"`
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&out))
	return out.Addresses
}

// answer is what a caller gets.
type answer struct {
	status     int
	body       string
	signature  string
	id         string
	retryAfter string
}

func (w *world) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return fmt.Sprintf("request-%d", w.seq)
}

// call sends a request to the first entry.
func (w *world) call(method, path, body string) (answer, string) {
	id := w.nextID()
	a, err := callAt(context.Background(), http.DefaultClient, w.entries[0].settings.CallerAddress, method, path, body, id)
	require.NoError(w.t, err)
	return a, id
}

func callAt(ctx context.Context, c *http.Client, address, method, path, body, id string) (answer, error) {
	var r io.Reader
	if body != "" {
		r = bytes.NewReader([]byte(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, r)
	if err != nil {
		return answer{}, err
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "2000")
	resp, err := c.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{
		status:     resp.StatusCode,
		body:       string(text),
		signature:  resp.Header.Get("X-Response-Signature"),
		id:         resp.Header.Get("X-Request-Id"),
		retryAfter: resp.Header.Get("Retry-After"),
	}, err
}

// runs returns how often all upstreams ran a request.
func (w *world) runs(id string) int {
	n := 0
	for _, u := range w.ups {
		n += u.Runs()[id]
	}
	return n
}

func (w *world) setManner(m stand.ResponseMode) {
	for _, u := range w.ups {
		u.SetResponseMode(m)
	}
}
