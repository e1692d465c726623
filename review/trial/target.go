package main

import (
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

//go:embed registration.json
var registration string

// target is a server of the service. It registers itself in the store.
type target struct {
	trial *trial
	id    string
	zone  string
	slots int
	born  int64
	http  *http.Server
	addr  string
	serve func(*target, *run)
	// free holds a token for each free slot.
	free chan struct{}
	done chan struct{}

	mu      sync.Mutex
	running int
	waiting int
}

// run is one request at a target.
type run struct {
	w  http.ResponseWriter
	r  *http.Request
	id string
}

// startTarget starts a target on a loopback port, which answers requests by serve.
func startTarget(t *trial, id, zone string, slots int, serve func(*target, *run)) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &target{trial: t, id: id, zone: zone, slots: slots, born: time.Now().UnixMilli(), addr: l.Addr().String(), serve: serve, free: make(chan struct{}, slots), done: make(chan struct{})}
	for range slots {
		s.free <- struct{}{}
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	s.register(1)
	go s.beat()
	return s, nil
}

// register writes the target's entry to the store.
func (s *target) register(seq int) {
	s.trial.store.Put(fmt.Sprintf("servers/%s", s.id), fmt.Appendf(nil, registration, s.addr, s.zone, s.slots, seq, s.born))
}

// beat writes the entry again at the interval of the heartbeats.
func (s *target) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for seq := 2; ; seq++ {
		select {
		case <-ticker.C:
			s.register(seq)
		case <-s.done:
			return
		}
	}
}

func (s *target) close() {
	close(s.done)
	_ = s.http.Close()
}

func (s *target) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots)
}

// count adds to the numbers of requests that run and that wait.
func (s *target) count(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
}

// ServeHTTP implements http.Handler.
func (s *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=10")
	w.Header().Set(headers.Load, s.load())
	if r.URL.Path == "/health" {
		w.Header().Set(headers.Instance, s.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get(headers.RequestID)
	w.Header().Set(headers.RequestID, id)
	if want := r.Header.Get(headers.ExpectedInstance); want != "" && want != s.id {
		w.Header().Set(headers.Instance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.count(0, 1)
	select {
	case <-s.free:
	case <-r.Context().Done():
		s.count(0, -1)
		return
	}
	s.count(1, -1)
	defer func() {
		s.count(-1, 0)
		s.free <- struct{}{}
	}()
	s.trial.note("%s begins to run %s (%s %s)", s.id, id, r.Method, r.URL.Path)
	s.serve(s, &run{w: w, r: r, id: id})
}

// work works for d, and answers unless the connection closes meanwhile.
func (s *target) work(x *run, d time.Duration) {
	select {
	case <-time.After(d):
		x.w.Header().Set(headers.Signature, "signed-by-"+s.id)
		_, _ = io.WriteString(x.w, "the answer to "+x.id)
		s.trial.note("%s has run %s and answered", s.id, x.id)
	case <-x.r.Context().Done():
		s.trial.note("%s stops the work on %s, because its connection was closed", s.id, x.id)
	}
}
