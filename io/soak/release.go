package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"magnolialedge/io/pause"
)

// Release tells which release entries run.
type Release string

const (
	// ReleaseCurrent and ReleasePrevious are the releases of Config.Binary and
	// Config.PreviousBinary.
	ReleaseCurrent  Release = "current"
	ReleasePrevious Release = "previous"
	// ReleaseMixed chooses one of them at random for each start of an entry.
	ReleaseMixed Release = "mixed"
)

// initialStream and rollOutStream are streams of the seed's random numbers. The fault
// injectors use the first ones.
const (
	initialStream = 1<<32 + iota
	rollOutStream
)

// chooseInitialReleases sets the program of each entry before the entries start.
func (cl *cluster) chooseInitialReleases() {
	r := rand.New(rand.NewPCG(cl.cfg.Seed, initialStream))
	for _, e := range cl.entries {
		cl.setRelease(e, cl.cfg.InitialRelease, r)
	}
}

// setRelease sets the program with which an entry starts next.
func (cl *cluster) setRelease(e *entry, release Release, r *rand.Rand) {
	if cl.cfg.PreviousBinary == "" {
		return
	}
	if release == ReleaseMixed || release == "" {
		release = []Release{ReleaseCurrent, ReleasePrevious}[r.IntN(2)]
	}
	binary := cl.cfg.Binary
	if release == ReleasePrevious {
		binary = cl.cfg.PreviousBinary
	}
	if err := e.setBinary(binary); err != nil {
		fmt.Fprintf(cl.cfg.FaultLog, "%s %s: %v\n", time.Now().Format(time.StampMilli), e.settings.Name, err)
	}
	cl.countStart(release)
	fmt.Fprintf(cl.cfg.FaultLog, "%s %s starts next with the %s release\n", time.Now().Format(time.StampMilli), e.settings.Name, release)
}

// countStart counts the starts of entries with a release.
func (cl *cluster) countStart(release Release) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.starts[release]++
}

// setBinary sets the program with which the entry starts next. If it returns an error, the
// entry starts without a gateway to the upstreams.
func (e *entry) setBinary(binary string) error {
	hasGateway, err := hasGatewayFlag(binary)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.binary, e.hasNoGateway = binary, !hasGateway
	return err
}

// rollOut restarts the entries in random order with the release that they did not run at
// first, while faults are injected, and spreads this over the duration of the test.
// Restarts by other faults choose either release, so that mixtures and roll-backs occur.
func (cl *cluster) rollOut(ctx context.Context) error {
	if cl.cfg.PreviousBinary == "" {
		return nil
	}
	r := rand.New(rand.NewPCG(cl.cfg.Seed, rollOutStream))
	release := map[Release]Release{ReleaseCurrent: ReleasePrevious, ReleasePrevious: ReleaseCurrent}[cl.cfg.InitialRelease]
	for _, i := range r.Perm(len(cl.entries)) {
		pause.Sleep(ctx, time.Duration(r.Int64N(int64(cl.cfg.Duration)/int64(len(cl.entries)))))
		e, unreserve, ok := reserve(cl, r, cl.entries[i:i+1])
		if !ok {
			continue
		}
		cl.setRelease(e, release, r)
		err := cl.restartGracefully(e)
		unreserve()
		if err != nil || ctx.Err() != nil {
			return err
		}
	}
	return nil
}

// restartGracefully stops an entry and starts it again. A disturbance is recorded only
// from its exit to its start, so time limits are checked while it stops.
func (cl *cluster) restartGracefully(e *entry) error {
	signalledAt := time.Now()
	if e.stop(syscall.SIGTERM) {
		cl.breach("%s did not stop within %s of SIGTERM at %s", e.settings.Name, stopTimeout, signalledAt.Format(time.StampMilli))
	}
	defer cl.disturbances.begin(e.settings.Name)()
	return e.start()
}
