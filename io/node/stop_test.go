package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/platform/stand"
)

// stopCluster is a cluster whose second entry is stopped under load. The last element of a
// request's path is the time that its upstream needs.
type stopCluster struct {
	*testCluster
	entry     *testEntry
	stoppedAt time.Time

	mu       sync.Mutex
	requests []stopRequest
	group    sync.WaitGroup
}

// stopRequest is a request to the entry that is stopped.
type stopRequest struct {
	id       string
	work     time.Duration
	timeout  time.Duration
	sentAt   time.Time
	endedAt  time.Time
	response response
	err      error
}

// Routes of a stopCluster with the timeouts of their requests.
const (
	slowTimeout = 2500 * time.Millisecond
	longTimeout = 20 * time.Second
)

func newStopCluster(t *testing.T) *stopCluster {
	tc := newTestClusterWith(t, func(*testCluster) {})
	for _, u := range tc.upstreams {
		u.Deregister(tc.store)
	}
	tc.upstreams = nil
	tc.addSlowUpstream("slow-1", 80)
	tc.addSlowUpstream("slow-2", 80)
	tc.routes = append(tc.routes,
		routeJSON("slow", "/slow/", "non_idempotent", int(slowTimeout.Milliseconds()), "svc"),
		routeJSON("slowReads", "/slowreads/", "safe", int(slowTimeout.Milliseconds()), "svc"),
		routeJSON("long", "/long/", "non_idempotent", int(longTimeout.Milliseconds()), "svc"))
	tc.putConfig()
	s := &stopCluster{testCluster: tc, entry: tc.addEntry("e2", "127.0.0.2")}
	require.Eventually(t, func() bool {
		resp, err := sendTo(context.Background(), http.DefaultClient, s.entry.settings.CallerAddress, "POST", "/long/1ms", "x", tc.nextID())
		return err == nil && resp.status == http.StatusOK
	}, applyTimeout, 10*time.Millisecond)
	return s
}

// addSlowUpstream adds an upstream that works as long as the last element of a path says.
func (tc *testCluster) addSlowUpstream(id string, slots int) {
	workOf := func(p string) time.Duration {
		d, _ := time.ParseDuration(path.Base(p))
		return d
	}
	u := stand.NewUpstream(stand.UpstreamConfig{ID: id, Service: "svc", Zone: "east-a", Slots: slots, WorkOf: workOf})
	tc.t.Cleanup(u.Close)
	u.Register(tc.store, "ready")
	tc.upstreams = append(tc.upstreams, u)
}

// sendAt sends a request on a new connection at a time since the stop signal.
func (s *stopCluster) sendAt(at time.Duration, method, route string, work, timeout time.Duration) {
	s.group.Go(func() {
		time.Sleep(time.Until(s.stoppedAt.Add(at)))
		q := stopRequest{id: s.nextID(), work: work, timeout: timeout, sentAt: time.Now()}
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		q.response, q.err = sendWithin(context.Background(), longTimeout, client, s.entry.settings.CallerAddress, method, fmt.Sprintf("/%s/%s", route, work), "x", q.id)
		q.endedAt = time.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.requests = append(s.requests, q)
	})
}

// isServed reports whether the request got its upstream's response before the entry ended.
func (q stopRequest) isServed(ended time.Time) bool {
	return q.err == nil && q.response.status == http.StatusOK && q.endedAt.Before(ended)
}

// stopAndCheck stops the entry while the requests are sent. It checks that each request that
// reached an upstream was served, and returns the times of those that were not served.
func (s *stopCluster) stopAndCheck(t *testing.T, send func()) (refusedAt []time.Duration) {
	s.stoppedAt = time.Now().Add(100 * time.Millisecond)
	send()
	time.Sleep(time.Until(s.stoppedAt))
	s.entry.stop()
	<-s.entry.stopped
	ended := time.Now()
	s.group.Wait()
	require.False(t, strings.Contains(s.entry.logs.String(), "name=stopForced"), "requests were in progress at the end of the stop")
	for _, q := range s.requests {
		at := q.sentAt.Sub(s.stoppedAt).Round(time.Millisecond)
		if q.isServed(ended) {
			continue
		}
		require.Zero(t, s.runCount(q.id), "sent %s after the signal with a timeout of %s: status %d, error %v", at, q.timeout, q.response.status, q.err)
		isRefused := q.err == nil && q.response.status == http.StatusServiceUnavailable && q.response.retryAfter != ""
		isUnconnected := q.err != nil && strings.Contains(q.err.Error(), "connection refused")
		require.True(t, isRefused || isUnconnected, "sent %s after the signal: status %d, error %v", at, q.response.status, q.err)
		refusedAt = append(refusedAt, at)
	}
	return refusedAt
}

// TestLateRequestOfAPlannedStopIsNotCut guards against requests that a stopping entry sends to
// an upstream although they may last longer than the process.
func TestLateRequestOfAPlannedStopIsNotCut(t *testing.T) {
	for _, c := range []struct {
		name, method, route string
		work, timeout       time.Duration
		// servedUntil is the time since the signal before which every request is served.
		servedUntil time.Duration
	}{
		{"writes that take nearly their timeout", "POST", "slow", 2400 * time.Millisecond, slowTimeout, 2900 * time.Millisecond},
		{"reads that take nearly their timeout", "GET", "slowreads", 2400 * time.Millisecond, slowTimeout, 2900 * time.Millisecond},
		{"short writes with a long timeout", "POST", "long", 50 * time.Millisecond, longTimeout, 2200 * time.Millisecond},
		{"short writes with a short timeout", "POST", "writes", 50 * time.Millisecond, time.Second, 3400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStopCluster(t)
			refusedAt := s.stopAndCheck(t, func() {
				for at := -500 * time.Millisecond; at < 5500*time.Millisecond; at += 50 * time.Millisecond {
					s.sendAt(at, c.method, c.route, c.work, c.timeout)
				}
			})
			for _, at := range refusedAt {
				require.GreaterOrEqual(t, at, c.servedUntil)
			}
		})
	}
}

// TestWorkThatAPlannedStopForbidsIsNotBegun guards against ways to an upstream, other than the
// first attempt of a request that has just arrived, on which a stopping entry begins work that it
// cannot finish.
func TestWorkThatAPlannedStopForbidsIsNotBegun(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(s *stopCluster)
	}{
		{"requests that wait in the queue", func(s *stopCluster) {
			for _, u := range s.upstreams {
				u.Deregister(s.store)
			}
			s.addSlowUpstream("few", 10)
		}},
		{"second attempts after a refusal", func(s *stopCluster) {
			s.upstreams[0].SetResponseMode(stand.RejectRequest)
		}},
		{"requests that are handed to another entry", func(s *stopCluster) {
			s.entry.partition.Set(stand.PartitionReset)
			s.awaitIsolation(s.entry)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStopCluster(t)
			c.prepare(s)
			s.stopAndCheck(t, func() {
				for at := -500 * time.Millisecond; at < 5500*time.Millisecond; at += 50 * time.Millisecond {
					s.sendAt(at, "POST", "slow", 2*time.Second, slowTimeout)
				}
			})
		})
	}
}

// TestRequestHandedToAStoppingEntryIsServedByAnother guards against callers of an entry without
// links to the upstreams who get an error because the entry that helps it stops.
func TestRequestHandedToAStoppingEntryIsServedByAnother(t *testing.T) {
	s := newStopCluster(t)
	s.addEntry("e3", "127.0.0.3")
	time.Sleep(500 * time.Millisecond)
	isolated := s.entries[0]
	isolated.partition.Set(stand.PartitionReset)
	s.awaitIsolation(isolated)
	stopped := s.entry
	s.entry = isolated
	s.stoppedAt = time.Now()
	for at := time.Duration(0); at < 5500*time.Millisecond; at += 50 * time.Millisecond {
		s.sendAt(at, "POST", "slow", 2*time.Second, slowTimeout)
	}
	stopped.stop()
	s.group.Wait()
	for _, q := range s.requests {
		require.NoError(t, q.err)
		require.Equal(t, http.StatusOK, q.response.status, "sent %s after the signal", q.sentAt.Sub(s.stoppedAt))
	}
}

// TestPlannedStopTellsPipeliningCallersToLeave guards against a stop that cuts the reads of a
// caller that sends the next one before it has the response to the last, and that no response has
// told to leave.
func TestPlannedStopTellsPipeliningCallersToLeave(t *testing.T) {
	const callers, interval = 6, 100 * time.Millisecond
	s := newStopCluster(t)
	s.stoppedAt = time.Now().Add(500 * time.Millisecond)
	type result struct {
		sent, answered []string
		toldAt         time.Time
	}
	results := make(chan result, callers)
	for i := range callers {
		c, err := net.Dial("tcp", s.entry.settings.CallerAddress)
		require.NoError(t, err)
		defer c.Close()
		var told atomic.Bool
		sent := make(chan []string, 1)
		go func() {
			var ids []string
			for n := 0; !told.Load() && time.Since(s.stoppedAt) < 6*time.Second; n++ {
				id := fmt.Sprintf("pipelined-%d-%d", i, n)
				_, err := fmt.Fprintf(c, "GET /slowreads/240ms HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", host, id)
				if err != nil {
					break
				}
				ids = append(ids, id)
				time.Sleep(interval)
			}
			sent <- ids
		}()
		go func() {
			var out result
			r := bufio.NewReader(c)
			for {
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					break
				}
				_, err = io.Copy(io.Discard, resp.Body)
				if err != nil {
					break
				}
				out.answered = append(out.answered, resp.Header.Get("X-Request-Id"))
				if resp.Close {
					out.toldAt = time.Now()
					told.Store(true)
				}
			}
			told.Store(true)
			out.sent = <-sent
			results <- out
		}()
	}
	time.Sleep(time.Until(s.stoppedAt))
	s.entry.stop()
	<-s.entry.stopped
	require.Less(t, time.Since(s.stoppedAt), 5500*time.Millisecond, "the stop waits for callers that do not know of it")
	for range callers {
		out := <-results
		require.False(t, out.toldAt.IsZero(), "no response announced the close")
		require.Greater(t, out.toldAt.Sub(s.stoppedAt), 2*time.Second, "told before resolve responses without the entry are in use")
		for _, id := range out.sent[len(out.answered):] {
			require.Zero(t, s.runCount(id), "%s was begun and not answered", id)
		}
		require.Equal(t, out.sent[:len(out.answered)], out.answered)
	}
}

// TestUploadThatAStoppingEntryCannotServeIsRefusedByItsHeader guards against callers that send a
// whole body, or are told to send it, to an entry that already knows that it refuses the request.
func TestUploadThatAStoppingEntryCannotServeIsRefusedByItsHeader(t *testing.T) {
	for _, header := range []string{"", "Expect: 100-continue\r\n"} {
		t.Run(header, func(t *testing.T) {
			s := newStopCluster(t)
			s.stoppedAt = time.Now()
			s.entry.stop()
			time.Sleep(3200 * time.Millisecond)
			c, err := net.Dial("tcp", s.entry.settings.CallerAddress)
			require.NoError(t, err)
			defer c.Close()
			_, err = fmt.Fprintf(c, "POST /slow/5ms HTTP/1.1\r\nHost: %s\r\nX-Request-Id: upload\r\nX-Deadline-Ms: 5000\r\nContent-Length: 50000\r\n%s\r\n", host, header)
			require.NoError(t, err)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.True(t, resp.Close)
			require.Zero(t, s.runCount("upload"))
		})
	}
}

// TestUploadThatEndsLateInAPlannedStopIsNotCut guards against an upload that is passed on because
// its header came in time, although its last byte did not.
func TestUploadThatEndsLateInAPlannedStopIsNotCut(t *testing.T) {
	s := newStopCluster(t)
	s.stoppedAt = time.Now().Add(100 * time.Millisecond)
	const size = 40000
	for at := time.Duration(0); at < 3*time.Second; at += 100 * time.Millisecond {
		s.group.Go(func() {
			time.Sleep(time.Until(s.stoppedAt.Add(at)))
			q := stopRequest{id: s.nextID(), sentAt: time.Now()}
			defer func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				q.endedAt = time.Now()
				s.requests = append(s.requests, q)
			}()
			c, err := net.Dial("tcp", s.entry.settings.CallerAddress)
			if err != nil {
				return
			}
			defer c.Close()
			fmt.Fprintf(c, "POST /long/1500ms HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", host, q.id, size)
			for range 8 {
				time.Sleep(250 * time.Millisecond)
				_, _ = io.WriteString(c, strings.Repeat("x", size/8))
			}
			var resp *http.Response
			if resp, q.err = http.ReadResponse(bufio.NewReader(c), nil); q.err == nil {
				q.response.status = resp.StatusCode
			}
		})
	}
	time.Sleep(time.Until(s.stoppedAt))
	s.entry.stop()
	<-s.entry.stopped
	ended := time.Now()
	s.group.Wait()
	require.False(t, strings.Contains(s.entry.logs.String(), "name=stopForced"), "requests were in progress at the end of the stop")
	served := 0
	for _, q := range s.requests {
		if q.isServed(ended) {
			served++
			continue
		}
		require.Zero(t, s.runCount(q.id), "sent %s after the signal: status %d, error %v", q.sentAt.Sub(s.stoppedAt), q.response.status, q.err)
	}
	require.Positive(t, served)
}
