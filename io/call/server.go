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
	"magnolialedge/io/conn"
	"magnolialedge/io/event"
	"magnolialedge/io/proc"
)

// PeerUpdate is what one entry tells its peers.
type PeerUpdate struct {
	Service     string
	Fingerprint uint64
	Losses      int
	// DrainingAddress is the address of an upstream that drains.
	DrainingAddress string
}

// ServerConfig constructs a Server.
type ServerConfig struct {
	// CallerAddress is the address at which callers reach this entry.
	CallerAddress string
	// PeerAddress is the address at which other entries reach it.
	PeerAddress string
	Fleet       *proc.Fleet
	Keys        *proc.KeyTable
	Quarantine  *proc.Quarantine
	Pool        *conn.Pool
	FenceClient *FenceClient
	Claims      *ClaimStore
	Metrics     *Metrics
	Log         event.Logger
	// MaxInFlight is the number of requests in flight above which more are refused.
	MaxInFlight int64
	// NotifyPeers passes news on to peers.
	NotifyPeers func(PeerUpdate)
}

// Server answers callers.
type Server struct {
	cfg      ServerConfig
	inFlight atomic.Int64
	leaving  atomic.Bool
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg}
}

// Handler returns the HTTP handler of the callers' listener.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		s.refuse(c.Response().Writer, "", requestID(c.Request().Header), refusalOf(magnolialedge.NewError(magnolialedge.KindBadRequest, "the method is not served")))
	}
	e.GET("/v1/resolve", func(c echo.Context) error {
		s.resolve(c.Response(), c.Request())
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

// SetLeaving makes the server name other entries in resolve answers.
func (s *Server) SetLeaving() {
	s.leaving.Store(true)
}

// busyShare is the share of the most requests in flight from which resolve
// answers name this entry last.
const busyShare = 0.8

func (s *Server) isBusy() bool {
	return float64(s.inFlight.Load()) > busyShare*float64(s.cfg.MaxInFlight)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	s.inFlight.Add(1)
	s.cfg.Metrics.InFlight.Inc()
	defer func() {
		s.inFlight.Add(-1)
		s.cfg.Metrics.InFlight.Dec()
	}()
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	id := requestID(r.Header)
	defer s.recovered(w, id)
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderEntry, s.cfg.CallerAddress)
	if s.inFlight.Load() > s.cfg.MaxInFlight {
		s.refuse(w, "", id, newRefusal(magnolialedge.KindOverloaded, magnolialedge.OutcomeNotRun, "this entry has too many requests in flight"))
		return
	}
	service, target, err := s.read(w, r)
	if err != nil {
		s.refuse(w, "", id, refusalOf(err))
		return
	}
	s.dispatch(w, r, id, service, target)
	s.cfg.Metrics.Latency.WithLabelValues(s.label(service)).Observe(time.Since(begun).Seconds())
}

// recovered answers a request in which this program failed. A broken-off answer
// goes on to end the connection.
func (s *Server) recovered(w http.ResponseWriter, id string) {
	reason := recover()
	if reason == nil {
		return
	}
	if reason != http.ErrAbortHandler {
		s.cfg.Log.Log(event.RequestPanicked, "requestId", id, "reason", reason, "stack", string(debug.Stack()))
		s.refuse(w, "", id, newRefusal(magnolialedge.KindInternal, magnolialedge.OutcomeUnknown, "the request failed in the entry"))
	}
	panic(http.ErrAbortHandler)
}

// label keeps names that aren't configured out of the metrics.
func (s *Server) label(service string) string {
	if _, ok := s.cfg.Fleet.Service(service); !ok {
		return ""
	}
	return service
}

// mostIDBytes bounds the request ids that are taken over from callers.
const mostIDBytes = 128

func requestID(h http.Header) string {
	if id := h.Get(HeaderRequestID); id != "" && len(id) <= mostIDBytes {
		return id
	}
	return uuid.NewString()
}

// read refuses ambiguous requests and returns where the others go.
func (s *Server) read(w http.ResponseWriter, r *http.Request) (string, *url.URL, error) {
	if conn.HasAmbiguousLength(r) {
		w.Header().Set("Connection", "close")
		return "", nil, magnolialedge.NewError(magnolialedge.KindBadRequest, "the request is chunked and carries a Content-Length")
	}
	return route(r)
}

// servicePrefix begins the paths that name their service.
const servicePrefix = "/s/"

// route reads the service and the URL at the upstream from a request.
func route(r *http.Request) (string, *url.URL, error) {
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
	plain, err := url.PathUnescape(path)
	if err != nil {
		return "", nil, magnolialedge.NewError(magnolialedge.KindBadRequest, "the path's percent-encoding is not valid")
	}
	target.Path = plain
	target.RawPath = path
	return name, &target, nil
}

func (s *Server) dispatch(w http.ResponseWriter, r *http.Request, id, service string, target *url.URL) {
	svc, ok := s.cfg.Fleet.Service(service)
	if !ok {
		s.refuse(w, "", id, s.noService(service))
		return
	}
	svc.CountRequest()
	x, key, err := s.exchange(r, svc, service, id, target)
	if err != nil {
		s.refuse(w, service, id, refusalOf(err))
		return
	}
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	x.base = base
	x.w = w
	if left, refused := s.cfg.Quarantine.RefusedFor(x.fingerprint); refused {
		f := newRefusal(magnolialedge.KindQuarantined, magnolialedge.OutcomeNotRun, "upstreams were lost while they ran this request")
		f.retryAfter = left
		s.refuse(w, service, id, f)
		return
	}
	if x.class == call.Keyed {
		s.keyed(w, r, x, key)
		return
	}
	s.unkeyed(w, x)
}

func (s *Server) noService(name string) refusal {
	if s.cfg.Fleet.Version() == nil {
		return refusalOf(magnolialedge.NewError(magnolialedge.KindNotReady, "this entry has no configuration yet"))
	}
	return refusalOf(magnolialedge.NewError(magnolialedge.KindUnknownService, "no service is called "+name))
}

func (s *Server) exchange(r *http.Request, svc *proc.Service, service, id string, target *url.URL) (*exchange, call.Key, error) {
	config := svc.Config()
	timeout, err := timeoutOf(r.Header, config.Deadline())
	if err != nil {
		return nil, call.Key{}, err
	}
	now := time.Now()
	path := target.EscapedPath()
	x := &exchange{
		server:   s,
		svc:      svc,
		service:  service,
		id:       id,
		method:   r.Method,
		host:     r.Host,
		url:      target,
		header:   r.Header,
		class:    call.ClassOf(config.NonIdempotent, r.Method, path),
		deadline: now.Add(timeout),
		caller:   r.Context(),
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

// unkeyed serves a request that carries no key.
func (s *Server) unkeyed(w http.ResponseWriter, x *exchange) {
	end := x.run()
	defer x.cancelRest(end.attempt)
	if end.attempt == nil {
		s.refuse(w, x.service, x.id, end.refusal)
		return
	}
	s.cfg.Metrics.Requests.WithLabelValues(x.service, "", string(end.attempt.result.Outcome)).Inc()
	x.relay(w, end.attempt)
}

func (s *Server) refuse(w http.ResponseWriter, service, id string, f refusal) {
	s.cfg.Metrics.Requests.WithLabelValues(service, string(f.kind), string(f.outcome)).Inc()
	f.write(w, id)
}

// drainSeen passes on that an upstream said it drains.
func (s *Server) drainSeen(service, address string) {
	s.cfg.NotifyPeers(PeerUpdate{Service: service, DrainingAddress: address})
}
