package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// excusedAge is how long after the SIGTERM a request may have been sent that may be cut in
// the last sixth of the grace period.
const excusedAge = 3 * time.Second

// runs holds the targets that have begun to run requests, by the id of the request.
type runs struct {
	mu    sync.Mutex
	begun map[string]*target
}

func newRuns() *runs {
	return &runs{begun: map[string]*target{}}
}

func (r *runs) begin(id string, s *target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun[id] = s
}

// targetOf returns the target that began to run a request, or nil.
func (r *runs) targetOf(id string) *target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun[id]
}

// findLost returns the requests that the rule LOST counts: passed on to a target, and ended
// without an answer before their route's timeout, though the rule does not excuse it.
func (t *trial) findLost(all []*request, r *runs, stoppedAt time.Time, timeout time.Duration) []string {
	var lost []string
	for _, q := range all {
		switch {
		case q.status != 0 || r.targetOf(q.id) == nil:
			continue
		case q.endedAt.Sub(q.sentAt) >= timeout:
			t.note("%s reached the timeout of its route", q.id)
			continue
		case q.sentAt.Sub(stoppedAt) <= excusedAge && q.endedAt.Sub(stoppedAt) >= grace*5/6:
			t.note("%s is excused: sent %v after the SIGTERM, cut in the last sixth of grace-s", q.id, q.sentAt.Sub(stoppedAt))
			continue
		}
		t.note("LOST %s: sent %v after the SIGTERM, begun by a target, cut %v after the SIGTERM", q.id, q.sentAt.Sub(stoppedAt).Round(time.Millisecond), q.endedAt.Sub(stoppedAt).Round(time.Millisecond))
		lost = append(lost, q.id)
	}
	return lost
}

// judge returns an error if requests were lost.
func judge(lost []string) error {
	if len(lost) > 0 {
		return broken("a planned stop cut %d requests that targets were running: %s", len(lost), strings.Join(lost, " "))
	}
	return nil
}

const (
	routeTimeout = 2500 * time.Millisecond
	readDeadline = 5 * time.Second
	// readWork is the work of a read, and readInterval the time between two of one client.
	readWork     = 240 * time.Millisecond
	readInterval = 100 * time.Millisecond
	// keepTime is how long the client keeps a resolve response: three times its 2 s.
	keepTime = 6 * time.Second
)

// runPipelinedStop stops an entry while a client sends further reads before the first has
// been answered, one after the other on one connection.
func runPipelinedStop(t *trial) error {
	r := newRuns()
	serve := func(s *target, x *run) {
		r.begin(x.id, s)
		s.work(x, readWork)
	}
	address, e, err := t.deploy(6, 3, serve)
	if err != nil {
		return err
	}
	toldAt := time.Now()
	c, err := dial(t, address)
	if err != nil {
		return err
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		c.readAnswers()
	}()
	stoppedAt := time.Now().Add(200 * time.Millisecond)
	time.AfterFunc(time.Until(stoppedAt), func() {
		if hasTrouble() {
			t.note("SIGTERM to %s", e.name)
			e.signal(syscall.SIGTERM)
		}
	})
	for i := 1; time.Since(toldAt) < keepTime; i++ {
		q := &request{id: fmt.Sprintf("read-%03d", i), method: "GET", path: fmt.Sprintf("/reads/%d", i)}
		if err := c.send(q, readDeadline, ""); err != nil {
			t.note("the client stops using the connection: %v", err)
			break
		}
		time.Sleep(readInterval)
	}
	for end := time.Now().Add(readDeadline); time.Now().Before(end) && c.next() != nil; {
		select {
		case <-read:
			end = time.Now()
		case <-time.After(50 * time.Millisecond):
		}
	}
	_ = c.conn.Close()
	<-read
	return judge(t.findLost(c.all, r, stoppedAt, routeTimeout))
}

const (
	// writeWork is the work of a write at a busy moment of its target.
	writeWork     = 2400 * time.Millisecond
	writeDeadline = 5 * time.Second
)

// runLateAccept sends writes to an entry on new connections, more than excusedAge after it was
// told to stop. The client was told of the entry before, and may keep that for 6 s.
func runLateAccept(t *trial) error {
	r := newRuns()
	serve := func(s *target, x *run) {
		r.begin(x.id, s)
		s.work(x, writeWork)
	}
	address, e, err := t.deploy(6, 3, serve)
	if err != nil {
		return err
	}
	stoppedAt := time.Now()
	if hasTrouble() {
		t.note("SIGTERM to %s", e.name)
		e.signal(syscall.SIGTERM)
	}
	var all []*request
	var reads sync.WaitGroup
	for i := 1; i <= 4; i++ {
		sleepUntil(stoppedAt, excusedAge+150*time.Millisecond+time.Duration(i)*50*time.Millisecond)
		c, err := dial(t, address)
		if err != nil {
			t.note("no connection: %v", err)
			continue
		}
		q := &request{id: fmt.Sprintf("write-%d", i), method: "POST", path: fmt.Sprintf("/writes/%d", i)}
		if err := c.send(q, writeDeadline, "a permit"); err != nil {
			return err
		}
		all = append(all, q)
		reads.Add(1)
		go func() {
			defer reads.Done()
			c.readAnswers()
		}()
		time.AfterFunc(writeDeadline, func() { _ = c.conn.Close() })
	}
	reads.Wait()
	return judge(t.findLost(all, r, stoppedAt, routeTimeout))
}
