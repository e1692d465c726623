package soak

import (
	"fmt"
	"net"
	"sync"
	"time"

	"magnolialedge/io/stand"
	platform "magnolialedge/platform/stand"
)

const (
	slots = 4
	work  = 20 * time.Millisecond
)

// upstream is one upstream through all its lives, behind a link.
type upstream struct {
	id    string
	zone  string
	store *platform.Store
	link  *stand.Link
	near  net.Listener

	mu    sync.Mutex
	now   *platform.Upstream
	lives []*platform.Upstream
	// drains holds when each drain began and ended.
	drains []span
}

func newUpstream(store *platform.Store, i int, zone string) (*upstream, error) {
	near, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{id: fmt.Sprintf("up-%d", i), zone: zone, store: store, link: stand.NewLink(stand.LinkBehaviour{}), near: near}
	u.begin()
	go u.link.Forward(near, func() string { return u.current().Address() })
	return u, nil
}

// begin starts the upstream anew under its id.
func (u *upstream) begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.now = platform.NewUpstream(platform.UpstreamConfig{
		ID: u.id, Service: "svc", Zone: u.zone, Slots: slots, WorkDuration: work,
		AdvertisedAddress: u.near.Addr().String(), Incarnation: int64(len(u.lives) + 1),
	})
	u.lives = append(u.lives, u.now)
	u.now.Register(u.store, "ready")
}

func (u *upstream) current() *platform.Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.now
}

// drain registers the upstream as leaving until it is registered again.
func (u *upstream) drain() (end func()) {
	begun := time.Now()
	u.current().Register(u.store, "draining")
	return func() {
		u.mu.Lock()
		u.drains = append(u.drains, span{from: begun, to: time.Now()})
		u.mu.Unlock()
		u.current().Register(u.store, "ready")
	}
}

// arrivals returns what all lives were given.
func (u *upstream) arrivals() []platform.Arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []platform.Arrival
	for _, life := range u.lives {
		out = append(out, life.Arrivals()...)
	}
	return out
}

func (u *upstream) close() {
	u.current().Close()
	_ = u.near.Close()
}

func (u *upstream) drainSpans() []span {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.drains
}
