package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	platform "magnolialedge/platform/stand"
)

// Config configures a soak test.
type Config struct {
	// Binary is the path of the magnolialedge binary that the entries run.
	Binary string
	// PreviousBinary is the binary of an earlier release. If it is set, the entries start
	// with either, and InitialRelease tells with which at first.
	PreviousBinary string
	InitialRelease Release
	// Dir is the directory for the settings files and logs of the entries.
	Dir       string
	Entries   int
	Upstreams int
	// RequestsPerSecond is the request rate from each region.
	RequestsPerSecond float64
	// MemoryMB is the memory of an entry; 0 means no limit.
	MemoryMB int
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// Seed seeds the random choices of faults and requests.
	Seed uint64
	// FaultLog receives one line per injected fault.
	FaultLog io.Writer
}

// zones holds the availability zones of a soak test, and regions the region of each.
var (
	zones   = []string{"east-a", "west-a", "east-b"}
	regions = map[string]string{"east-a": "east", "east-b": "east", "west-a": "west"}
)

// cluster holds the store, the entries and the upstreams of a soak test, and
// records the violated invariants.
type cluster struct {
	cfg          Config
	store        *platform.Store
	entries      []*entry
	upstreams    []*upstream
	disturbances *disturbances
	cuts         cuts

	mu sync.Mutex
	// lastVersion is the number of the latest version in configVersions.
	lastVersion    int64
	configVersions []configVersion
	breaches       []string
	// starts counts the starts of entries by release, if there are two.
	starts map[Release]int
	// reserved holds the entries and upstreams that a fault stops, restarts or
	// drains now.
	reserved map[any]bool
}

// newCluster starts a cluster. After an error, the cluster it returns is incomplete
// and must be closed.
func newCluster(cfg Config) (*cluster, error) {
	cl := &cluster{cfg: cfg, store: platform.NewStore(), disturbances: newDisturbances(), reserved: map[any]bool{}, starts: map[Release]int{}}
	cl.writeConfig()
	for i := range cfg.Upstreams {
		u, err := newUpstream(cl.store, i, zones[i%len(zones)])
		if err != nil {
			return cl, err
		}
		cl.upstreams = append(cl.upstreams, u)
	}
	for i := range cfg.Entries {
		e, err := newEntry(cfg, i, zones[i%len(zones)], cl.store)
		if err != nil {
			return cl, err
		}
		cl.entries = append(cl.entries, e)
	}
	cl.chooseInitialReleases()
	for i, e := range cl.entries {
		e.settings.SeedPeers = []string{cl.entries[(i+1)%len(cl.entries)].settings.PeerAddress, cl.entries[(i+2)%len(cl.entries)].settings.PeerAddress}
		if err := e.start(); err != nil {
			return cl, err
		}
	}
	return cl, nil
}

// writeConfig writes the next version of the configuration to the store.
func (cl *cluster) writeConfig() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.lastVersion++
	cl.store.Configure(platform.RoutingOptions{Version: cl.lastVersion, LatencyTarget: 3 * serviceTime})
	cl.configVersions = append(cl.configVersions, configVersion{number: cl.lastVersion, at: time.Now()})
}

// rewriteConfig writes the latest version of the configuration again.
func (cl *cluster) rewriteConfig() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.store.Configure(platform.RoutingOptions{Version: cl.lastVersion, LatencyTarget: 3 * serviceTime})
}

// registerUpstreamsAgain repeats the last registration or removal of each upstream.
func (cl *cluster) registerUpstreamsAgain() {
	for _, u := range cl.upstreams {
		u.registerAgain()
	}
}

// breach records a violated invariant.
func (cl *cluster) breach(format string, args ...any) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.breaches = append(cl.breaches, fmt.Sprintf(format, args...))
}

// entryNameAt returns the name of the entry with a caller address, or the address
// if there is none.
func (cl *cluster) entryNameAt(address string) string {
	for _, e := range cl.entries {
		if e.settings.CallerAddress == address {
			return e.settings.Name
		}
	}
	return address
}

// reserve chooses an entry or upstream at random and reserves it for one fault,
// until release is called. It returns false if another fault has reserved it.
func reserve[T comparable](cl *cluster, r *rand.Rand, all []T) (chosen T, release func(), ok bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	chosen = all[r.IntN(len(all))]
	if cl.reserved[chosen] {
		return chosen, nil, false
	}
	cl.reserved[chosen] = true
	return chosen, func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		delete(cl.reserved, chosen)
	}, true
}

func (cl *cluster) close() {
	for _, e := range cl.entries {
		if p := e.process(); p != nil {
			p.signal(syscall.SIGCONT)
			e.stop(syscall.SIGKILL)
		}
		_ = e.linkListener.Close()
		e.gateway.Close()
	}
	for _, u := range cl.upstreams {
		u.close()
	}
	cl.store.Close()
}
