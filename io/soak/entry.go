package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge/io/node"
	"magnolialedge/io/stand"
	platform "magnolialedge/platform/stand"
)

// stopTimeout limits how long an entry may take to stop.
const stopTimeout = 6 * time.Second

// entry is an entry instance. It runs as a process that can be stopped and started
// again.
type entry struct {
	settings node.Settings
	// settingsPath is the path of the settings file, and logPath that of the
	// file for standard output and standard error.
	settingsPath, logPath string
	metricsPort           int
	// storeLink forwards the connections from the entry to the store, and
	// linkListener accepts them.
	storeLink    *stand.Link
	linkListener net.Listener
	// upstreamLink forwards the connections from the entry to upstreams, and gateway
	// serves it.
	upstreamLink *stand.Link
	gateway      *stand.Server

	mu sync.Mutex
	// binary is the path of the program that start runs, and hasNoGateway is set if the
	// program has no gatewayFlag.
	binary       string
	hasNoGateway bool
	current      *process
	// isStopExpected is true once the process has been signalled to stop.
	isStopExpected bool
	// runCount is the number of processes started so far.
	runCount int
}

// firstPort is the first of five consecutive ports of an entry.
const firstPort = 7100

// loopbackIP returns the loopback address of entry number i. It depends on the
// process ID and the seed, so that soak tests that run at the same time use different
// addresses and an entry finds its ports free whenever it starts.
func loopbackIP(seed uint64, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+seed%250, 10+i)
}

// newEntry returns entry number i with its settings and the link to the store. The
// process is not started yet.
func newEntry(cfg Config, i int, zone string, store *platform.Store) (*entry, error) {
	ip := loopbackIP(cfg.Seed, i)
	address := func(n int) string { return net.JoinHostPort(ip, strconv.Itoa(firstPort+n)) }
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &entry{binary: cfg.Binary, storeLink: stand.NewLink(stand.LinkBehaviour{}), linkListener: listener}
	go e.storeLink.Forward(listener, store.Address)
	e.upstreamLink = stand.NewLink(stand.LinkBehaviour{})
	if e.gateway, err = stand.Listen("127.0.0.1:0", e.upstreamLink.Handler()); err != nil {
		return nil, err
	}
	name := fmt.Sprintf("entry-%d", i)
	e.settingsPath = filepath.Join(cfg.Dir, name+".toml")
	e.logPath = filepath.Join(cfg.Dir, name+".log")
	e.metricsPort = firstPort + 4
	e.settings = node.Settings{
		Name: name, Zone: zone, Region: regions[zone], Regions: regions, IP: ip,
		CallerAddress: address(0), ReadyAddress: address(1), DirectoryAddress: address(2), PeerAddress: address(3),
		FirstPort: firstPort + 3, LastPort: firstPort + 3, StoreAddress: listener.Addr().String(),
		StopTimeout: stopTimeout, RetryRatio: retryRatio, RetryExtra: retryExtra,
		MaxResolveTTL: 5 * time.Second, MemoryMB: cfg.MemoryMB,
	}
	return e, nil
}

// start writes the settings file and starts the process.
func (e *entry) start() error {
	text, err := platform.SettingsText(e.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(e.settingsPath, text, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(e.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isStopExpected = false
	e.runCount++
	gateway := e.gateway.Address()
	if e.hasNoGateway {
		gateway = ""
	}
	e.current, err = startProcess(e.binary, e.settingsPath, e.metricsPort, gateway, out)
	return err
}

// process returns the latest process of the entry.
func (e *entry) process() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// stop signals the process and waits until it exits. It reports whether the
// process had to be killed after stopTimeout.
func (e *entry) stop(s syscall.Signal) bool {
	e.mu.Lock()
	e.isStopExpected = true
	p := e.current
	e.mu.Unlock()
	p.signal(s)
	return p.waitOrKill(stopTimeout)
}

// hasExitedUnexpectedly reports whether the process exited without having been
// signalled to stop.
func (e *entry) hasExitedUnexpectedly() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.isStopExpected && e.current.hasExited()
}

// runNumber returns the number of the latest process, starting at 1.
func (e *entry) runNumber() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runCount
}

// entryStatus is the part of an entry's dump that the soak test checks.
type entryStatus struct {
	Version int64 `json:"routingVersion"`
	Leaving bool  `json:"leaving"`
	// LeftOut holds the listed entries that resolve responses leave out.
	LeftOut map[string]any `json:"leftOut"`
}

// status requests the dump of the entry from its metrics port.
func (e *entry) status(c *http.Client) (entryStatus, error) {
	var s entryStatus
	resp, err := c.Get("http://" + net.JoinHostPort(e.settings.IP, strconv.Itoa(e.metricsPort)) + "/v1/dump")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, errors.Newf("dump of the entry returned status %d", resp.StatusCode)
	}
	return s, json.NewDecoder(resp.Body).Decode(&s)
}
