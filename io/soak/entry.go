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

// stopLimit is the time that an entry is given to stop.
const stopLimit = 6 * time.Second

// entry is one entry instance through all its runs.
type entry struct {
	settings node.Settings
	// file is the path of the settings file, and log that of the output.
	file, log   string
	metricsPort int
	program     string
	// link stands between the entry and the store.
	link *stand.Link
	// near is the listener of the link.
	near net.Listener

	mu      sync.Mutex
	process *process
	// expected tells that the process is meant to end.
	expected bool
	runs     int
}

// firstPort is the first of the ports of an entry.
const firstPort = 7100

// loopback returns an IP number that no other soak of the machine uses, so that
// an entry finds its ports free whenever it starts.
func loopback(seed uint64, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+seed%250, 10+i)
}

// newEntry writes the settings of an entry and starts it.
func newEntry(cfg Config, i int, zone string, store *platform.Store) (*entry, error) {
	ip := loopback(cfg.Seed, i)
	at := func(n int) string { return net.JoinHostPort(ip, strconv.Itoa(firstPort+n)) }
	near, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &entry{program: cfg.Binary, link: stand.NewLink(stand.LinkBehaviour{}), near: near}
	go e.link.Forward(near, store.Address)
	name := fmt.Sprintf("entry-%d", i)
	e.file = filepath.Join(cfg.Dir, name+".toml")
	e.log = filepath.Join(cfg.Dir, name+".log")
	e.metricsPort = firstPort + 4
	e.settings = node.Settings{
		Name: name, Zone: zone, Region: regions[zone], Regions: regions, IP: ip,
		CallerAddr: at(0), ReadyAddr: at(1), DirectoryAddr: at(2), PeerAddr: at(3),
		FirstPort: firstPort + 3, LastPort: firstPort + 3, StoreAddr: near.Addr().String(),
		StopTimeout: stopLimit, RetryRatio: retryShare, RetryExtra: retryExtra,
		MaxResolveTTL: 5 * time.Second,
	}
	return e, nil
}

// start runs the entry's program.
func (e *entry) start() error {
	text, err := platform.SettingsText(e.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(e.file, text, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(e.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expected = false
	e.runs++
	e.process, err = startEntry(e.program, e.file, e.metricsPort, out)
	return err
}

func (e *entry) running() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// finish asks the process to end and awaits it. It reports whether it had to be
// killed.
func (e *entry) finish(s syscall.Signal) bool {
	e.mu.Lock()
	e.expected = true
	p := e.process
	e.mu.Unlock()
	p.signal(s)
	return p.end(stopLimit)
}

// hasFallen reports whether the process ended though nothing asked it to.
func (e *entry) hasFallen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.expected && e.process.hasEnded()
}

// run numbers the entry's runs.
func (e *entry) run() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

// state is what an entry tells of itself.
type state struct {
	Version int64 `json:"routingVersion"`
	Leaving bool  `json:"leaving"`
}

// state asks the entry for its state.
func (e *entry) state(c *http.Client) (state, error) {
	var s state
	resp, err := c.Get("http://" + net.JoinHostPort(e.settings.IP, strconv.Itoa(e.metricsPort)) + "/v1/dump")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, errors.Newf("the dump answered %d", resp.StatusCode)
	}
	return s, json.NewDecoder(resp.Body).Decode(&s)
}
