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

// Entry is one entry instance: one running load balancer process.
type Entry struct {
	settings  Settings
	self      magnolialedge.Instance
	startTime time.Time
	log       event.Logger
	registry  *prometheus.Registry

	fleet      *proc.Fleet
	keys       *proc.KeyTable
	quarantine *proc.Quarantine
	pool       *conn.Pool
	clients    *peer.Clients
	platform   *plat.Client
	claims     *call.ClaimStore
	server     *call.Server
	syncer     *vers.Syncer
	successors *successors
	notifier   *notifier
	operators  http.Handler

	listeners [3]net.Listener
	servers   [3]*http.Server
	cancel    context.CancelFunc
	leaving   leaveFlag
}

// Indexes of an Entry's listeners and servers.
const (
	callerListener = iota
	peerListener
	operatorListener
)

// New opens the entry's listeners and creates its components. It returns an error if the
// settings are invalid or an address cannot be listened on. Logs are written to logWriter.
func New(s Settings, logWriter io.Writer) (*Entry, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	e := &Entry{settings: s, startTime: time.Now(), log: event.NewLogger(logWriter, s.Name), registry: prometheus.NewRegistry()}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.self = magnolialedge.Instance{
		Name:          s.Name,
		Region:        s.Region,
		Zone:          s.Zone,
		CallerAddress: e.listeners[callerListener].Addr().String(),
		PeerAddress:   e.listeners[peerListener].Addr().String(),
		StartedAt:     e.startTime.UnixMilli(),
	}
	e.buildComponents()
	var err error
	if e.operators, err = e.operatorHandler(); err != nil {
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

func (e *Entry) buildComponents() {
	s := e.settings
	seed := s.Seed
	if seed == 0 {
		seed = uint64(e.startTime.UnixNano())
	}
	dialer := conn.NewDialer(conn.DialerConfig{Gateways: s.Gateways})
	e.pool = conn.NewPool(conn.PoolConfig{
		Dialer:    dialer,
		OnConnect: func(address string, dialTime time.Duration) { e.fleet.RecordRoundTrip(address, dialTime) },
	})
	e.fleet = proc.NewFleet(proc.FleetConfig{Name: s.Name, Region: s.Region, Seed: seed, Naive: s.Naive, OnReload: e.pool.Retain})
	e.keys = proc.NewKeyTable(core.KeyTableConfig{Peer: e.self.PeerAddress, Start: e.startTime, Capacity: s.KeyCapacity})
	e.quarantine = proc.NewQuarantine()
	e.clients = peer.NewClients(peer.ClientsConfig{Dialer: dialer, Secret: s.Secret})
	e.successors = newSuccessors()
	e.platform = plat.NewClient(plat.ClientConfig{Address: s.PlatformAddress, Transport: dialer.Transport(s.PlatformRegion)})
	e.claims = call.NewClaimStore(call.ClaimStoreConfig{Store: e.platform, CallsPerSecond: s.StoreCallsPerSecond})
	e.syncer = vers.NewSyncer(vers.SyncerConfig{Self: e.self, Store: e.platform, Clients: e.clients, Fleet: e.fleet, Log: e.log})
	e.notifier = newNotifier(e)
	e.server = call.NewServer(call.ServerConfig{
		CallerAddress: e.self.CallerAddress,
		PeerAddress:   e.self.PeerAddress,
		Fleet:         e.fleet,
		Keys:          e.keys,
		Quarantine:    e.quarantine,
		Pool:          e.pool,
		FenceClient:   call.NewFenceClient(call.FenceClientConfig{Clients: e.clients, RegionOf: e.regionOf, PeerOf: e.fleet.PeerOf, SuccessorOf: e.successorOf}),
		Claims:        e.claims,
		Metrics:       call.NewMetrics(e.registry),
		Log:           e.log,
		NotifyPeers:   e.notifier.notify,
		MaxInFlight:   s.MaxInFlight,
	})
	e.registerGauges()
}

// regionOf returns the region of the peer at address. For a peer that is no longer listed,
// it returns this entry's region.
func (e *Entry) regionOf(address string) string {
	for _, in := range e.fleet.Instances() {
		if in.PeerAddress == address {
			return in.Region
		}
	}
	return e.settings.Region
}

// successorOf returns the address of the peer that holds the keys of the peer at address,
// which is address itself unless that peer has stopped.
func (e *Entry) successorOf(address string) string {
	return e.successors.resolve(address, e.peerStartedAt)
}

// peerStartedAt returns the start time of the entry that is listed at a peer address, or the
// zero time if none is listed there or the entry is leaving.
func (e *Entry) peerStartedAt(address string) time.Time {
	for _, in := range e.fleet.Instances() {
		if in.PeerAddress == address && !in.Leaving {
			return time.UnixMilli(in.StartedAt)
		}
	}
	return time.Time{}
}

// Self returns this entry as the platform's list of instances shows it.
func (e *Entry) Self() magnolialedge.Instance {
	return e.self
}

// OperatorAddress returns the address of the operator listener.
func (e *Entry) OperatorAddress() string {
	return e.listeners[operatorListener].Addr().String()
}

// Run serves until ctx is done, and then drains and stops. It returns an error if requests
// were still in flight when the stop timeout expired.
func (e *Entry) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e.cancel = cancel
	defer cancel()
	e.serve()
	e.log.Log(event.Started, "callers", e.self.CallerAddress, "peers", e.self.PeerAddress, "operators", e.OperatorAddress())
	go e.listLoop(runCtx)
	go e.announceLoop(runCtx)
	go func() {
		e.notifier.fetchDrains(runCtx)
		e.syncer.Run(runCtx)
	}()
	go e.logWhenReady(runCtx)
	<-ctx.Done()
	return e.stop(runCtx)
}

const (
	// readHeaderTimeout limits the time to read the head of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long idle keep-alive connections are kept open.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes limits the size of a request's head.
	maxHeaderBytes = 64 << 10
)

func (e *Entry) serve() {
	handlers := []http.Handler{e.server.Handler(), e.peerHandler(), e.operators}
	for i, h := range handlers {
		e.servers[i] = &http.Server{
			Handler:           h,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          discardLog,
		}
		if i == callerListener {
			conn.RecordHeads(e.servers[i])
			e.listeners[i] = conn.HeadListener{Listener: e.listeners[i]}
		}
		go func() { _ = e.servers[i].Serve(e.listeners[i]) }()
	}
}

const (
	// listInterval is the time between two reads of the list of instances.
	listInterval = time.Second
	// announceInterval is the time between two announcements to the platform.
	announceInterval = time.Second
)

func (e *Entry) listLoop(ctx context.Context) {
	isUnreachable := false
	for ctx.Err() == nil {
		list, err := e.platform.Instances(ctx)
		if err != nil && !isUnreachable {
			e.log.Log(event.ListUnreachable, "err", err)
		}
		isUnreachable = err != nil
		if err == nil {
			e.fleet.SetInstances(list)
			e.clients.Retain(list)
		}
		pause.Sleep(ctx, listInterval)
	}
}

func (e *Entry) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		in := e.self
		in.Leaving = e.leaving.isSet()
		_ = e.platform.Announce(ctx, in)
		pause.Sleep(ctx, announceInterval)
	}
}

func (e *Entry) logWhenReady(ctx context.Context) {
	for ctx.Err() == nil && !e.isReady() {
		pause.Sleep(ctx, 10*time.Millisecond)
	}
	e.log.Log(event.Ready, "revision", e.syncer.Version().Revision)
}

func (e *Entry) isReady() bool {
	return e.fleet.Version() != nil && !e.leaving.isSet()
}
