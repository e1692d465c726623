package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"magnolialedge/io/pause"
	"magnolialedge/platform"
	"magnolialedge/platform/stand"
)

const (
	// resolveTTL is how long most callers use a resolve response, and lateResolveTTL how long
	// some do.
	resolveTTL     = 2 * time.Second
	lateResolveTTL = 3 * resolveTTL
	// stopPipelineInterval is the time between two requests of a caller that pipelines.
	stopPipelineInterval = 100 * time.Millisecond
	// requestsPerConn limits the requests on one connection.
	requestsPerConn = 60
	uploadParts     = 8
	uploadPartBytes = 2000
	// maxUploadPause is the longest pause between two parts of an upload.
	maxUploadPause = 200 * time.Millisecond
)

// habit is the way in which a caller uses connections.
type habit int

const (
	// freshConns opens a connection for each request, and keptConns sends one request after
	// the other on a connection.
	freshConns habit = iota
	keptConns
	// pipelinedReads sends reads without waiting for responses, and slowUploads sends long
	// bodies with pauses.
	pipelinedReads
	slowUploads
	habitCount
)

// stopRequest is a request that was sent whole while entries stop.
type stopRequest struct {
	id         string
	entry      string
	idempotent bool
	// begunAt is the time before the first byte was written, and sentAt that before the last.
	begunAt, sentAt, endedAt time.Time
	// status is that of the complete response, or 0 if there was none.
	status int
	// foreign is set if the response belongs to another request.
	foreign bool
}

// stopLoad is the load while entries stop.
type stopLoad struct {
	cluster *cluster
	cfg     StopsConfig

	mu       sync.Mutex
	requests []stopRequest
}

func newStopLoad(cl *cluster, cfg StopsConfig) *stopLoad {
	return &stopLoad{cluster: cl, cfg: cfg}
}

// start runs callers of each habit until ctx is done. The channel that it returns is closed when
// all of them have ended.
func (l *stopLoad) start(ctx context.Context) <-chan struct{} {
	var group sync.WaitGroup
	for h := range habitCount {
		for i := range l.cfg.Callers {
			c := &stopCaller{load: l, habit: h, name: fmt.Sprintf("%d-%d", h, i), rand: rand.New(rand.NewPCG(l.cfg.Seed, uint64(1000*int(h)+i)))}
			c.ttl = []time.Duration{resolveTTL, lateResolveTTL}[i%2]
			group.Go(func() { c.run(ctx) })
		}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		group.Wait()
	}()
	return ended
}

func (l *stopLoad) add(requests []stopRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, requests...)
}

// stopCaller sends requests with one habit.
type stopCaller struct {
	load  *stopLoad
	habit habit
	name  string
	rand  *rand.Rand
	ttl   time.Duration
	n     int

	addresses  []string
	resolvedAt time.Time
}

func (c *stopCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		address := c.address(ctx)
		conn, err := net.DialTimeout("tcp", address, 300*time.Millisecond)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		x := &stopConn{caller: c, conn: conn, entry: c.load.cluster.entryNameAt(address)}
		x.use(ctx)
		c.load.add(x.requests)
		pause.Sleep(ctx, x.retryAfter)
	}
}

// address returns the address of an entry from a resolve response that is not older than ttl.
func (c *stopCaller) address(ctx context.Context) string {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil && (len(c.addresses) == 0 || time.Since(c.resolvedAt) > c.ttl) {
		e := c.load.cluster.entries[c.rand.IntN(len(c.load.cluster.entries))]
		addresses, err := stand.Resolve(ctx, client, e.settings.DirectoryAddress, e.settings.Region)
		if err == nil && len(addresses) > 0 {
			c.addresses, c.resolvedAt = addresses, time.Now()
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rand.IntN(len(c.addresses))]
}

// stopConn is one connection of a stopCaller.
type stopConn struct {
	caller *stopCaller
	conn   net.Conn
	entry  string

	mu       sync.Mutex
	requests []stopRequest
	answered int
	// retryAfter is the time for which the last refusal asked the caller to wait.
	retryAfter time.Duration
	// isClosing is set once a response announces the close or the connection has ended.
	isClosing bool
}

// use sends requests until the connection ends, and reads all responses.
func (x *stopConn) use(ctx context.Context) {
	read := make(chan struct{})
	go func() {
		defer close(read)
		x.readResponses()
	}()
	limit := requestsPerConn
	if x.caller.habit == freshConns || x.caller.habit == slowUploads {
		limit = 1
	}
	for n := 0; n < limit && ctx.Err() == nil && x.send(); n++ {
		if x.caller.habit == pipelinedReads {
			time.Sleep(stopPipelineInterval)
			continue
		}
		x.awaitResponses(read)
	}
	x.awaitResponses(read)
	_ = x.conn.Close()
	<-read
}

// awaitResponses waits until no response is due or the connection has ended.
func (x *stopConn) awaitResponses(read <-chan struct{}) {
	deadline := time.Now().Add(2 * stopRouteTimeout)
	for x.hasPending() && time.Now().Before(deadline) {
		select {
		case <-read:
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
}

func (x *stopConn) hasPending() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.answered < len(x.requests)
}

// send sends the next request and reports whether it was sent whole.
func (x *stopConn) send() bool {
	q, head, body := x.nextRequest()
	last := head + body
	if x.caller.habit == slowUploads {
		if !x.sendSlowly(head, body) {
			return false
		}
		last = body[len(body)-uploadPartBytes:]
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.isClosing {
		return false
	}
	q.sentAt = time.Now()
	if _, err := io.WriteString(x.conn, last); err != nil {
		return false
	}
	x.requests = append(x.requests, q)
	return true
}

// nextRequest returns the next request of the caller's habit, with its head and body.
func (x *stopConn) nextRequest() (q stopRequest, head, body string) {
	c := x.caller
	c.n++
	q = stopRequest{id: fmt.Sprintf("stops-%s-%d", c.name, c.n), entry: x.entry, begunAt: time.Now()}
	method, route := http.MethodPost, "writes"
	switch {
	case c.habit == slowUploads:
		body = strings.Repeat("x", uploadParts*uploadPartBytes)
	case c.habit == pipelinedReads || c.rand.IntN(2) == 0:
		q.idempotent = true
		method, route = http.MethodGet, "reads"
	default:
		body = "x"
	}
	headers := platform.HeaderProtocol()
	head = fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		method, route, c.nextWork(), stand.Host, headers.RequestID, q.id, headers.Deadline, 2*stopRouteTimeout.Milliseconds(), len(body))
	return q, head, body
}

// nextWork returns how long the upstream works on the next request: mostly a short time, and
// often nearly the timeout of the route.
func (c *stopCaller) nextWork() time.Duration {
	if c.rand.IntN(longWorkInterval) == 0 {
		return maxStopWork
	}
	work := time.Duration(c.rand.ExpFloat64() * float64(meanStopWork))
	return min(max(work, minStopWork), maxStopWork)
}

// sendSlowly sends a request without the last part of its body. The entry may respond before.
func (x *stopConn) sendSlowly(head, body string) bool {
	if _, err := io.WriteString(x.conn, head); err != nil {
		return false
	}
	for i := range uploadParts - 1 {
		time.Sleep(time.Duration(x.caller.rand.Int64N(int64(maxUploadPause))))
		if _, err := io.WriteString(x.conn, body[i*uploadPartBytes:(i+1)*uploadPartBytes]); err != nil {
			return false
		}
	}
	return true
}

// readResponses reads responses until the connection ends.
func (x *stopConn) readResponses() {
	r := bufio.NewReader(x.conn)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if !x.record(resp, err) {
			return
		}
	}
}

// record records a response, or the end of the connection, and reports whether another
// response may follow.
func (x *stopConn) record(resp *http.Response, err error) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	// The response to an upload that is refused by its header comes before the request is sent
	// whole, and is not recorded.
	if err != nil || x.answered == len(x.requests) {
		for i := range x.requests[x.answered:] {
			x.requests[x.answered+i].endedAt = time.Now()
		}
		x.isClosing = true
		return false
	}
	q := &x.requests[x.answered]
	q.endedAt, q.status = time.Now(), resp.StatusCode
	q.foreign = resp.Header.Get(platform.HeaderProtocol().RequestID) != q.id
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		x.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	x.answered++
	x.isClosing = x.isClosing || resp.Close
	return true
}
