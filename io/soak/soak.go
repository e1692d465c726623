package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge/io/pause"
	platform "magnolialedge/platform/stand"
)

const (
	// startTimeout limits the time until all entries have a configuration.
	startTimeout = 10 * time.Second
	// recoveryTimeout limits the time after the last fault until requests succeed
	// again at an entry.
	recoveryTimeout = 15 * time.Second
	// maxFaultPause limits the random pause before each fault of a fault injector.
	maxFaultPause = 900 * time.Millisecond
	// maxConcurrentFaults is the number of fault injectors, and so limits the faults
	// that overlap.
	maxConcurrentFaults = 3
)

// Result holds the counts of a soak test and the invariants that it found
// violated.
type Result struct {
	Requests int
	// Succeeded counts responses with status 200, and Rejected those with
	// status 503.
	Succeeded int
	Rejected  int
	Faults    int
	Breaches  []string
	// Starts counts the starts of entries by release, if there are two.
	Starts map[Release]int
}

// Run starts a cluster, injects faults into it under load, and returns the counts
// and the violated invariants. It returns an error if the cluster could not be
// started or a fault could not be injected.
func Run(ctx context.Context, cfg Config) (Result, error) {
	cl, err := newCluster(cfg)
	defer cl.close()
	if err != nil {
		return Result{}, err
	}
	if err := cl.waitReady(ctx); err != nil {
		return Result{}, err
	}
	pause.Sleep(ctx, settleTime)
	var callers []*caller
	var loadGroup, pollGroup sync.WaitGroup
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for i, region := range []string{"east", "west"} {
		c := newCaller(cl, region, cfg.Seed+uint64(i))
		callers = append(callers, c)
		loadGroup.Go(func() { c.run(loadCtx, cfg.RequestsPerSecond) })
	}
	pollCtx, stopPolling := context.WithCancel(ctx)
	pollGroup.Go(func() { cl.pollEntries(pollCtx) })
	n, err := cl.injectFaults(ctx)
	cl.checkRecovery(ctx)
	stopPolling()
	stopLoad()
	pollGroup.Wait()
	loadGroup.Wait()
	result := cl.evaluate(callers)
	result.Faults = n
	return result, err
}

// waitReady waits until each entry has a configuration.
func (cl *cluster) waitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && ctx.Err() == nil; pause.Sleep(ctx, pollInterval) {
		ready := 0
		for _, e := range cl.entries {
			if s, err := e.status(client); err == nil && s.Version > 0 {
				ready++
			}
		}
		if ready == len(cl.entries) {
			return nil
		}
	}
	return errors.New("not all entries got a configuration within the start timeout")
}

// injectFaults runs the fault injectors for the duration of the test and returns
// the number of faults. The choices follow from the seed.
func (cl *cluster) injectFaults(ctx context.Context) (int, error) {
	limitedCtx, cancel := context.WithTimeout(ctx, cl.cfg.Duration)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	var errs error
	n := 0
	for i := range maxConcurrentFaults {
		r := rand.New(rand.NewPCG(cl.cfg.Seed, uint64(i)))
		group.Go(func() {
			for limitedCtx.Err() == nil {
				pause.Sleep(limitedCtx, time.Duration(r.Int64N(int64(maxFaultPause))))
				f := faults[r.IntN(len(faults))]
				fmt.Fprintf(cl.cfg.FaultLog, "%s %s\n", time.Now().Format(time.StampMilli), f.name)
				err := f.inject(limitedCtx, cl, r)
				mu.Lock()
				n++
				errs = errors.CombineErrors(errs, err)
				mu.Unlock()
			}
		})
	}
	group.Go(func() {
		err := cl.rollOut(limitedCtx)
		mu.Lock()
		defer mu.Unlock()
		errs = errors.CombineErrors(errs, err)
	})
	group.Wait()
	return n, errs
}

// checkRecovery sends requests to each entry until one succeeds, and records a
// breach if none does within recoveryTimeout.
func (cl *cluster) checkRecovery(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i, e := range cl.entries {
		start := time.Now()
		for {
			id := fmt.Sprintf("recovery-%d-%d", i, time.Now().UnixNano())
			limitedCtx, cancel := context.WithTimeout(ctx, requestTimeout)
			response, err := platform.Send(limitedCtx, client, e.settings.CallerAddress, platform.Request{ID: id, Method: http.MethodGet, Path: "/reads/" + id, Timeout: requestTimeout})
			cancel()
			if err == nil && response.Status == http.StatusOK {
				break
			}
			if time.Since(start) > recoveryTimeout {
				cl.breach("%s does not respond with 200 within %s of the last fault: status %d, error %v", e.settings.Name, recoveryTimeout, response.Status, err)
				break
			}
			pause.Sleep(ctx, pollInterval)
		}
	}
}

// evaluate checks the recorded requests and returns the result of the test.
func (cl *cluster) evaluate(callers []*caller) Result {
	var all []outcome
	for _, c := range callers {
		all = append(all, c.copyOutcomes()...)
	}
	d := deliveriesByRequest(cl.upstreams)
	cl.checkOutcomes(all, d)
	senders := cl.sendersByRequest(all)
	cl.checkDrains(senders, d)
	cl.checkRetries(all, d)
	cl.checkLimits(senders)
	cl.checkNotices(senders)
	cl.checkCuts(all)
	result := Result{Requests: len(all), Breaches: cl.breaches, Starts: cl.starts}
	for _, o := range all {
		switch {
		case o.err == nil && o.response.Status == http.StatusOK:
			result.Succeeded++
		case o.err == nil && o.response.Status == http.StatusServiceUnavailable:
			result.Rejected++
		}
	}
	return result
}
