package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"magnolialedge"
)

// Request is a caller's whole request.
type Request struct {
	Method string
	// Target is the request's target as the caller wrote it.
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
	// Arrived is when the request's head had been read.
	Arrived time.Time
	Remote  string
}

// Answer is what is written to a caller.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Length is stated in place of the body's length when it isn't negative,
	// as answers to HEAD need it.
	Length int64
}

// Handler answers requests. The context ends when the caller has gone.
type Handler interface {
	// IsRepeatable reports whether a request may be run again when its answer
	// is lost.
	IsRepeatable(r *Request) bool
	// Answer returns the answer to a request.
	Answer(ctx context.Context, r *Request) *Answer
	// Refuse returns the answer to a request that can't be read.
	Refuse(kind magnolialedge.Kind, detail string) *Answer
	// Limits returns what callers may send.
	Limits() magnolialedge.CallerLimits
}

// Server serves the connections of callers.
type Server struct {
	handler  Handler
	mu       sync.Mutex
	conns    map[*conn]struct{}
	leaving  atomic.Bool
	inFlight atomic.Int64
}

// NewServer returns a Server.
func NewServer(h Handler) *Server {
	return &Server{handler: h, conns: map[*conn]struct{}{}}
}

// Serve accepts connections until l is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if err != nil {
			return err
		}
		c := newConn(s, raw)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.serve()
	}
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Leave makes each further answer the last one of its connection.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// CloseIdle closes the connections that carry no request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
