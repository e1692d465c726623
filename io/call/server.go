package call

import (
	"context"
	"net/http"
	"net/url"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"magnolialedge"
	"magnolialedge/core/call"
	"magnolialedge/core/stop"
	"magnolialedge/io/conn"
	"magnolialedge/io/event"
	"magnolialedge/io/proc"
)

// PeerUpdate is a notification to peers about a quarantined request or a draining
// upstream.
type PeerUpdate struct {
	Service     string
	Fingerprint uint64
	Losses      int
	// DrainingAddress is the address of a draining upstream, or empty.
	DrainingAddress string
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// CallerAddress is the address that callers connect to.
	CallerAddress string
	// PeerAddress is the address that other entries connect to.
	PeerAddress string
	Fleet       *proc.Fleet
	Keys        *proc.KeyTable
	Quarantine  *proc.Quarantine
	Pool        *conn.Pool
	FenceClient *FenceClient
	Claims      *ClaimStore
	Metrics     *Metrics
	Log         event.Logger
	// MaxInFlight limits the requests in flight; further ones are refused.
	MaxInFlight int64
	// NotifyPeers sends an update to the peers.
	NotifyPeers func(PeerUpdate)
}

// Server serves the requests of callers.
type Server struct {
	cfg      ServerConfig
	inFlight atomic.Int64
	// stopping is the end of this entry, or nil if it was not told to stop.
	stopping atomic.Pointer[stop.Schedule]
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg}
}

// Handler returns the HTTP handler of the callers' listener.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		s.writeError(c.Response().Writer, "", requestID(c.Request().Header), errorResponseFor(magnolialedge.NewError(magnolialedge.KindBadRequest, "the method is not served")))
	}
	e.GET("/v1/resolve", func(c echo.Context) error {
		s.handleResolve(c.Response(), c.Request())
		return nil
	})
	e.Any("/*", func(c echo.Context) error {
		s.serve(c.Response().Writer, c.Request())
		return nil
	})
	return e
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// SetLeaving makes the server leave itself out of resolve responses, unless it is busy
// or no other entry is listed, and close the callers' connections after their next
// response. From then on, it begins only work that d permits.
func (s *Server) SetLeaving(d stop.Schedule) {
	s.stopping.Store(&d)
}

func (s *Server) isLeaving() bool {
	return s.stopping.Load() != nil
}

// schedule returns the end of this entry.
func (s *Server) schedule() stop.Schedule {
	if d := s.stopping.Load(); d != nil {
		return *d
	}
	return stop.Schedule{}
}

// busyRatio is the ratio of requests in flight to MaxInFlight above which resolve
// responses list this entry last.
const busyRatio = 0.8

func (s *Server) isBusy() bool {
	return float64(s.inFlight.Load()) > busyRatio*float64(s.cfg.MaxInFlight)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	s.inFlight.Add(1)
	s.cfg.Metrics.InFlight.Inc()
	defer func() {
		s.inFlight.Add(-1)
		s.cfg.Metrics.InFlight.Dec()
	}()
	if s.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	id := requestID(r.Header)
	defer s.recoverPanic(w, id)
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderEntry, s.cfg.CallerAddress)
	if s.inFlight.Load() > s.cfg.MaxInFlight {
		s.writeError(w, "", id, newErrorResponse(magnolialedge.KindOverloaded, magnolialedge.OutcomeNotRun, "this entry has too many requests in flight"))
		return
	}
	service, target, err := s.parseRequest(w, r)
	if err != nil {
		s.writeError(w, "", id, errorResponseFor(err))
		return
	}
	s.dispatch(w, r, id, service, target)
	s.cfg.Metrics.Latency.WithLabelValues(s.serviceLabel(service)).Observe(time.Since(start).Seconds())
}

// recoverPanic logs a panic and responds with an internal error. An
// http.ErrAbortHandler, with which relay reports an interrupted response, is neither
// logged nor responded to. In both cases recoverPanic panics with
// http.ErrAbortHandler, so that the connection is aborted.
func (s *Server) recoverPanic(w http.ResponseWriter, id string) {
	reason := recover()
	if reason == nil {
		return
	}
	if reason != http.ErrAbortHandler {
		s.cfg.Log.Log(event.RequestPanicked, "requestId", id, "reason", reason, "stack", string(debug.Stack()))
		s.writeError(w, "", id, newErrorResponse(magnolialedge.KindInternal, magnolialedge.OutcomeUnknown, "the request failed in the entry"))
	}
	panic(http.ErrAbortHandler)
}

// serviceLabel returns the metrics label of a service, which is empty for names that
// are not configured.
func (s *Server) serviceLabel(service string) string {
	if _, ok := s.cfg.Fleet.Service(service); !ok {
		return ""
	}
	return service
}

// maxRequestIDBytes is the longest request id that is accepted from a caller.
const maxRequestIDBytes = 128

// requestID returns the caller's request id, or a new one if it sent none or one
// that is too long.
func requestID(h http.Header) string {
	if id := h.Get(HeaderRequestID); id != "" && len(id) <= maxRequestIDBytes {
		return id
	}
	return uuid.NewString()
}

// parseRequest returns the service of a request and its URL at the upstream. It
// rejects requests whose body length is ambiguous.
func (s *Server) parseRequest(w http.ResponseWriter, r *http.Request) (string, *url.URL, error) {
	if conn.HasAmbiguousLength(r) {
		w.Header().Set("Connection", "close")
		return "", nil, magnolialedge.NewError(magnolialedge.KindBadRequest, "the request is chunked and carries a Content-Length")
	}
	return parseTarget(r)
}

// servicePrefix is the prefix of paths that name the service.
const servicePrefix = "/s/"

// parseTarget returns the service, from the Request-Service header or the path, and
// the URL at the upstream.
func parseTarget(r *http.Request) (string, *url.URL, error) {
	target := *r.URL
	if name := r.Header.Get(HeaderService); name != "" {
		return name, &target, nil
	}
	escaped := r.URL.EscapedPath()
	rest, ok := strings.CutPrefix(escaped, servicePrefix)
	if !ok {
		return "", nil, magnolialedge.NewError(magnolialedge.KindUnknownService, "the path must begin with /s/{service}/, or Request-Service must name the service")
	}
	name, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		return "", nil, magnolialedge.NewError(magnolialedge.KindBadRequest, "the path's percent-encoding is not valid")
	}
	target.Path = unescaped
	target.RawPath = path
	return name, &target, nil
}

// dispatch forwards a request to its service, unless it is quarantined.
func (s *Server) dispatch(w http.ResponseWriter, r *http.Request, id, service string, target *url.URL) {
	svc, ok := s.cfg.Fleet.Service(service)
	if !ok {
		s.writeError(w, "", id, s.unknownService(service))
		return
	}
	svc.CountRequest()
	x, key, err := s.newExchange(r, svc, service, id, target)
	if err != nil {
		s.writeError(w, service, id, errorResponseFor(err))
		return
	}
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	x.baseCtx = base
	x.w = w
	if remaining, quarantined := s.cfg.Quarantine.Remaining(x.fingerprint); quarantined {
		resp := newErrorResponse(magnolialedge.KindQuarantined, magnolialedge.OutcomeNotRun, "upstreams were lost while they ran this request")
		resp.retryAfter = remaining
		s.writeError(w, service, id, resp)
		return
	}
	if x.class == call.Keyed {
		s.serveKeyed(w, r, x, key)
		return
	}
	s.serveUnkeyed(w, x)
}

// unknownService returns the error response for a service that is not configured, or
// for any service before the first configuration.
func (s *Server) unknownService(name string) errorResponse {
	if s.cfg.Fleet.Version() == nil {
		return errorResponseFor(magnolialedge.NewError(magnolialedge.KindNotReady, "this entry has no configuration yet"))
	}
	return errorResponseFor(magnolialedge.NewError(magnolialedge.KindUnknownService, "no service is called "+name))
}

// newExchange returns the exchange for a request, and its idempotency key if its
// class needs one.
func (s *Server) newExchange(r *http.Request, svc *proc.Service, service, id string, target *url.URL) (*exchange, call.Key, error) {
	config := svc.Config()
	timeout, err := parseTimeout(r.Header, config.Deadline())
	if err != nil {
		return nil, call.Key{}, err
	}
	now := time.Now()
	path := target.EscapedPath()
	x := &exchange{
		server:    s,
		svc:       svc,
		service:   service,
		requestID: id,
		method:    r.Method,
		host:      r.Host,
		url:       target,
		header:    r.Header,
		class:     call.ClassOf(config.NonIdempotent, r.Method, path),
		deadline:  now.Add(timeout),
		callerCtx: r.Context(),
	}
	var key call.Key
	if x.class == call.Keyed {
		if key, err = call.ParseKey(r.Header.Get(HeaderIdempotencyKey), now); err != nil {
			return nil, key, err
		}
	}
	if x.body, err = readBody(r); err != nil {
		return nil, key, err
	}
	x.fingerprint = fingerprint(service, r, path, x.body)
	return x, key, nil
}

// serveUnkeyed serves a request that needs no idempotency key.
func (s *Server) serveUnkeyed(w http.ResponseWriter, x *exchange) {
	result := x.run()
	defer x.cancelOthers(result.attempt)
	if result.attempt == nil {
		s.writeError(w, x.service, x.requestID, result.errResponse)
		return
	}
	s.cfg.Metrics.Requests.WithLabelValues(x.service, "", string(result.attempt.result.Outcome)).Inc()
	x.relay(w, result.attempt)
}

// writeError counts an error response and writes it.
func (s *Server) writeError(w http.ResponseWriter, service, id string, resp errorResponse) {
	s.cfg.Metrics.Requests.WithLabelValues(service, string(resp.kind), string(resp.outcome)).Inc()
	resp.write(w, id)
}

// notifyDraining notifies peers that an upstream reported that it is draining.
func (s *Server) notifyDraining(service, address string) {
	s.cfg.NotifyPeers(PeerUpdate{Service: service, DrainingAddress: address})
}
