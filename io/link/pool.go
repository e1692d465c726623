package link

import (
	"context"
	"net"
	"sync"
	"time"

	"magnolialedge"
)

const (
	// defaultIdleTimeout is how long an unused connection is kept when the
	// upstream states no keep-alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleMargin is subtracted from an upstream's keep-alive timeout, so that
	// connections are closed here before the upstream closes them.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerUpstream limits the unused connections to one upstream.
	maxIdlePerUpstream = 32
	// sweepInterval is the time between two sweeps for expired connections.
	sweepInterval = time.Second
)

// Dialer opens connections to upstreams.
type Dialer interface {
	Dial(ctx context.Context, region, address string) (net.Conn, error)
}

// PoolConfig configures a Pool.
type PoolConfig struct {
	Dialer  Dialer
	Headers magnolialedge.HeaderProtocol
}

// Pool holds unused connections to upstreams, by upstream id.
type Pool struct {
	cfg  PoolConfig
	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty Pool.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, idle: map[string][]*Conn{}}
}

// Run closes expired connections until ctx is done.
func (p *Pool) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			p.sweep(now)
		}
	}
}

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.After(c.idleDeadline) {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
}

// Get returns an unused connection to the run of an upstream that registered as r, or
// false if there is none. Connections to an earlier run are closed: that run may still
// respond under the same ID.
func (p *Pool) Get(r magnolialedge.Registration) (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	conns := p.idle[r.ID]
	for len(conns) > 0 {
		c := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		p.idle[r.ID] = conns
		if c.Upstream.IsSameRun(r) && now.Before(c.idleDeadline) && c.IsIdle() {
			return c, true
		}
		c.Close()
	}
	return nil, false
}

// HasIdle implements magnolialedge.IdleConns.
func (p *Pool) HasIdle(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[id]
	return len(conns) > 0 && now.Before(conns[len(conns)-1].idleDeadline)
}

// Open opens a new connection to an upstream.
func (p *Pool) Open(ctx context.Context, upstream magnolialedge.Registration) (*Conn, error) {
	start := time.Now()
	netConn, err := p.cfg.Dialer.Dial(ctx, "", upstream.Address)
	if err != nil {
		return nil, err
	}
	return newConn(netConn, upstream, p.cfg.Headers, time.Since(start)), nil
}

// Put returns a connection to the pool, or closes it if it cannot be reused or
// the pool is full.
func (p *Pool) Put(c *Conn) {
	if !c.isReusable() {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.Upstream.ID]
	if len(conns) >= maxIdlePerUpstream {
		c.Close()
		return
	}
	c.idleDeadline = time.Now().Add(c.idleTimeout)
	p.idle[c.Upstream.ID] = append(conns, c)
}

// CloseIdle closes all unused connections to an upstream.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[id] {
		c.Close()
	}
	delete(p.idle, id)
}
