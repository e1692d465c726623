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
	// Dir is the directory for the settings files and logs of the entries.
	Dir       string
	Entries   int
	Upstreams int
	// RequestsPerSecond is the request rate from each region.
	RequestsPerSecond float64
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// Seed seeds the random choices of faults and requests.
	Seed uint64
	// FaultLog receives one line per injected fault.
	FaultLog io.Writer
}

// zones are the availability zones of the soak, and regions their regions.
var (
	zones   = []string{"east-a", "west-a", "east-b"}
	regions = map[string]string{"east-a": "east", "east-b": "east", "west-a": "west"}
)

// world is all that a soak runs.
type world struct {
	cfg     Config
	store   *platform.Store
	entries []*entry
	ups     []*upstream
	calm    *calm

	mu       sync.Mutex
	version  int64
	changes  []change
	breaches []string
	// busy holds what a fault of its whole life strikes now.
	busy map[any]bool
}

func newWorld(cfg Config) (*world, error) {
	w := &world{cfg: cfg, store: platform.NewStore(), calm: newCalm(), busy: map[any]bool{}}
	w.configure()
	for i := range cfg.Upstreams {
		u, err := newUpstream(w.store, i, zones[i%len(zones)])
		if err != nil {
			return w, err
		}
		w.ups = append(w.ups, u)
	}
	for i := range cfg.Entries {
		e, err := newEntry(cfg, i, zones[i%len(zones)], w.store)
		if err != nil {
			return w, err
		}
		w.entries = append(w.entries, e)
	}
	for i, e := range w.entries {
		e.settings.SeedPeers = []string{w.entries[(i+1)%len(w.entries)].settings.PeerAddr, w.entries[(i+2)%len(w.entries)].settings.PeerAddr}
		if err := e.start(); err != nil {
			return w, err
		}
	}
	return w, nil
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.store.Configure(w.version, 3*work)
	w.changes = append(w.changes, change{version: w.version, at: time.Now()})
}

// breach records that something did not hold.
func (w *world) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaches = append(w.breaches, fmt.Sprintf(format, args...))
}

func (w *world) nameOf(address string) string {
	for _, e := range w.entries {
		if e.settings.CallerAddr == address {
			return e.settings.Name
		}
	}
	return address
}

// hold draws one of all for a fault of its whole life and keeps others from it
// until it is let go. False means that another fault holds the one drawn.
func hold[T comparable](w *world, r *rand.Rand, all []T) (held T, letGo func(), ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held = all[r.IntN(len(all))]
	if w.busy[held] {
		return held, nil, false
	}
	w.busy[held] = true
	return held, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.busy, held)
	}, true
}

func (w *world) close() {
	for _, e := range w.entries {
		if p := e.running(); p != nil {
			p.signal(syscall.SIGCONT)
			e.finish(syscall.SIGKILL)
		}
		_ = e.near.Close()
	}
	for _, u := range w.ups {
		u.close()
	}
	w.store.Close()
}
