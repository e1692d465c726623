package node

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"magnolialedge"
	"magnolialedge/core/acct"
	core "magnolialedge/core/mirror"
	"magnolialedge/core/pick"
	"magnolialedge/core/proc"
	"magnolialedge/io/conn"
	"magnolialedge/io/event"
	"magnolialedge/io/front"
	"magnolialedge/io/link"
	"magnolialedge/io/mirror"
	"magnolialedge/io/pause"
	"magnolialedge/io/serve"
)

// Config configures a Node.
type Config struct {
	Settings Settings
	// MetricsPort is the port that serves metrics and state dumps; 0 disables it.
	MetricsPort int
	Headers     magnolialedge.HeaderProtocol
	Decoder     magnolialedge.DiscoveryDecoder
	API         magnolialedge.EntryAPI
	// NewStore returns a client for the platform's store. The client calls count
	// with the name of each call.
	NewStore  func(address string, transport http.RoundTripper, count func(call string)) magnolialedge.Keyspace
	LogWriter io.Writer
	// Admission turns on admission control by priority also without client accounts.
	Admission bool
	// UpstreamDialer opens the connections to upstreams. If it is nil, they are opened
	// directly.
	UpstreamDialer link.Dialer
}

// Node is one entry: a load balancer process on the users' platform.
type Node struct {
	cfg       Config
	settings  Settings
	start     time.Time
	log       event.Logger
	logWriter *event.AsyncWriter
	registry  *prometheus.Registry
	memory    memory

	members      *members
	hearing      *hearing
	quotas       *quotaSharer
	evacuations  *evacuations
	credits      *credits
	follower     *mirror.Follower
	pool         *link.Pool
	forwarder    *serve.Forwarder
	callerServer *front.Server
	// helperPool holds connections to the entries to which requests are handed over, and
	// handedServer serves the requests that they hand over.
	helperPool   *link.Pool
	handedServer *front.Server
	refusals     peerLogLimiter
	store        magnolialedge.Keyspace
	peerClient   *http.Client
	isLeaving    atomic.Bool
	// isListed is set once the store lists this entry, and leaseID is the lease under
	// which it was last listed.
	isListed atomic.Bool
	leaseID  atomic.Int64
	// hasCommonStart is set once this entry knows that most entries started together with
	// it. Only applyChanges uses it.
	hasCommonStart bool

	listeners []net.Listener
	// acceptEnded is closed when no further caller connection is accepted and all
	// accepted ones are registered.
	acceptEnded chan struct{}
}

const (
	// callerFDRatio is the fraction of file descriptors that caller connections
	// may use; the rest is for upstreams, the store and peers.
	callerFDRatio = 0.5
	// handedFDRatio is the same for the requests that other entries hand over, each of
	// which needs a connection to that entry and one to an upstream.
	handedFDRatio = 0.1
	// crossZonePerKB and crossRegionPerKB are the wait that is considered as
	// costly as sending one kilobyte to another zone or region.
	// separateZonePerKB replaces crossZonePerKB in a zone that serves its own
	// callers, because it also has most of the upstreams that they need.
	crossZonePerKB    = 4 * time.Millisecond
	separateZonePerKB = 30 * time.Millisecond
	crossRegionPerKB  = 30 * time.Millisecond
	// storeDialTimeout limits opening a connection to the store. It is short
	// because the end of a network partition is noticed only when the next
	// connection is opened.
	storeDialTimeout = 300 * time.Millisecond
)

// New assembles an entry. It returns an error if the settings are invalid.
func New(cfg Config) (*Node, error) {
	if err := cfg.Settings.Check(); err != nil {
		return nil, err
	}
	s := cfg.Settings
	if s.MaxPropagation <= 0 {
		s.MaxPropagation = core.DefaultPropagation
	}
	n := &Node{cfg: cfg, settings: s, start: time.Now(), registry: prometheus.NewRegistry(), evacuations: newEvacuations(), memory: newMemory(s.MemoryMB)}
	n.logWriter = event.NewAsyncWriter(cfg.LogWriter)
	n.log = event.NewLogger(n.logWriter, s.Name)
	n.members = newMembers(n.self())
	n.quotas = &quotaSharer{members: n.members, regions: s.Regions, start: n.start}
	dialer := conn.NewDialer(conn.DialerConfig{})
	n.peerClient = &http.Client{Transport: dialer.Transport("")}
	n.hearing = newHearing(n.self(), s.MaxPropagation, &http.Client{Transport: hearingTransport(dialer)})
	n.members.silent, n.members.nameable = n.hearing.silent, n.hearing.nameable
	n.credits = newCredits(n.start, n.runID(), quotaBound(s), n.members.list, creditClient{client: n.peerClient, self: n.runID()}, newCreditMetrics(n.registry), n.log)
	n.pool = link.NewPool(link.PoolConfig{Dialer: upstreamDialer(cfg, dialer), Headers: cfg.Headers})
	n.helperPool = link.NewPool(link.PoolConfig{Dialer: n.newHandoverDialer(), Headers: cfg.Headers})
	n.forwarder = serve.NewForwarder(serve.Config{
		Name:                 s.Name,
		Helpers:              n.members.helpers,
		HelperPool:           n.helperPool,
		MaxHanded:            int(float64(s.MaxFDs) * handedFDRatio),
		OnIsolated:           n.members.setIsolated,
		AcceptsHandoversFrom: n.acceptsHandoversFrom,
		AskPeer:              n.askPeer,
		Fleet: pick.NewFleet(pick.Config{
			Zone:          s.Zone,
			Regions:       s.Regions,
			TransferCosts: pick.TransferCosts{CrossZonePerKB: crossZonePerKB, CrossRegionPerKB: crossRegionPerKB},
			Conns:         n.pool,
			Quotas:        n.quotas,
			ColdQuotas:    newColdSharer(n.quotas),
			ColdOverage:   s.ColdOverage,
			Seed:          uint64(n.start.UnixNano()),
		}),
		Pool:          n.pool,
		Headers:       cfg.Headers,
		Metrics:       serve.NewMetrics(n.registry),
		Log:           n.log,
		Retries:       proc.RetryLimits{Ratio: s.RetryRatio, Extra: s.RetryExtra},
		Probes:        proc.ProbeLimits{PerUpstreamPerSecond: s.MaxProbesPerSec},
		ReportCrash:   n.broadcastCrash,
		ReportLimit:   n.reportLimit,
		ReportCold:    n.reportCold,
		MayLackRoutes: n.mayLackRoutes,

		ResponseMemory: n.memory.responses,
		Quotas:         n.credits,
		Admission:      cfg.Admission,
	})
	n.callerServer = front.NewServer(front.Config{
		Handler:    n.forwarder,
		Log:        n.log,
		MaxConns:   int(float64(s.MaxFDs) * callerFDRatio),
		BodyMemory: n.memory.bodies,
	})
	n.handedServer = front.NewServer(front.Config{
		Handler:    n.forwarder.HandedRequests(),
		Log:        n.log,
		BodyMemory: n.memory.handed,
	})
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "magnolialedge", Name: "store_calls_total", Help: "Calls to the platform's store.",
	}, []string{"call"})
	n.registry.MustRegister(calls)
	n.store = cfg.NewStore(s.StoreAddress, conn.NewDialer(conn.DialerConfig{Timeout: storeDialTimeout}).Transport(""), func(call string) { calls.WithLabelValues(call).Inc() })
	n.follower = mirror.NewFollower(mirror.Config{
		Store:            n.store,
		OnChange:         n.applyChanges,
		Generation:       n.generation,
		OnRestored:       n.members.applyRestored,
		Sources:          n.members.sources,
		SpareSources:     n.members.spareSources,
		MayWatch:         n.members.mayWatch,
		BackupPeers:      n.members.backupPeers,
		ProbeStore:       n.probeStore,
		Dialer:           peerDialer{client: n.peerClient},
		OnFirstPage:      n.members.setHints,
		SourceTimeout:    n.sourceTimeout,
		Seeds:            n.seeds(),
		Timing:           core.TimingFor(s.MaxPropagation),
		Name:             s.Name,
		Unreachable:      n.hearing.silentNames,
		OnSubscriberLost: n.subscriberLost,
		OnSourceLost:     n.sourceLost,
		Log:              n.log,
	})
	n.registerGauges()
	return n, nil
}

// mayLackRoutes reports whether this entry has not known for longer than a change may take
// that its items are up to date.
func (n *Node) mayLackRoutes() bool {
	return n.follower.Staleness(time.Now()) > n.settings.MaxPropagation
}

func upstreamDialer(cfg Config, direct link.Dialer) link.Dialer {
	if cfg.UpstreamDialer != nil {
		return cfg.UpstreamDialer
	}
	return direct
}

// transferCosts returns how traffic is weighed against latency, given the present
// members.
func (n *Node) transferCosts() pick.TransferCosts {
	c := pick.TransferCosts{CrossZonePerKB: crossZonePerKB, CrossRegionPerKB: crossRegionPerKB}
	place := proc.Place{Region: n.settings.Region, Zone: n.settings.Zone}
	if place.HasOwnEntries(n.members.list()) {
		c.CrossZonePerKB = separateZonePerKB
	}
	return c
}

// seeds returns the seed peers of the settings without this entry.
func (n *Node) seeds() []string {
	return slices.DeleteFunc(slices.Clone(n.settings.SeedPeers), func(a string) bool { return a == n.self().PeerAddress })
}

func (n *Node) self() magnolialedge.Instance {
	return magnolialedge.Instance{
		Name:          n.settings.Name,
		Region:        n.settings.Region,
		Zone:          n.settings.Zone,
		CallerAddress: n.settings.CallerAddress,
		PeerAddress:   cmp.Or(n.settings.PeerAddress, net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.FirstPort))),
		StartedAt:     n.start.UnixMilli(),
		CapacityMbps:  n.settings.LinkMbps,
		Protocol:      magnolialedge.PeerProtocol,
	}
}

// runID identifies this run of the entry.
func (n *Node) runID() acct.Run {
	return acct.Run{Name: n.settings.Name, StartedAt: n.start.UnixMilli()}
}

// Run serves until ctx is done, then drains the requests in flight for no longer
// than StopTimeout and returns. Settings received from reload replace the current
// ones. Run returns an error if it cannot listen on an address.
func (n *Node) Run(ctx context.Context, reload <-chan Reload) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := n.listen(); err != nil {
		return err
	}
	n.log.Log(event.Started, "callers", n.settings.CallerAddress, "directory", n.settings.DirectoryAddress, "zone", n.settings.Zone, "region", n.settings.Region)
	go n.pool.Run(workCtx)
	go n.helperPool.Run(workCtx)
	defer n.forwarder.Close()
	go n.follower.Run(workCtx)
	go n.credits.run(workCtx)
	announced := make(chan struct{})
	announceCtx, stopAnnouncing := context.WithCancel(workCtx)
	go func() {
		defer close(announced)
		n.announce(announceCtx)
	}()
	go n.reportReady(workCtx)
	go n.reportDroppedLines(workCtx)
	go n.reportShortages(workCtx)
	go n.runHearing(workCtx)
	go n.adoptQuarantined(workCtx)
	go n.reportSteering(workCtx)
	defer n.logWriter.Close()
	for {
		select {
		case r := <-reload:
			n.reload(r)
		case <-ctx.Done():
			n.stop(workCtx)
			stopAnnouncing()
			<-announced
			n.log.Log(event.Stopped, "inFlight", n.inFlight())
			return nil
		}
	}
}

// Reload is the result of reading the settings again.
type Reload struct {
	Settings Settings
	// Err is the reason why the settings could not be read.
	Err error
}

// reload applies new settings. Only StopTimeout can change at run time; the
// listen addresses stay as they were at the start.
func (n *Node) reload(r Reload) {
	err := r.Err
	if err == nil {
		err = r.Settings.Check()
	}
	if err != nil {
		n.log.Log(event.SettingsRejected, "err", err)
		return
	}
	n.log.Log(event.SettingsReloaded, "stopLimit", r.Settings.StopTimeout)
	n.settings.StopTimeout = r.Settings.StopTimeout
}

func (n *Node) listen() error {
	s := n.settings
	callerListener, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	n.listeners = append(n.listeners, callerListener)
	n.acceptEnded = make(chan struct{})
	go func() {
		defer close(n.acceptEnded)
		_ = n.callerServer.Serve(callerListener)
	}()
	handlers := map[string]http.Handler{
		s.ReadyAddress:       n.cfg.API.ReadyHandler(n.isReady),
		s.DirectoryAddress:   n.cfg.API.ResolveHandler(n.resolve),
		n.self().PeerAddress: n.peerHandler(),
	}
	if n.cfg.MetricsPort > 0 {
		handlers[net.JoinHostPort(s.IP, strconv.Itoa(n.cfg.MetricsPort))] = n.metricsHandler()
	}
	for address, handler := range handlers {
		listener, err := conn.Listen(address, peerUserTimeout)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		n.listeners = append(n.listeners, listener)
		srv := &http.Server{Handler: handler, ReadHeaderTimeout: internalHeaderTimeout, IdleTimeout: internalIdleTimeout}
		go func() { _ = srv.Serve(listener) }()
	}
	return nil
}

const (
	// peerUserTimeout is how long written bytes may stay unacknowledged on the
	// connections of all listeners except the one for callers. It limits how long
	// an entry that lost its power keeps its subscription.
	peerUserTimeout = 1200 * time.Millisecond
	// internalHeaderTimeout and internalIdleTimeout limit the connections of all
	// listeners except the one for callers.
	internalHeaderTimeout = 3 * time.Second
	internalIdleTimeout   = 20 * time.Second
	// readyPollInterval is the time between two checks whether the entry is
	// ready.
	readyPollInterval = 10 * time.Millisecond
)

// isReady reports whether the entry has routes and is not leaving.
func (n *Node) isReady() bool {
	return n.forwarder.IsReady() && !n.isLeaving.Load()
}

// reportReady logs when the entry is ready, and notifies the other entries if the
// store does not list it in time.
func (n *Node) reportReady(ctx context.Context) {
	for ctx.Err() == nil && !n.isReady() {
		pause.Sleep(ctx, readyPollInterval)
	}
	n.log.Log(event.Ready, "version", n.forwarder.Version(), "afterMs", time.Since(n.start).Milliseconds())
	pause.Sleep(ctx, listingGracePeriod)
	if !n.isListed.Load() {
		n.broadcastSelf()
	}
}

// listingGracePeriod is how long a new entry waits for the store to list it,
// which notifies all others, before it notifies them itself.
const listingGracePeriod = 500 * time.Millisecond

// droppedReportInterval is the time between two checks for dropped log lines.
const droppedReportInterval = time.Second

func (n *Node) reportDroppedLines(ctx context.Context) {
	for ctx.Err() == nil {
		pause.Sleep(ctx, droppedReportInterval)
		if lines := n.logWriter.TakeDropped(); lines > 0 {
			n.log.Log(event.LinesDropped, "lines", lines, "sinceStart", n.logWriter.TotalDropped())
		}
	}
}
