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
	// sharedIdleTimeout is how long an idle connection for idempotent requests is
	// kept.
	sharedIdleTimeout = 30 * time.Second
	// freshIdleTimeout is how long a connection may be idle before it no longer
	// carries requests that must run at most once.
	freshIdleTimeout = time.Second
	// freshDivisor sets the part of a target's connections that is reserved for
	// requests that must run at most once: one in freshDivisor.
	freshDivisor = 4
	// bufferBytes is the size of a connection's read buffer and write buffer.
	bufferBytes = 4 << 10
)

// Destination is a target's address, region and connection limit.
type Destination struct {
	Address string
	Region  string
	// MaxConnections limits the connections from this entry to the target.
	MaxConnections int
}

// SendOptions controls how a request is sent to an upstream.
type SendOptions struct {
	Destination Destination
	// FreshConnection selects a connection that is new or was in use within the
	// last second, and prevents the transport from writing the request twice.
	FreshConnection bool
	// OnInterim is called for each interim (1xx) response.
	OnInterim func(status int, header textproto.MIMEHeader) error
}

// Pool keeps a limited number of connections to each upstream. It is safe for
// concurrent use.
type Pool struct {
	dialer    *Dialer
	onConnect func(address string, dialTime time.Duration)
	mu        sync.Mutex
	targets   map[string]*target
}

// target holds the transports for one destination: shared for idempotent requests,
// and fresh for requests that must run at most once.
type target struct {
	dest   Destination
	shared *Transport
	fresh  *Transport
}

// PoolConfig configures a Pool.
type PoolConfig struct {
	Dialer *Dialer
	// OnConnect is called after each dial with the time that it took.
	OnConnect func(address string, dialTime time.Duration)
}

// NewPool returns an empty Pool.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{dialer: cfg.Dialer, onConnect: cfg.OnConnect, targets: map[string]*target{}}
}

// Send sends req and returns the response, whose body is still to be read. The
// RequestTrace is never nil: after an error it shows whether the request may have
// reached the upstream.
func (p *Pool) Send(req *http.Request, s SendOptions) (*http.Response, *RequestTrace, error) {
	trace := &RequestTrace{}
	hooks := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { trace.setConn(info.Conn) },
		Got1xxResponse: s.OnInterim,
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), hooks))
	t := p.targetFor(s.Destination)
	if !s.FreshConnection {
		resp, err := t.shared.RoundTrip(req)
		return resp, trace, err
	}
	preventRetry(req)
	resp, err := t.fresh.RoundTrip(req)
	return resp, trace, err
}

// unreplayableBody hides the type of a request body, so that the transport cannot
// send it again.
type unreplayableBody struct {
	io.ReadCloser
}

// preventRetry keeps the transport from writing req a second time. The transport
// retries a request without a body if its method is safe, or if it has an
// idempotency key under the canonical header name.
func preventRetry(req *http.Request) {
	req.GetBody = nil
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		req.Body = unreplayableBody{req.Body}
	}
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if vs, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[strings.ToLower(name)] = vs
		}
	}
}

// CloseIdle closes the idle connections to address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	t := p.targets[address]
	p.mu.Unlock()
	if t == nil {
		return
	}
	t.shared.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}

// Retain drops every target that is not in addresses, and closes its idle
// connections.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, t := range p.targets {
		if addresses[address] {
			continue
		}
		t.shared.CloseIdleConnections()
		t.fresh.CloseIdleConnections()
		delete(p.targets, address)
	}
}

// targetFor returns the target with the transports for d. It replaces the target if
// the region or the connection limit has changed.
func (p *Pool) targetFor(d Destination) *target {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.targets[d.Address]
	if ok && t.dest == d {
		return t
	}
	if ok {
		t.shared.CloseIdleConnections()
		t.fresh.CloseIdleConnections()
	}
	fresh := max(1, d.MaxConnections/freshDivisor)
	t = &target{
		dest:   d,
		shared: p.newTransport(d, max(1, d.MaxConnections-fresh), sharedIdleTimeout),
		fresh:  p.newTransport(d, fresh, freshIdleTimeout),
	}
	p.targets[d.Address] = t
	return t
}

func (p *Pool) newTransport(d Destination, maxConns int, idleTimeout time.Duration) *Transport {
	return &Transport{&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return p.dial(ctx, d.Region, address)
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}}
}

func (p *Pool) dial(ctx context.Context, region, address string) (net.Conn, error) {
	start := time.Now()
	c, err := p.dialer.Dial(ctx, region, address)
	if err != nil {
		return nil, err
	}
	if p.onConnect != nil {
		p.onConnect(address, time.Since(start))
	}
	return &CountingConn{CheckedConn: NewCheckedConn(c)}, nil
}
