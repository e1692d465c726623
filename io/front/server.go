package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/io/event"
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
	// IsLast tells that the caller sends nothing behind the request.
	IsLast bool
	// Arrived is when the request's head had been read.
	Arrived    time.Time
	RemoteAddr string
}

// Response is what is written to a caller.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its begin if Stream isn't nil.
	Body   []byte
	Stream BodyStream
	// Length is stated in place of the body's length when it isn't negative,
	// as answers to HEAD and those with a Stream need it.
	Length int64
}

// BodyStream is the part of an answer's body that is still to come. Whoever gets one
// closes it.
type BodyStream interface {
	io.ReadCloser
	// Abort makes a Read in progress fail.
	Abort()
}

// Handler answers requests. The context ends when the caller has gone.
type Handler interface {
	// IsIdempotent reports whether a request may be run again when its answer
	// is lost.
	IsIdempotent(r *Request) bool
	// Handle returns the answer to a request.
	Handle(ctx context.Context, r *Request) *Response
	// Reject returns the answer to a request that can't be read.
	Reject(kind magnolialedge.ErrorKind, detail string) *Response
	// Limits returns what callers may send.
	Limits() magnolialedge.RequestLimits
}

// Config constructs a Server.
type Config struct {
	Handler Handler
	Log     event.Logger
	// MaxConns bounds the connections on which requests are answered; 0 stands
	// for no bound. Beyond it unused connections are closed, and requests on new
	// ones are refused.
	MaxConns int
	// MaxBodyMemoryBytes bounds the bytes of all bodies that are held at a time; 0 stands
	// for no bound.
	MaxBodyMemoryBytes int64
}

// Server serves the connections of callers.
type Server struct {
	cfg      Config
	handler  Handler
	mu       sync.Mutex
	conns    map[*conn]struct{}
	leaving  atomic.Bool
	inFlight atomic.Int64
	bodies   memory
}

// NewServer returns a Server.
func NewServer(cfg Config) *Server {
	return &Server{cfg: cfg, handler: cfg.Handler, conns: map[*conn]struct{}{}, bodies: memory{most: cfg.MaxBodyMemoryBytes}}
}

// acceptPause is the time after which accepting goes on when it has failed, as
// it does while all descriptors are in use.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until l is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			s.cfg.Log.Log(event.AcceptFailed, "err", err, "connections", s.Connections())
			s.CloseIdle()
			time.Sleep(acceptPause)
			continue
		}
		go s.admit(raw).serve()
	}
}

// admit counts a new connection.
func (s *Server) admit(raw net.Conn) *conn {
	c := newConn(s, raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.MaxConns > 0 && len(s.conns) >= s.cfg.MaxConns {
		c.surplus = true
		s.closeIdle()
	}
	s.conns[c] = struct{}{}
	return c
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

// DisableKeepAlives makes each further answer the last one of its connection.
func (s *Server) DisableKeepAlives() {
	s.leaving.Store(true)
}

// CloseIdle closes the connections that carry no request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle()
}

func (s *Server) closeIdle() {
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// release gives back the memory of a request's body.
func (s *Server) release(r *Request) {
	if r != nil {
		s.bodies.give(int64(len(r.Body)))
	}
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
