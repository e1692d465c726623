package conn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"time"
)

const (
	// idleLife is how long an unused connection is kept.
	idleLife = 30 * time.Second
	// freshLife is how recently a connection must have been heard from to
	// carry a request that may run only once.
	freshLife = time.Second
	// freshShare is the part of a target's connections for such requests.
	freshShare = 4
	// bufferBytes is the size of each read and write buffer of a connection.
	bufferBytes = 4 << 10
)

// Destination is a target as the pool needs it.
type Destination struct {
	Address string
	Region  string
	// MaxConnections is this entry's share of the target's connections.
	MaxConnections int
}

// SendOptions is one request to an upstream.
type SendOptions struct {
	Destination Destination
	// FreshConnection asks for a connection that is new or was heard from within
	// the last second, and rules out that the request is written twice.
	FreshConnection bool
	// OnInterim is called for each 1xx answer.
	OnInterim func(status int, header textproto.MIMEHeader) error
}

// Pool keeps the connections to upstreams.
type Pool struct {
	dialer *Dialer
	onTrip func(address string, trip time.Duration)
	mu     sync.Mutex
	byAddr map[string]*target
}

type target struct {
	dest   Destination
	shared *http.Transport
	fresh  *http.Transport
}

// PoolConfig constructs a Pool.
type PoolConfig struct {
	Dialer *Dialer
	// OnConnect is told the time that each new connection took.
	OnConnect func(address string, trip time.Duration)
}

// NewPool returns an empty Pool.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{dialer: cfg.Dialer, onTrip: cfg.OnConnect, byAddr: map[string]*target{}}
}

// Send sends req and returns the answer's head. The RequestTrace tells, also after a
// failure, whether the request may have reached the upstream.
func (p *Pool) Send(req *http.Request, s SendOptions) (*http.Response, *RequestTrace, error) {
	use := &RequestTrace{}
	trace := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { use.start(info.Conn) },
		Got1xxResponse: s.OnInterim,
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	t := p.target(s.Destination)
	if !s.FreshConnection {
		resp, err := t.shared.RoundTrip(req)
		return resp, use, err
	}
	writeOnce(req)
	resp, err := t.fresh.RoundTrip(req)
	return resp, use, err
}

// onceBody is a request body that the transport can't send again.
type onceBody struct {
	io.ReadCloser
}

// writeOnce keeps the transport from writing req a second time. The transport
// does so with a bodyless request of a safe method, and with one that has an
// idempotency key under its canonical name.
func writeOnce(req *http.Request) {
	req.GetBody = nil
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		req.Body = onceBody{req.Body}
	}
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if vs, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[strings.ToLower(name)] = vs
		}
	}
}

// CloseIdle closes the unused connections to address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	t := p.byAddr[address]
	p.mu.Unlock()
	if t == nil {
		return
	}
	t.shared.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}

// Retain drops the targets that aren't in use any more.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, t := range p.byAddr {
		if addresses[address] {
			continue
		}
		t.shared.CloseIdleConnections()
		t.fresh.CloseIdleConnections()
		delete(p.byAddr, address)
	}
}

func (p *Pool) target(d Destination) *target {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.byAddr[d.Address]
	if ok && t.dest == d {
		return t
	}
	if ok {
		t.shared.CloseIdleConnections()
		t.fresh.CloseIdleConnections()
	}
	fresh := max(1, d.MaxConnections/freshShare)
	t = &target{
		dest:   d,
		shared: p.transport(d, max(1, d.MaxConnections-fresh), idleLife),
		fresh:  p.transport(d, fresh, freshLife),
	}
	p.byAddr[d.Address] = t
	return t
}

func (p *Pool) transport(d Destination, most int, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return p.dial(ctx, d.Region, address)
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: most,
		MaxConnsPerHost:     most,
		IdleConnTimeout:     idle,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}
}

func (p *Pool) dial(ctx context.Context, region, address string) (net.Conn, error) {
	begin := time.Now()
	c, err := p.dialer.Dial(ctx, region, address)
	if err != nil {
		return nil, err
	}
	if p.onTrip != nil {
		p.onTrip(address, time.Since(begin))
	}
	return &CountingConn{Conn: c}, nil
}
