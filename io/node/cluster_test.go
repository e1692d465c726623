package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/io/node"
	"magnolialedge/platform"
	"magnolialedge/platform/stand"
)

// testCluster is a store, upstreams and entries on loopback addresses.
type testCluster struct {
	t         *testing.T
	store     *stand.Store
	upstreams []*stand.Upstream
	entries   []*testEntry
	version   int
	routes    []string
	// accounts is the JSON of the client accounts, or empty for none.
	accounts   string
	requestSeq int
	// coldPerSecond is the limit of cold upstreams, or 0.
	coldPerSecond float64
	// admission turns admission control by priority on.
	admission bool
	// maxBodyBytes limits the bodies of requests.
	maxBodyBytes int
	mu           sync.Mutex
}

// testEntry is a running entry.
type testEntry struct {
	settings node.Settings
	stop     context.CancelFunc
	stopped  chan struct{}
	logs     *syncBuffer
	// metricsPort serves metrics and the dump.
	metricsPort int
	// partition cuts the entry off from upstreams.
	partition *stand.Partition
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

// newTestCluster marks the test as parallel and starts a store with a
// configuration, two upstreams and one entry.
func newTestCluster(t *testing.T) *testCluster {
	return newTestClusterWith(t, func(*testCluster) {})
}

// newAdmissionCluster returns a testCluster whose entries have admission control by priority.
func newAdmissionCluster(t *testing.T) *testCluster {
	return newTestClusterWith(t, func(tc *testCluster) { tc.admission = true })
}

func newTestClusterWith(t *testing.T, change func(*testCluster)) *testCluster {
	t.Parallel()
	tc := &testCluster{t: t, store: stand.NewStore(), version: 1, maxBodyBytes: 100000}
	change(tc)
	t.Cleanup(tc.store.Close)
	tc.routes = []string{
		routeJSON("reads", "/reads/", "safe", 1000, "svc"),
		routeJSON("writes", "/writes/", "non_idempotent", 1000, "svc"),
	}
	tc.putConfig()
	tc.addUpstream("u1")
	tc.addUpstream("u2")
	tc.addEntry("e1", "127.0.0.1")
	return tc
}

func routeJSON(name, prefix, kind string, timeoutMs int, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"route-type":%q,"timeout-ms":%d,"aim-ms":300,"priority":1,"service":%q,"max-attempts":2}`,
		name, host, prefix, kind, timeoutMs, service)
}

// putConfig writes the next version of the configuration to the store.
func (tc *testCluster) putConfig() {
	tc.version += 2
	routes := ""
	for i, r := range tc.routes {
		if i > 0 {
			routes += ","
		}
		routes += r
	}
	accounts := ""
	if tc.accounts != "" {
		accounts = `"tenants":[` + tc.accounts + `],`
	}
	tc.store.Put("op/config", []byte(fmt.Sprintf(`{"version":"r%d",%s"routes":[%s],"services":[{"name":"svc","health-path":"/health","max-conns":100,"cold-per-s":%g},{"name":"other","health-path":"/health","max-conns":100}],"limits":{"max-header-bytes":4096,"max-body-bytes":%d,"header-timeout-ms":300,"idle-timeout-ms":5000}}`, tc.version, accounts, routes, tc.coldPerSecond, tc.maxBodyBytes)))
}

func (tc *testCluster) addUpstream(id string) *stand.Upstream {
	return tc.addServiceUpstream(id, "svc")
}

func (tc *testCluster) addServiceUpstream(id, service string) *stand.Upstream {
	u := stand.NewUpstream(stand.UpstreamConfig{ID: id, Service: service, Zone: "east-a", Slots: 4, WorkDuration: 20 * time.Millisecond})
	tc.t.Cleanup(u.Close)
	u.Register(tc.store, "ready")
	tc.upstreams = append(tc.upstreams, u)
	return u
}

// The ports of entries lie below the ephemeral range, which starts at 32768 on Linux.
// An outgoing connection of a parallel test can take an ephemeral port before the
// entry listens on it; Node.Run then fails with "address already in use".
const (
	minPort   = 10000
	portCount = 22000
	// maxPortOffset limits the offset at which a process starts, and portsPerPID
	// separates the offsets of test processes that run at the same time.
	maxPortOffset = 20000
	portsPerPID   = 512
)

// portCounter is the number of ports that freePort has tried, plus an offset that
// depends on the process ID.
var portCounter atomic.Int64

func init() {
	portCounter.Store(int64(os.Getpid() * portsPerPID % maxPortOffset))
}

// freePort returns a port on which nothing listens. A process uses no port twice
// before it has tried all of them.
func freePort(t *testing.T, ip string) int {
	for range portCount {
		port := minPort + int((portCounter.Add(1)-1)%portCount)
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		require.NoError(t, err)
		require.NoError(t, l.Close())
		return port
	}
	require.FailNow(t, "no free port", "all %d ports from %d are in use", portCount, minPort)
	return 0
}

func (tc *testCluster) addEntry(name, ip string) *testEntry {
	return tc.addEntryWith(name, ip, func(*node.Settings) {})
}

// addEntryWith starts an entry with settings that change has modified, and waits
// until it is ready.
func (tc *testCluster) addEntryWith(name, ip string, change func(*node.Settings)) *testEntry {
	address := func() string { return net.JoinHostPort(ip, strconv.Itoa(freePort(tc.t, ip))) }
	peer := freePort(tc.t, ip)
	e := &testEntry{
		settings: node.Settings{
			Name: name, Zone: "east-a", Region: "east", IP: ip,
			Regions:       map[string]string{"east-a": "east", "east-b": "east", "west-a": "west"},
			CallerAddress: address(), ReadyAddress: address(), DirectoryAddress: address(), StoreAddress: tc.store.Address(),
			FirstPort: peer, LastPort: peer, StopTimeout: 6 * time.Second, MaxPropagation: time.Second, RetryRatio: 0.2, RetryExtra: 400,
			MaxResolveTTL: 5 * time.Second,
		},
		stopped:     make(chan struct{}),
		logs:        &syncBuffer{},
		metricsPort: freePort(tc.t, ip),
		partition:   stand.NewPartition(),
	}
	change(&e.settings)
	n, err := node.New(node.Config{
		Settings:    e.settings,
		MetricsPort: e.metricsPort,
		Headers:     platform.HeaderProtocol(),
		Decoder:     platform.Decoder{},
		API:         platform.EntryAPI{},
		NewStore:    platform.OpenStore,
		LogWriter:   e.logs,
		Admission:   tc.admission,

		UpstreamDialer: e.partition,
	})
	require.NoError(tc.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go func() {
		defer close(e.stopped)
		if err := n.Run(ctx, nil); err != nil {
			tc.t.Errorf("entry %s: %v", name, err)
		}
	}()
	tc.t.Cleanup(func() {
		cancel()
		<-e.stopped
	})
	tc.entries = append(tc.entries, e)
	require.Eventually(tc.t, e.isReady, 3*time.Second, 5*time.Millisecond)
	return e
}

func (e *testEntry) isReady() bool {
	resp, err := http.Get("http://" + e.settings.ReadyAddress + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *testEntry) resolve(t *testing.T, region string) []string {
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

// response is a response as its caller receives it.
type response struct {
	status     int
	body       string
	signature  string
	id         string
	retryAfter string
}

func (tc *testCluster) nextID() string {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.requestSeq++
	return fmt.Sprintf("request-%d", tc.requestSeq)
}

// send sends a request to the first entry and returns the response and the
// request ID.
func (tc *testCluster) send(method, path, body string) (response, string) {
	id := tc.nextID()
	resp, err := sendTo(context.Background(), http.DefaultClient, tc.entries[0].settings.CallerAddress, method, path, body, id)
	require.NoError(tc.t, err)
	return resp, id
}

// callerDeadline is how long callers wait for a response.
const callerDeadline = 2 * time.Second

func sendTo(ctx context.Context, c *http.Client, address, method, path, body, id string) (response, error) {
	return sendWithin(ctx, callerDeadline, c, address, method, path, body, id)
}

// sendWithin sends a request whose caller waits for the given time.
func sendWithin(ctx context.Context, deadline time.Duration, c *http.Client, address, method, path, body, id string) (response, error) {
	var r io.Reader
	if body != "" {
		r = bytes.NewReader([]byte(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, r)
	if err != nil {
		return response{}, err
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := c.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{
		status:     resp.StatusCode,
		body:       string(text),
		signature:  resp.Header.Get("X-Response-Signature"),
		id:         resp.Header.Get("X-Request-Id"),
		retryAfter: resp.Header.Get("Retry-After"),
	}, err
}

// runCount returns how often all upstreams together ran a request.
func (tc *testCluster) runCount(id string) int {
	n := 0
	for _, u := range tc.upstreams {
		n += u.Runs()[id]
	}
	return n
}

func (tc *testCluster) setResponseMode(mode stand.ResponseMode) {
	for _, u := range tc.upstreams {
		u.SetResponseMode(mode)
	}
}
