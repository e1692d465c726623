package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path"
	"sync"
	"syscall"
	"time"

	"magnolialedge/io/pause"
	platform "magnolialedge/platform/stand"
)

const (
	// stopRouteTimeout is the timeout of the routes while entries are stopped.
	stopRouteTimeout = 2500 * time.Millisecond
	// An upstream needs at least minStopWork for a request, about meanStopWork on average, and
	// maxStopWork for one in longWorkInterval requests.
	minStopWork      = 5 * time.Millisecond
	meanStopWork     = 200 * time.Millisecond
	maxStopWork      = 2200 * time.Millisecond
	longWorkInterval = 10
	// stopSlots is the number of slots of each upstream, so that no request waits for one.
	stopSlots = 400
	// maxStopOffset is the longest time between the stops of two entries that overlap.
	maxStopOffset = 2 * time.Second
	// minServedShare is the share of the requests that must be served although entries
	// stop.
	minServedShare = 0.8
	// From excusedAge after a stop signal on, and before the last excusedRest of stopTimeout,
	// no request may be cut at which an upstream is at work.
	excusedAge  = 3 * time.Second
	excusedRest = stopTimeout / 6
)

// StopsConfig configures RunStops.
type StopsConfig struct {
	Config
	// Rounds is the number of times that one entry, or two, are stopped and started again.
	Rounds int
	// Callers is the number of callers of each habit.
	Callers int
}

// plannedStop is one stop of an entry.
type plannedStop struct {
	entry      string
	signaledAt time.Time
}

// RunStops stops entries under load, one at a time and two that overlap, without any other fault,
// and returns the counts and the violated invariants: no request that an upstream runs is cut or
// said to be refused, and most are served. It returns an error if the cluster could not be
// started.
func RunStops(ctx context.Context, cfg StopsConfig) (Result, error) {
	cl, err := newCluster(cfg.Config)
	defer cl.close()
	if err != nil {
		return Result{}, err
	}
	cl.store.Configure(platform.RoutingOptions{Version: cl.lastVersion + 1, LatencyTarget: maxStopWork, Timeout: stopRouteTimeout})
	slow, err := cl.replaceUpstreams()
	defer func() {
		for _, u := range slow {
			u.Close()
		}
	}()
	if err != nil {
		return Result{}, err
	}
	if err := cl.waitReady(ctx); err != nil {
		return Result{}, err
	}
	pause.Sleep(ctx, settleTime)
	load := newStopLoad(cl, cfg)
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	ended := load.start(loadCtx)
	stops, err := cl.stopInRounds(ctx, cfg)
	pause.Sleep(ctx, settleTime)
	endLoad()
	<-ended
	// A request that was refused must not run later either.
	pause.Sleep(ctx, stopRouteTimeout)
	result := cl.evaluateStops(load.requests, stops, slow)
	result.Faults = len(stops)
	return result, err
}

// replaceUpstreams replaces the upstreams by some that work as long as the last element of a
// request's path says.
func (cl *cluster) replaceUpstreams() ([]*platform.Upstream, error) {
	for _, u := range cl.upstreams {
		u.deregister()
	}
	workOf := func(p string) time.Duration {
		d, err := time.ParseDuration(path.Base(p))
		if err != nil {
			return 0
		}
		return d
	}
	var slow []*platform.Upstream
	for i := range cl.cfg.Upstreams {
		u := platform.NewUpstream(platform.UpstreamConfig{ID: fmt.Sprintf("slow-%d", i), Service: "svc", Zone: zones[i%len(zones)], Slots: stopSlots, WorkOf: workOf})
		u.Register(cl.store, "ready")
		slow = append(slow, u)
	}
	return slow, nil
}

// stopInRounds stops one entry in even rounds and two that overlap in odd ones, and starts them
// again. Entries get further signals while they stop.
func (cl *cluster) stopInRounds(ctx context.Context, cfg StopsConfig) ([]plannedStop, error) {
	r := rand.New(rand.NewPCG(cfg.Seed, 0))
	var stops []plannedStop
	for round := 0; round < cfg.Rounds && ctx.Err() == nil; round++ {
		var group sync.WaitGroup
		order := r.Perm(len(cl.entries))[:1+round%2]
		for i, n := range order {
			e, offset := cl.entries[n], time.Duration(i)*time.Duration(r.Int64N(int64(maxStopOffset)))
			stops = append(stops, plannedStop{entry: e.settings.Name, signaledAt: time.Now().Add(offset)})
			fmt.Fprintf(cfg.FaultLog, "%s stop %s in %s\n", time.Now().Format(time.StampMilli), e.settings.Name, offset)
			further := time.Duration(r.Int64N(int64(stopTimeout / 2)))
			group.Go(func() {
				pause.Sleep(ctx, offset)
				time.AfterFunc(further, func() {
					e.process().signal(syscall.SIGHUP)
					e.process().signal(syscall.SIGTERM)
				})
				if e.stop(syscall.SIGTERM) {
					cl.breach("%s did not stop within %s of SIGTERM", e.settings.Name, stopTimeout)
				}
			})
		}
		group.Wait()
		for _, n := range order {
			if err := cl.entries[n].start(); err != nil {
				return stops, err
			}
		}
		if err := cl.waitReady(ctx); err != nil {
			return stops, err
		}
		pause.Sleep(ctx, settleTime)
	}
	return stops, nil
}

// evaluateStops checks each request against what the upstreams ran.
func (cl *cluster) evaluateStops(requests []stopRequest, stops []plannedStop, upstreams []*platform.Upstream) Result {
	runs := map[string]int{}
	for _, u := range upstreams {
		for id, n := range u.Runs() {
			runs[id] += n
		}
	}
	result := Result{Requests: len(requests)}
	for _, q := range requests {
		switch {
		case q.status == http.StatusOK:
			result.Succeeded++
		case q.status == http.StatusServiceUnavailable:
			result.Rejected++
		}
		cl.checkStopRequest(q, runs[q.id], stops)
	}
	if served := float64(result.Succeeded) / float64(max(1, result.Requests)); served < minServedShare {
		cl.breach("%.2f of the requests were served, want %.2f", served, minServedShare)
	}
	result.Breaches = cl.breaches
	return result
}

// checkStopRequest records a breach for a request that was cut while an upstream ran it, that ran
// although it was refused, that ran twice, or that got a foreign response.
func (cl *cluster) checkStopRequest(q stopRequest, runs int, stops []plannedStop) {
	switch {
	case !q.idempotent && runs > 1:
		cl.breach("%s ran %d times", q.id, runs)
	case q.foreign:
		cl.breach("%s got the response to another request", q.id)
	case q.status == 0 && runs > 0 && !q.isExcused(stops):
		cl.breach("%s to %s was cut %s after it was sent at %s", q.id, q.entry, q.endedAt.Sub(q.sentAt), q.sentAt.Format(time.StampMilli))
	case q.status == http.StatusServiceUnavailable && !q.idempotent && runs > 0:
		cl.breach("%s was refused and ran", q.id)
	case q.status == http.StatusOK, q.status == http.StatusServiceUnavailable, q.status == 0:
	case q.status == http.StatusGatewayTimeout && q.hasTimedOut():
	default:
		cl.breach("%s got status %d", q.id, q.status)
	}
}

// hasTimedOut reports whether the request ended at the timeout of its route.
func (q stopRequest) hasTimedOut() bool {
	return q.endedAt.Sub(q.begunAt) >= stopRouteTimeout
}

// isExcused reports whether the request was sent early in a stop of its entry and cut at its end,
// or had reached the timeout of its route.
func (q stopRequest) isExcused(stops []plannedStop) bool {
	if q.hasTimedOut() {
		return true
	}
	for _, s := range stops {
		isEarly := q.sentAt.Before(s.signaledAt.Add(excusedAge))
		isAtEnd := q.endedAt.After(s.signaledAt.Add(stopTimeout-excusedRest)) && q.endedAt.Before(s.signaledAt.Add(stopTimeout+time.Second))
		if q.entry == s.entry && isEarly && isAtEnd {
			return true
		}
	}
	return false
}
