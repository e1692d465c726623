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
	"magnolialedge/io/limit"
)

// Request is a complete request from a caller.
type Request struct {
	Method string
	// Target is the request target as sent by the caller.
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody distinguishes an empty body from a missing one.
	HasBody bool
	// IsLast is set when the caller asked to close the connection after this
	// request.
	IsLast bool
	// Arrived is the time at which the request header had been read.
	Arrived    time.Time
	RemoteAddr string
}

// Response is the response to a caller.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning if Stream is not nil.
	Body   []byte
	Stream BodyStream
	// Length is the body length to announce, or -1 to derive it from Body. It
	// is set for responses to HEAD requests and for responses with a Stream of
	// known length; a Stream of unknown length is sent in chunks.
	Length int64
	// Release is called once when the response has been written or discarded. It may be nil.
	Release func()
}

// release calls Release.
func (resp *Response) release() {
	if resp.Release != nil {
		resp.Release()
	}
}

// BodyStream is the part of a response body that follows Response.Body. The
// receiver must close it.
type BodyStream interface {
	io.ReadCloser
	// Abort makes a concurrent Read fail.
	Abort()
}

// Handler handles requests.
type Handler interface {
	// IsIdempotent reports whether a request may run more than once.
	IsIdempotent(r *Request) bool
	// RejectEarly returns the response that rejects a request by its header, before its
	// body is read, or nil.
	RejectEarly(r *Request) *Response
	// Handle returns the response to a request. ctx is canceled when the caller
	// disconnects.
	Handle(ctx context.Context, r *Request) *Response
	// Reject returns the error response to a request that cannot be read or
	// accepted.
	Reject(kind magnolialedge.ErrorKind, detail string) *Response
	// Limits returns the limits on request size and on the time between and
	// within requests.
	Limits() magnolialedge.RequestLimits
}

// Config configures a Server.
type Config struct {
	Handler Handler
	Log     event.Logger
	// MaxConns limits the number of connections on which requests are served; 0
	// means no limit. At the limit, a new connection causes idle ones to be closed,
	// and its own requests are rejected.
	MaxConns int
	// BodyMemory limits the total size of the request bodies held in memory. If it is nil,
	// there is no limit.
	BodyMemory *limit.Holder
}

// Server serves HTTP/1.1 connections from callers.
type Server struct {
	cfg                Config
	handler            Handler
	mu                 sync.Mutex
	conns              map[*conn]struct{}
	keepAlivesDisabled atomic.Bool
	inFlight           atomic.Int64
	bodyMemory         *limit.Holder
}

// NewServer returns a Server for the given configuration.
func NewServer(cfg Config) *Server {
	bodyMemory := cfg.BodyMemory
	if bodyMemory == nil {
		bodyMemory = limit.NewHolder(limit.HolderConfig{})
	}
	return &Server{cfg: cfg, handler: cfg.Handler, conns: map[*conn]struct{}{}, bodyMemory: bodyMemory}
}

// acceptRetryDelay is the delay before the next accept after a failure, for
// example when all file descriptors are in use.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until l is closed and returns the error of that
// accept call. After any other accept error it closes idle connections and
// retries.
func (s *Server) Serve(l net.Listener) error {
	for {
		netConn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			s.cfg.Log.Log(event.AcceptFailed, "err", err, "connections", s.Connections())
			s.CloseIdle()
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.addConn(netConn).serve()
	}
}

// ServeConn serves a connection that another listener has accepted, until it is closed.
func (s *Server) ServeConn(netConn net.Conn) {
	s.addConn(netConn).serve()
}

// addConn registers a new connection. At the connection limit it closes idle
// connections and marks the new one as over the limit.
func (s *Server) addConn(netConn net.Conn) *conn {
	c := newConn(s, netConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.MaxConns > 0 && len(s.conns) >= s.cfg.MaxConns {
		c.isOverLimit = true
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

// DisableKeepAlives makes the server close each connection after the next response that no
// other pending request follows.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// CloseIdle closes the connections that have no pending request. A request that
// begins within closeGracePeriod is still served; its response announces the
// close.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle()
}

// EndBusy makes up to n connections accept no further request although others are pending, since
// their callers may send requests without a pause. The last response of such a connection
// announces the close, and requests that arrive behind the accepted ones are discarded.
func (s *Server) EndBusy(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if n <= 0 {
			return
		}
		if c.endIfBusy() {
			n--
		}
	}
}

// closeIdle closes the idle connections; s.mu must be held.
func (s *Server) closeIdle() {
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// releaseBody releases the memory reserved for a request's body; r may be nil.
func (s *Server) releaseBody(r *Request) {
	if r != nil {
		s.bodyMemory.Release(int64(len(r.Body)))
	}
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
