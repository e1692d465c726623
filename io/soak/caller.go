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
	requestTimeout = time.Second
	// resolveInterval is the interval at which a caller resolves the entry
	// addresses again.
	resolveInterval = 2 * time.Second
)

// outcome is one request and its response.
type outcome struct {
	request    platform.Request
	idempotent bool
	// canceled is set if the caller disconnects 10 ms after it sent the request. The
	// response may still arrive before that.
	canceled bool
	// entry is the name of the entry that the request was sent to, or its address
	// if no entry has it.
	entry      string
	start, end time.Time
	response   platform.Response
	// err is set if there was no complete response.
	err error
}

// caller sends requests from one region at a constant mean rate. It keeps up to 64
// idle connections to each entry until the entry closes them.
type caller struct {
	cluster *cluster
	region  string
	client  *http.Client
	rand    *rand.Rand

	mu        sync.Mutex
	addresses []string
	outcomes  []outcome
	// requestCount counts all requests, including those that were not sent
	// because no address was known.
	requestCount int
}

func newCaller(cl *cluster, region string, seed uint64) *caller {
	return &caller{
		cluster: cl,
		region:  region,
		rand:    rand.New(rand.NewPCG(seed, 3)),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
			DialContext:         (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext,
		}},
	}
}

// run sends requests at random intervals until ctx is done, then waits until all
// of them have ended. rate is the mean number of requests per second.
func (c *caller) run(ctx context.Context, rate float64) {
	var group sync.WaitGroup
	defer group.Wait()
	go c.refreshAddresses(ctx)
	next := time.Now()
	for ctx.Err() == nil {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(c.rand.ExpFloat64() / rate * float64(time.Second)))
		c.requestCount++
		n, address := c.requestCount, c.randomAddress()
		cancels := c.rand.IntN(20) == 0
		nonIdempotent := c.rand.IntN(2) == 0
		if address != "" {
			group.Go(func() { c.send(address, n, nonIdempotent, cancels) })
		}
	}
}

// refreshAddresses resolves the entry addresses until ctx is done, from each entry
// in turn.
func (c *caller) refreshAddresses(ctx context.Context) {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ctx.Err() == nil; i++ {
		e := c.cluster.entries[i%len(c.cluster.entries)]
		addresses, err := platform.Resolve(ctx, client, e.settings.DirectoryAddress, c.region)
		if err != nil || len(addresses) == 0 {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.mu.Lock()
		c.addresses = addresses
		c.mu.Unlock()
		time.Sleep(resolveInterval)
	}
}

// randomAddress returns one of the resolved addresses, or "" if none is known.
func (c *caller) randomAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rand.IntN(len(c.addresses))]
}

// send sends request number n and records its outcome. If cancels is true, the
// caller disconnects after 10 ms.
func (c *caller) send(address string, n int, nonIdempotent, cancels bool) {
	id := fmt.Sprintf("%s-%d", c.region, n)
	req := platform.Request{ID: id, Method: http.MethodGet, Path: "/reads/" + id, Timeout: requestTimeout}
	if nonIdempotent {
		req.Method, req.Path, req.Body = http.MethodPost, "/writes/"+id, []byte(id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+responseGrace)
	defer cancel()
	if cancels {
		time.AfterFunc(10*time.Millisecond, cancel)
	}
	o := outcome{request: req, idempotent: !nonIdempotent, canceled: cancels, entry: c.cluster.entryNameAt(address), start: time.Now()}
	o.response, o.err = platform.Send(ctx, c.client, address, req)
	o.end = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// copyOutcomes returns a copy of the outcomes so far.
func (c *caller) copyOutcomes() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome(nil), c.outcomes...)
}
