package main

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"magnolialedge/platform/stand"
)

//go:embed config.json
var routingConfig []byte

// accountsField is the field of the configuration with two client accounts, and crashKey and otherKey
// are their keys.
//
//go:embed accounts.json
var accountsField []byte

const (
	crashKey     = "k-5d20c1"
	otherKey     = "k-77e0a4"
	otherAccount = "crew-b"
	// twinPause is the time between two requests of the caller whose request crashes nothing.
	twinPause = 100 * time.Millisecond
	// targetsPerZone is the number of targets of each service in each zone.
	targetsPerZone = 6
	// stable is stable-ms of the settings.
	stable = 3 * time.Second
	// maxLateRetries is the number of retries that the rule allows.
	maxLateRetries = 3
	// comeInterval is the time after which the request that crashes targets comes again.
	comeInterval = 2500 * time.Millisecond
	// Each of the other callers waits for callerPause between two requests.
	callers     = 12
	callerPause = 150 * time.Millisecond
	// uploadBytes is the size of an upload.
	uploadBytes = 60_000
	// deadline is what callers send, and maxRetries how often they retry a request.
	deadline   = 5 * time.Second
	maxRetries = 2
	// retryAfterShare is the part of the time left for which a caller waits if it is told to.
	retryAfterShare = 1.0 / 3
)

type config struct {
	program, recordPath string
	isDark, hasTrouble  bool
	isSmuggled, hasTwin bool
	seconds             int
}

// attempt is one attempt of a caller.
type attempt struct {
	at, end    time.Time
	id, path   string
	key        string
	entry      string
	status     int
	retryAfter string
	err        error
}

// caller sends requests as the users' pages say that clients do.
type caller struct {
	client    *http.Client
	directory []string
	hasTwin   bool
	mu        sync.Mutex
	attempts  []attempt
	next      int
}

// run starts the targets and the entries, plays the case and returns its exit code.
func run(cfg config) (int, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return exitNotRun, err
	}
	defer os.RemoveAll(folder)
	store := stand.NewStore()
	defer store.Close()
	routing := routingConfig
	if cfg.hasTwin {
		routing = bytes.Replace(routing, []byte("{"), append([]byte("{"), accountsField...), 1)
	}
	store.Put(fmt.Sprintf("op/%s", "config"), routing)
	f := &fleet{store: store, isDark: cfg.isDark, hasTrouble: cfg.hasTrouble, answered: map[string]bool{}}
	defer f.close()
	for i := range targetsPerZone * len(zones) {
		for _, service := range services {
			if err := f.start(service, zones[i%len(zones)]); err != nil {
				return exitNotRun, err
			}
		}
	}
	entries, err := startEntries(cfg.program, folder, store.Address())
	defer func() {
		for _, e := range entries {
			e.stop()
		}
	}()
	if err != nil {
		return exitNotRun, err
	}
	// Machines are in touch once nothing has happened to them for stable-ms.
	time.Sleep(stable + time.Second)
	code, err := play(cfg, f, entries)
	for _, e := range entries {
		select {
		case <-e.ended:
			return exitNotRun, fmt.Errorf("the entry at %s has ended by itself", e.ip)
		default:
		}
	}
	return code, err
}

// play plays the case and judges it.
func play(cfg config, f *fleet, entries []*entry) (int, error) {
	if cfg.isSmuggled {
		return playSmuggled(cfg, f, entries)
	}
	c := newCaller(entries)
	c.hasTwin = cfg.hasTwin
	start := time.Now()
	c.play(start.Add(time.Duration(cfg.seconds) * time.Second))
	return judge(cfg, start, f, c)
}

func newCaller(entries []*entry) *caller {
	c := &caller{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, e := range entries {
		c.directory = append(c.directory, e.ip+":8383")
	}
	return c
}

// play sends requests until the given time.
func (c *caller) play(until time.Time) {
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				switch i % 4 {
				case 0:
					c.send(otherKey, http.MethodGet, fmt.Sprintf("/view/%d", rand.IntN(1_000_000)), nil)
				case 1:
					c.send(otherKey, http.MethodGet, fmt.Sprintf("/history/%d", rand.IntN(1_000_000)), nil)
				default:
					c.send(otherKey, http.MethodPost, fmt.Sprintf("/scan/%d", rand.IntN(1_000_000)), make([]byte, uploadBytes))
				}
				time.Sleep(callerPause)
			}
		})
	}
	if c.hasTwin {
		group.Go(func() {
			for time.Now().Before(until) {
				c.send(otherKey, http.MethodGet, crashPath, nil)
				time.Sleep(twinPause)
			}
		})
	}
	for time.Now().Before(until) {
		next := time.Now().Add(comeInterval)
		c.send(crashKey, http.MethodGet, crashPath, nil)
		time.Sleep(time.Until(next))
	}
	group.Wait()
}

// send sends a request, and retries it as a client does: a safe one after any failure, another one
// only after a promise that it was not run.
func (c *caller) send(key, method, path string, body []byte) {
	end := time.Now().Add(deadline)
	for range 1 + maxRetries {
		a := c.try(key, method, path, body, time.Until(end))
		isPromise := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || a.status == http.StatusRequestTimeout
		if a.status == http.StatusOK || (method != http.MethodGet && !isPromise) || !time.Now().Before(end) {
			return
		}
		if seconds, err := strconv.ParseFloat(a.retryAfter, 64); err == nil {
			wait := time.Duration(seconds * float64(time.Second))
			if wait > time.Duration(retryAfterShare*float64(time.Until(end))) {
				return
			}
			time.Sleep(wait)
		}
	}
}

// try makes one attempt on a new connection.
func (c *caller) try(key, method, path string, body []byte, left time.Duration) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(c.next))
	c.mu.Unlock()
	a := attempt{at: time.Now(), id: id, path: path, key: key}
	if !c.hasTwin {
		key = ""
	}
	addresses, err := stand.Resolve(ctx, c.client, c.directory[rand.IntN(len(c.directory))], "bagmati")
	if err == nil {
		a.entry = addresses[rand.IntN(len(addresses))]
		var resp stand.Response
		resp, err = stand.Send(ctx, c.client, a.entry, stand.Request{ID: id, Method: method, Path: path, Body: body, Timeout: left, Key: key})
		a.status, a.retryAfter = resp.Status, resp.RetryAfter
	}
	a.end, a.err = time.Now(), err
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	return a
}

// judge writes the record and checks the rule as it is written: a request that crashes the targets
// that run it reaches targets in more than three retries, sent later than stable-ms after it has
// crashed the third. Only what an entry sends beyond the first arrival of a client's attempt is
// counted as a retry.
func judge(cfg config, start time.Time, f *fleet, c *caller) (int, error) {
	out, err := os.Create(cfg.recordPath)
	if err != nil {
		return exitNotRun, err
	}
	defer out.Close()
	since := func(t time.Time) float64 { return t.Sub(start).Seconds() }
	f.mu.Lock()
	defer f.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	sort.Slice(c.attempts, func(i, j int) bool { return c.attempts[i].at.Before(c.attempts[j].at) })
	arrived := map[string]bool{}
	var crashes []time.Time
	late, lateRetries := 0, 0
	fmt.Fprintf(out, "trouble %t, targets %d of each service, entries %d, seconds %d\n\nthe request that crashes targets, as it reached them:\n", cfg.hasTrouble, targetsPerZone*len(zones), entryCount, cfg.seconds)
	for _, a := range f.arrivals {
		if !a.crashes() {
			continue
		}
		isRetry := arrived[a.id]
		arrived[a.id] = true
		if cfg.hasTrouble {
			crashes = append(crashes, a.at)
		}
		isLate := len(crashes) > 3 && a.at.Sub(crashes[2]) > stable
		if isLate {
			late++
		}
		if isLate && isRetry {
			lateRetries++
		}
		fmt.Fprintf(out, "%8.3f s request %s at target %s, retry %t, later than %s after the third crash %t\n", since(a.at), a.id, a.target, isRetry, stable, isLate)
	}
	fmt.Fprintln(out, "\nanswers to it:")
	counts := map[string]int{}
	lost := []string{}
	for _, a := range c.attempts {
		outcome := strconv.Itoa(a.status)
		if a.err != nil && a.status == 0 {
			outcome = "no answer"
		}
		kind, _, _ := strings.Cut(strings.TrimPrefix(a.path, "/"), "/")
		if a.path == crashPath && a.key == crashKey {
			fmt.Fprintf(out, "%8.3f s request %s to %s: %s after %.3f s, Retry-After %q\n", since(a.at), a.id, a.entry, outcome, a.end.Sub(a.at).Seconds(), a.retryAfter)
			continue
		}
		counts[kind+" "+outcome]++
		if kind == "scan" && (outcome == "502" || outcome == "504" || outcome == "no answer") {
			lost = append(lost, fmt.Sprintf("%8.3f s request %s %s: %s", since(a.at), a.id, a.path, outcome))
		}
	}
	fmt.Fprintf(out, "\nother requests: %v\nuploads that were accepted and lost: %d\n%s\n", counts, len(lost), strings.Join(lost, "\n"))
	fmt.Fprintf(out, "\ncrashes %d; arrivals later than %s after the third %d; of them retries by entries %d, allowed %d\n", len(crashes), stable, late, lateRetries, maxLateRetries)
	verdict, code := "held", exitHeld
	if lateRetries > maxLateRetries {
		verdict, code = "broken", exitBroken
	}
	fmt.Fprintln(out, "rule BUDGET:", verdict)
	return code, nil
}
