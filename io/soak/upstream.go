package soak

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"magnolialedge/io/stand"
	platform "magnolialedge/platform/stand"
)

// Each upstream executes slotsPerUpstream requests at a time, for serviceTime each.
const (
	slotsPerUpstream = 4
	serviceTime      = 20 * time.Millisecond
)

// upstream is an upstream that can be closed and started again under the same ID.
// Entries connect to it through a link.
type upstream struct {
	id    string
	zone  string
	store *platform.Store
	// link forwards connections to the current incarnation, and linkListener
	// accepts them.
	link         *stand.Link
	linkListener net.Listener

	mu sync.Mutex
	// incarnations holds all incarnations, of which current is the latest.
	current *platform.Upstream
	// state is what the current incarnation has registered; empty means that it is
	// not registered.
	state        string
	incarnations []*platform.Upstream
	// drains holds the completed drains.
	drains []timeSpan
	// limits holds the completed times with a limit.
	limits []limitSpan
	// notices holds the completed times in which it wanted no requests.
	notices []noticeSpan
}

// noticeSpan is a time during which each response of an upstream asked the entry to back
// off for wait.
type noticeSpan struct {
	timeSpan
	wait time.Duration
}

// untilEnd is the wait of an upstream that is leaving.
const untilEnd = time.Hour

// limitSpan is a time during which an upstream announced a limit.
type limitSpan struct {
	timeSpan
	perSecond float64
}

func newUpstream(store *platform.Store, i int, zone string) (*upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{id: fmt.Sprintf("up-%d", i), zone: zone, store: store, link: stand.NewLink(stand.LinkBehaviour{}), linkListener: listener}
	u.start()
	go u.link.Forward(listener, func() string { return u.latest().Address() })
	return u, nil
}

// start starts and registers a new incarnation.
func (u *upstream) start() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.current = platform.NewUpstream(platform.UpstreamConfig{
		ID: u.id, Service: "svc", Zone: u.zone, Slots: slotsPerUpstream, WorkDuration: serviceTime,
		AdvertisedAddress: u.linkListener.Addr().String(), Incarnation: int64(len(u.incarnations) + 1),
	})
	u.incarnations = append(u.incarnations, u.current)
	u.register("ready")
}

// register writes the registration with a state; u.mu must be held.
func (u *upstream) register(state string) {
	u.state = state
	u.current.Register(u.store, state)
}

// registerAgain writes or removes the registration according to the last state.
func (u *upstream) registerAgain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.state == "" {
		u.current.Deregister(u.store)
		return
	}
	u.register(u.state)
}

// deregister removes the registration.
func (u *upstream) deregister() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = ""
	u.current.Deregister(u.store)
}

// latest returns the latest incarnation, which may be closed.
func (u *upstream) latest() *platform.Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current
}

// startDrain registers the upstream as draining. The returned function ends the
// drain.
func (u *upstream) startDrain() (end func()) {
	start := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.register("draining")
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.drains = append(u.drains, timeSpan{from: start, to: time.Now()})
		u.register("ready")
	}
}

// startLimit makes all responses announce a limit. The returned function ends it.
func (u *upstream) startLimit(perSecond float64) (end func()) {
	start := time.Now()
	u.latest().SetLimit(strconv.FormatFloat(perSecond, 'f', 2, 64))
	return func() {
		u.latest().SetLimit("")
		u.mu.Lock()
		defer u.mu.Unlock()
		u.limits = append(u.limits, limitSpan{timeSpan: timeSpan{from: start, to: time.Now()}, perSecond: perSecond})
	}
}

// startNotice records that responses begin to ask entries to back off.
// The returned function records the end.
func (u *upstream) startNotice(wait time.Duration) (end func()) {
	start := time.Now()
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.notices = append(u.notices, noticeSpan{timeSpan: timeSpan{from: start, to: time.Now()}, wait: wait})
	}
}

func (u *upstream) noticeSpans() []noticeSpan {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.notices
}

func (u *upstream) limitSpans() []limitSpan {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limits
}

// arrivals returns the requests that all incarnations received.
func (u *upstream) arrivals() []platform.Arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []platform.Arrival
	for _, incarnation := range u.incarnations {
		out = append(out, incarnation.Arrivals()...)
	}
	return out
}

func (u *upstream) close() {
	u.latest().Close()
	_ = u.linkListener.Close()
}

func (u *upstream) drainSpans() []timeSpan {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.drains
}
