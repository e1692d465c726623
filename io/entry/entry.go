package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"magnolialedge"
	core "magnolialedge/core/proc"
	"magnolialedge/io/call"
	"magnolialedge/io/conn"
	"magnolialedge/io/event"
	"magnolialedge/io/pause"
	"magnolialedge/io/peer"
	"magnolialedge/io/plat"
	"magnolialedge/io/proc"
	"magnolialedge/io/vers"
)

// Entry is one entry instance.
type Entry struct {
	settings Settings
	self     magnolialedge.Instance
	start    time.Time
	log      event.Logger
	registry *prometheus.Registry

	fleet      *proc.Fleet
	keys       *proc.KeyTable
	quarantine *proc.Quarantine
	pool       *conn.Pool
	clients    *peer.Clients
	platform   *plat.Client
	claims     *call.ClaimStore
	server     *call.Server
	keeper     *vers.Syncer
	heirs      *heirs
	teller     *teller
	operators  http.Handler

	listeners [3]net.Listener
	servers   [3]*http.Server
	cancel    context.CancelFunc
	leaving   leaveFlag
}

// Places of the listeners in an Entry.
const (
	forCallers = iota
	forPeers
	forOperators
)

// New listens on the entry's addresses and puts its parts together.
func New(s Settings, logTo io.Writer) (*Entry, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	e := &Entry{settings: s, start: time.Now(), log: event.NewLogger(logTo, s.Name), registry: prometheus.NewRegistry()}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.self = magnolialedge.Instance{
		Name:          s.Name,
		Region:        s.Region,
		Zone:          s.Zone,
		CallerAddress: e.listeners[forCallers].Addr().String(),
		PeerAddress:   e.listeners[forPeers].Addr().String(),
		StartedAt:     e.start.UnixMilli(),
	}
	e.build()
	var err error
	if e.operators, err = e.opsHandler(); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Entry) listen() error {
	for i, address := range []string{e.settings.CallerAddress, e.settings.PeerAddress, e.settings.OperatorAddress} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range e.listeners[:i] {
				_ = open.Close()
			}
			return errors.Wrap(err, "listen")
		}
		e.listeners[i] = l
	}
	return nil
}

func (e *Entry) build() {
	s := e.settings
	seed := s.Seed
	if seed == 0 {
		seed = uint64(e.start.UnixNano())
	}
	dialer := conn.NewDialer(conn.DialerConfig{Gateways: s.Gateways})
	e.pool = conn.NewPool(conn.PoolConfig{
		Dialer:    dialer,
		OnConnect: func(address string, trip time.Duration) { e.fleet.SetRTT(address, trip) },
	})
	e.fleet = proc.NewFleet(proc.FleetConfig{Name: s.Name, Region: s.Region, Seed: seed, Naive: s.Naive, OnReload: e.pool.Retain})
	e.keys = proc.NewKeyTable(core.KeyTableConfig{Peer: e.self.PeerAddress, Start: e.start, Capacity: s.KeyCapacity})
	e.quarantine = proc.NewQuarantine()
	e.clients = peer.NewClients(peer.ClientsConfig{Dialer: dialer, Secret: s.Secret})
	e.heirs = newHeirs()
	e.platform = plat.NewClient(plat.ClientConfig{Address: s.PlatformAddress, Transport: dialer.Transport(s.PlatformRegion)})
	e.claims = call.NewClaimStore(call.ClaimStoreConfig{Store: e.platform, CallsPerSecond: s.StoreCallsPerSecond})
	e.keeper = vers.NewSyncer(vers.SyncerConfig{Self: e.self, Store: e.platform, Clients: e.clients, Fleet: e.fleet, Log: e.log})
	e.teller = newTeller(e)
	e.server = call.NewServer(call.ServerConfig{
		CallerAddress: e.self.CallerAddress,
		PeerAddress:   e.self.PeerAddress,
		Fleet:         e.fleet,
		Keys:          e.keys,
		Quarantine:    e.quarantine,
		Pool:          e.pool,
		FenceClient:   call.NewFenceClient(call.FenceClientConfig{Clients: e.clients, RegionOf: e.regionOf, PeerOf: e.fleet.PeerOf, SuccessorOf: e.heirOf}),
		Claims:        e.claims,
		Metrics:       call.NewMetrics(e.registry),
		Log:           e.log,
		NotifyPeers:   e.teller.tell,
		MaxInFlight:   s.MaxInFlight,
	})
	e.registerGauges()
}

// regionOf returns the region of a peer address; peers that are listed no more
// are sought in this region.
func (e *Entry) regionOf(address string) string {
	for _, in := range e.fleet.Instances() {
		if in.PeerAddress == address {
			return in.Region
		}
	}
	return e.settings.Region
}

// heirOf returns the peer that answers for a peer address.
func (e *Entry) heirOf(address string) string {
	return e.heirs.of(address, e.startedAt)
}

// startedAt returns the start of the listed entry at a peer address, or the zero
// time.
func (e *Entry) startedAt(address string) time.Time {
	for _, in := range e.fleet.Instances() {
		if in.PeerAddress == address && !in.Leaving {
			return time.UnixMilli(in.StartedAt)
		}
	}
	return time.Time{}
}

// Self returns this entry as the platform's list shows it.
func (e *Entry) Self() magnolialedge.Instance {
	return e.self
}

// OperatorAddress returns the address of the operators' listener.
func (e *Entry) OperatorAddress() string {
	return e.listeners[forOperators].Addr().String()
}

// Run serves until ctx is done, and then stops without cutting a request.
func (e *Entry) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e.cancel = cancel
	defer cancel()
	e.serve()
	e.log.Log(event.Started, "callers", e.self.CallerAddress, "peers", e.self.PeerAddress, "operators", e.OperatorAddress())
	go e.listLoop(work)
	go e.announceLoop(work)
	go func() {
		e.teller.recall(work)
		e.keeper.Run(work)
	}()
	go e.tellReady(work)
	<-ctx.Done()
	return e.stop(work)
}

const (
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 10 * time.Second
	// callerIdle is how long an idle connection of a caller is kept.
	callerIdle = 90 * time.Second
	// mostHeaderBytes bounds a request's head.
	mostHeaderBytes = 64 << 10
)

func (e *Entry) serve() {
	handlers := []http.Handler{e.server.Handler(), e.peerHandler(), e.operators}
	for i, h := range handlers {
		e.servers[i] = &http.Server{
			Handler:           h,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       callerIdle,
			MaxHeaderBytes:    mostHeaderBytes,
			ErrorLog:          discardLog,
		}
		if i == forCallers {
			conn.RecordHeads(e.servers[i])
			e.listeners[i] = conn.HeadListener{Listener: e.listeners[i]}
		}
		go func() { _ = e.servers[i].Serve(e.listeners[i]) }()
	}
}

const (
	// listEvery is the time between two readings of the list of instances.
	listEvery = time.Second
	// announceEvery is the time between two announcements.
	announceEvery = time.Second
)

func (e *Entry) listLoop(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		list, err := e.platform.Instances(ctx)
		if err != nil && !failed {
			e.log.Log(event.ListUnreachable, "err", err)
		}
		failed = err != nil
		if err == nil {
			e.fleet.SetInstances(list)
			e.clients.Retain(list)
		}
		pause.Sleep(ctx, listEvery)
	}
}

func (e *Entry) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		in := e.self
		in.Leaving = e.leaving.is()
		_ = e.platform.Announce(ctx, in)
		pause.Sleep(ctx, announceEvery)
	}
}

func (e *Entry) tellReady(ctx context.Context) {
	for ctx.Err() == nil && !e.ready() {
		pause.Sleep(ctx, 10*time.Millisecond)
	}
	e.log.Log(event.Ready, "revision", e.keeper.Version().Revision)
}

func (e *Entry) ready() bool {
	return e.fleet.Version() != nil && !e.leaving.is()
}
