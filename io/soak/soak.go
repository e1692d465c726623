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
	startLimit = 10 * time.Second
	// recoverLimit is the time after the last fault within which calls succeed
	// again.
	recoverLimit = 15 * time.Second
	// mostPause is the longest time between the begins of two faults.
	mostPause = 900 * time.Millisecond
	// mostAtOnce is the number of faults that overlap at most.
	mostAtOnce = 3
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
}

// Run starts a system, injects faults and checks it.
func Run(ctx context.Context, cfg Config) (Result, error) {
	w, err := newWorld(cfg)
	defer w.close()
	if err != nil {
		return Result{}, err
	}
	if err := w.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	pause.Sleep(ctx, settled)
	var callers []*caller
	var calling, watching sync.WaitGroup
	calls, endCalls := context.WithCancel(ctx)
	defer endCalls()
	for i, region := range []string{"east", "west"} {
		c := newCaller(w, region, cfg.Seed+uint64(i))
		callers = append(callers, c)
		calling.Go(func() { c.run(calls, cfg.RequestsPerSecond) })
	}
	watch, endWatch := context.WithCancel(ctx)
	watching.Go(func() { w.watch(watch) })
	n, err := w.disturb(ctx)
	w.checkRecovery(ctx)
	endWatch()
	endCalls()
	watching.Wait()
	calling.Wait()
	result := w.judge(callers)
	result.Faults = n
	return result, err
}

func (w *world) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(startLimit); time.Now().Before(until) && ctx.Err() == nil; pause.Sleep(ctx, watchEvery) {
		ready := 0
		for _, e := range w.entries {
			if s, err := e.state(client); err == nil && s.Version > 0 {
				ready++
			}
		}
		if ready == len(w.entries) {
			return nil
		}
	}
	return errors.New("the entries don't start")
}

// disturb injects faults, several at a time, and returns their number.
func (w *world) disturb(ctx context.Context) (int, error) {
	limited, cancel := context.WithTimeout(ctx, w.cfg.Duration)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	var failed error
	n := 0
	for i := range mostAtOnce {
		r := rand.New(rand.NewPCG(w.cfg.Seed, uint64(i)))
		group.Go(func() {
			for limited.Err() == nil {
				pause.Sleep(limited, time.Duration(r.Int64N(int64(mostPause))))
				f := faults[r.IntN(len(faults))]
				fmt.Fprintf(w.cfg.FaultLog, "%s %s\n", time.Now().Format(time.StampMilli), f.name)
				err := f.run(limited, w, r)
				mu.Lock()
				n++
				failed = errors.CombineErrors(failed, err)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return n, failed
}

// checkRecovery calls each entry until all answer well.
func (w *world) checkRecovery(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i, e := range w.entries {
		begun := time.Now()
		for {
			id := fmt.Sprintf("recovery-%d-%d", i, time.Now().UnixNano())
			limited, cancel := context.WithTimeout(ctx, callTimeout)
			reply, err := platform.Send(limited, client, e.settings.CallerAddr, platform.Request{ID: id, Method: http.MethodGet, Path: "/reads/" + id, Timeout: callTimeout})
			cancel()
			if err == nil && reply.Status == http.StatusOK {
				break
			}
			if time.Since(begun) > recoverLimit {
				w.breach("%s serves nothing %s after the last fault: %d, %v", e.settings.Name, recoverLimit, reply.Status, err)
				break
			}
			pause.Sleep(ctx, watchEvery)
		}
	}
}

func (w *world) judge(callers []*caller) Result {
	var all []outcome
	for _, c := range callers {
		all = append(all, c.results()...)
	}
	d := deliveriesOf(w.ups)
	w.checkOutcomes(all, d)
	w.checkDrains(all, d)
	w.checkRetries(all, d)
	result := Result{Requests: len(all), Breaches: w.breaches}
	for _, o := range all {
		switch {
		case o.err == nil && o.reply.Status == http.StatusOK:
			result.Succeeded++
		case o.err == nil && o.reply.Status == http.StatusServiceUnavailable:
			result.Rejected++
		}
	}
	return result
}
