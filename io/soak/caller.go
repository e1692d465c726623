package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	platform "magnolialedge/platform/stand"
)

const (
	callTimeout = time.Second
	// resolveEvery is how long callers keep a resolve answer.
	resolveEvery = 2 * time.Second
)

// outcome is what became of one call.
type outcome struct {
	call       platform.Request
	repeatable bool
	left       bool
	entry      string
	from, to   time.Time
	reply      platform.Response
	err        error
}

// caller calls from one region at a steady rate and keeps its connections open
// until they end.
type caller struct {
	world  *world
	region string
	client *http.Client
	rand   *rand.Rand

	mu        sync.Mutex
	addresses []string
	outcomes  []outcome
	// calls counts the calls that were begun.
	calls int
}

func newCaller(w *world, region string, seed uint64) *caller {
	return &caller{
		world:  w,
		region: region,
		rand:   rand.New(rand.NewPCG(seed, 3)),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
			DialContext:         (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext,
		}},
	}
}

// run calls until ctx is done, and waits for all answers.
func (c *caller) run(ctx context.Context, rate float64) {
	var group sync.WaitGroup
	defer group.Wait()
	go c.resolve(ctx)
	next := time.Now()
	for ctx.Err() == nil {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(c.rand.ExpFloat64() / rate * float64(time.Second)))
		c.calls++
		n, address := c.calls, c.pick()
		leaves := c.rand.IntN(20) == 0
		unsafe := c.rand.IntN(2) == 0
		if address != "" {
			group.Go(func() { c.one(address, n, unsafe, leaves) })
		}
	}
}

// resolve asks any entry for addresses again and again.
func (c *caller) resolve(ctx context.Context) {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ctx.Err() == nil; i++ {
		e := c.world.entries[i%len(c.world.entries)]
		found, err := platform.Resolve(ctx, client, e.settings.DirectoryAddress, c.region)
		if err != nil || len(found) == 0 {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.mu.Lock()
		c.addresses = found
		c.mu.Unlock()
		time.Sleep(resolveEvery)
	}
}

func (c *caller) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rand.IntN(len(c.addresses))]
}

func (c *caller) one(address string, n int, unsafe, leaves bool) {
	id := fmt.Sprintf("%s-%d", c.region, n)
	call := platform.Request{ID: id, Method: http.MethodGet, Path: "/reads/" + id, Timeout: callTimeout}
	if unsafe {
		call.Method, call.Path, call.Body = http.MethodPost, "/writes/"+id, []byte(id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+lateMargin)
	defer cancel()
	if leaves {
		time.AfterFunc(10*time.Millisecond, cancel)
	}
	o := outcome{call: call, repeatable: !unsafe, left: leaves, entry: c.world.nameOf(address), from: time.Now()}
	o.reply, o.err = platform.Send(ctx, c.client, address, call)
	o.to = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// results returns what became of all calls.
func (c *caller) results() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome(nil), c.outcomes...)
}
