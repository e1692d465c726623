package main

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// troubledTargets is the number of targets whose answers have no end: a share of .15.
	endlessTargets  = 20
	troubledTargets = 3
	// chunkBytes and chunkInterval are the pace of an endless answer: 80 Mbit/s, so that the
	// slots of all troubled targets together stay below the 1,000 Mbit/s of the entry's link.
	chunkBytes    = 100_000
	chunkInterval = 10 * time.Millisecond
	usualWork     = 78 * time.Millisecond
	// writers is the number of clients that send one write after the other.
	writers       = 72
	writeTime     = 12 * time.Second
	troubleBegins = 3 * time.Second
	// allowedLosses is how many such requests the rule LOST allows.
	allowedLosses = 3
)

// runEndlessError lets three targets of twenty answer with a failure whose body has no end, and
// watches the memory of the entry.
func runEndlessError(t *trial) error {
	chunk := bytes.Repeat([]byte("x"), chunkBytes)
	beginsAt := time.Now().Add(time.Hour)
	var mu sync.Mutex
	isTroubled := func(s *target) bool { return slices.Contains(t.targets[:troubledTargets], s) }
	hasBegun := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return time.Now().After(beginsAt)
	}
	r := newRuns()
	serve := func(s *target, x *run) {
		r.begin(x.id, s)
		if !isTroubled(s) || !hasBegun() {
			s.work(x, usualWork)
			return
		}
		x.w.WriteHeader(http.StatusInternalServerError)
		sent := 0
		for x.r.Context().Err() == nil {
			n, err := x.w.Write(chunk)
			sent += n
			if err != nil {
				break
			}
			_ = http.NewResponseController(x.w).Flush()
			time.Sleep(chunkInterval)
		}
		t.note("%s sent %d bytes without end for %s until the connection was closed", s.id, sent, x.id)
	}
	address, e, err := t.deploy(endlessTargets, 1, serve)
	if err != nil {
		return err
	}
	start := time.Now()
	if hasTrouble() {
		mu.Lock()
		beginsAt = start.Add(troubleBegins)
		mu.Unlock()
	}
	conns := make([][]*clientConn, writers)
	var all sync.WaitGroup
	for i := range writers {
		all.Add(1)
		go func() {
			defer all.Done()
			conns[i] = t.writeInTurn(address, i, start)
		}()
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		all.Wait()
	}()
	peak, isKilled := e.guardMemory(written)
	<-written
	t.note("%s has had at most %.0f MB; memory-mb is %d; killed for it: %v", e.name, peak, memoryMB, isKilled)
	lost := 0
	for _, c := range slices.Concat(conns...) {
		for i, q := range c.all {
			s := r.targetOf(q.id)
			if i == 0 || q.status != 0 || s == nil || isTroubled(s) || q.endedAt.Sub(q.sentAt) >= routeTimeout {
				continue
			}
			lost++
			t.note("LOST %s: passed on from a kept connection to %s, which is sound, and ended without an answer", q.id, s.id)
		}
	}
	if lost > allowedLosses {
		return broken("%d requests from kept connections at sound targets ended without an answer", lost)
	}
	return nil
}

// writeInTurn sends one write after the other on a kept connection, or on the next one if it
// ends, and returns the connections.
func (t *trial) writeInTurn(address string, client int, start time.Time) []*clientConn {
	var conns []*clientConn
	for n := 0; time.Since(start) < writeTime; {
		c, err := dial(t, address)
		if err != nil {
			time.Sleep(250 * time.Millisecond)
			continue
		}
		conns = append(conns, c)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c.readAnswers()
		}()
		isOpen := true
		for isOpen && time.Since(start) < writeTime {
			q := &request{id: fmt.Sprintf("write-%d-%d", client, n), method: "POST", path: fmt.Sprintf("/writes/%d/%d", client, n)}
			n++
			isOpen = c.send(q, writeDeadline, "a permit") == nil && c.awaitAnswer(ended)
		}
		_ = c.conn.Close()
		<-ended
	}
	return conns
}

// awaitAnswer waits until all requests have been answered, and reports whether the connection
// is still open then.
func (c *clientConn) awaitAnswer(ended <-chan struct{}) bool {
	for c.next() != nil {
		select {
		case <-ended:
			return false
		case <-time.After(2 * time.Millisecond):
		}
	}
	return true
}
