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

// Config constructs a Node.
type Config struct {
	Settings Settings
	// MetricsPort is the port of metrics and dumps.
	MetricsPort int
	Dialect     magnolialedge.HeaderProtocol
	Decoder     magnolialedge.DiscoveryDecoder
	Surface     magnolialedge.EntryAPI
	// NewStore returns the client of the platform's store.
	NewStore  func(address string, transport *http.Transport, count func(call string)) magnolialedge.Keyspace
	LogWriter io.Writer
}

// Node is one entry instance.
type Node struct {
	cfg      Config
	settings Settings
	start    time.Time
	log      event.Logger
	backlog  *event.AsyncWriter
	registry *prometheus.Registry

	members   *members
	follower  *mirror.Follower
	pool      *link.Pool
	forwarder *serve.Forwarder
	callers   *front.Server
	store     magnolialedge.Keyspace
	peers     *http.Client
	leaving   atomic.Bool
	// listed tells that the store has taken this entry's listing.
	listed atomic.Bool

	listeners []net.Listener
}

const (
	// callersFiles is the part of the descriptors that connections of callers
	// may take; the others are for upstreams, the store and peers.
	callersFiles = 0.5
	// bodiesMemory is the part of the memory that the bodies of requests may
	// take. While one is read up to twice its size is in use.
	bodiesMemory = 0.2
	// crossZonePerKB and crossRegionPerKB are the waits that are worth one
	// kilobyte over such links.
	crossZonePerKB   = 4 * time.Millisecond
	crossRegionPerKB = 30 * time.Millisecond
	// storeDialTimeout bounds the opening of a connection to the store. It is
	// short because a cut that has healed is noticed by the next opening only.
	storeDialTimeout = 300 * time.Millisecond
)

// New puts an instance together.
func New(cfg Config) (*Node, error) {
	if err := cfg.Settings.Check(); err != nil {
		return nil, err
	}
	s := cfg.Settings
	n := &Node{cfg: cfg, settings: s, start: time.Now(), registry: prometheus.NewRegistry()}
	n.backlog = event.NewAsyncWriter(cfg.LogWriter)
	n.log = event.NewLogger(n.backlog, s.Name)
	dialer := conn.NewDialer(conn.DialerConfig{})
	n.pool = link.NewPool(link.PoolConfig{Dialer: dialer, Dialect: cfg.Dialect})
	n.forwarder = serve.NewForwarder(serve.Config{
		Fleet: pick.NewFleet(pick.Config{
			Zone:          s.Zone,
			Regions:       s.Regions,
			TransferCosts: pick.TransferCosts{CrossZonePerKB: crossZonePerKB, CrossRegionPerKB: crossRegionPerKB},
			Seed:          uint64(n.start.UnixNano()),
		}),
		Pool:        n.pool,
		Dialect:     cfg.Dialect,
		Metrics:     serve.NewMetrics(n.registry),
		Log:         n.log,
		Retries:     proc.RetryLimits{Ratio: s.RetryRatio, Extra: s.RetryExtra},
		Probes:      proc.ProbeLimits{PerUpstreamPerSecond: s.MaxProbesPerSec},
		ReportCrash: n.tellLost,
	})
	n.callers = front.NewServer(front.Config{
		Handler:            n.forwarder,
		Log:                n.log,
		MaxConns:           int(float64(s.MaxFDs) * callersFiles),
		MaxBodyMemoryBytes: int64(float64(s.MemoryMB) * (1 << 20) * bodiesMemory),
	})
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "magnolialedge", Name: "store_calls_total", Help: "Calls to the platform's store.",
	}, []string{"call"})
	n.registry.MustRegister(calls)
	n.store = cfg.NewStore(s.StoreAddr, conn.NewDialer(conn.DialerConfig{Timeout: storeDialTimeout}).Transport(""), func(call string) { calls.WithLabelValues(call).Inc() })
	n.peers = &http.Client{Transport: dialer.Transport("")}
	n.members = newMembers(n.self())
	n.follower = mirror.NewFollower(mirror.Config{
		Store:            n.store,
		OnChange:         n.take,
		Sources:          n.members.sources,
		FallbackPeers:    n.members.others,
		Dialer:           peerStreams{client: n.peers},
		OnFirstPage:      n.members.hint,
		SourceTimeout:    n.patience,
		Seeds:            n.seeds(),
		Name:             s.Name,
		OnSubscriberLost: n.readerLost,
		OnSourceLost:     n.sourceLost,
		Log:              n.log,
	})
	return n, nil
}

// seeds returns the entries known from the settings, without this one.
func (n *Node) seeds() []string {
	return slices.DeleteFunc(slices.Clone(n.settings.SeedPeers), func(a string) bool { return a == n.self().PeerAddress })
}

func (n *Node) self() magnolialedge.Instance {
	return magnolialedge.Instance{
		Name:          n.settings.Name,
		Region:        n.settings.Region,
		Zone:          n.settings.Zone,
		CallerAddress: n.settings.CallerAddr,
		PeerAddress:   cmp.Or(n.settings.PeerAddr, net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.FirstPort))),
		StartedAt:     n.start.UnixMilli(),
		Leaving:       n.leaving.Load(),
		CapacityMbps:  n.settings.LinkMbps,
	}
}

// Run serves until ctx is done, and then stops without cutting a request.
// Settings that come in reload replace those in force.
func (n *Node) Run(ctx context.Context, reload <-chan Reload) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := n.listen(); err != nil {
		return err
	}
	n.log.Log(event.Started, "callers", n.settings.CallerAddr, "directory", n.settings.DirectoryAddr, "zone", n.settings.Zone, "region", n.settings.Region)
	go n.pool.Run(work)
	go n.follower.Run(work)
	announced := make(chan struct{})
	announce, endAnnounce := context.WithCancel(work)
	go func() {
		defer close(announced)
		n.announce(announce)
	}()
	go n.tellReady(work)
	go n.tellDropped(work)
	defer n.backlog.Close()
	for {
		select {
		case r := <-reload:
			n.reload(r)
		case <-ctx.Done():
			n.stop(work)
			endAnnounce()
			<-announced
			n.log.Log(event.Stopped, "inFlight", n.callers.InFlight())
			return nil
		}
	}
}

// Reload is what a new reading of the settings gave.
type Reload struct {
	Settings Settings
	// Err tells why they could not be read.
	Err error
}

// reload takes over new settings. Addresses are those of the start.
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
	callers, err := net.Listen("tcp", s.CallerAddr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	n.listeners = append(n.listeners, callers)
	go func() { _ = n.callers.Serve(callers) }()
	handlers := map[string]http.Handler{
		s.ReadyAddr:          n.cfg.Surface.ReadyHandler(n.isReady),
		s.DirectoryAddr:      n.cfg.Surface.ResolveHandler(n.resolve),
		n.self().PeerAddress: n.peerHandler(),
	}
	if n.cfg.MetricsPort > 0 {
		handlers[net.JoinHostPort(s.IP, strconv.Itoa(n.cfg.MetricsPort))] = n.metricsHandler()
	}
	for address, h := range handlers {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		n.listeners = append(n.listeners, l)
		srv := &http.Server{Handler: h, ReadHeaderTimeout: innerHeaderTimeout, IdleTimeout: innerIdleTimeout}
		go func() { _ = srv.Serve(l) }()
	}
	return nil
}

const (
	// innerHeaderTimeout and innerIdleTimeout bound the connections of the
	// other listeners.
	innerHeaderTimeout = 3 * time.Second
	innerIdleTimeout   = 20 * time.Second
	// readyPoll is the time between two looks whether the entry is ready.
	readyPoll = 10 * time.Millisecond
)

func (n *Node) isReady() bool {
	return n.forwarder.IsReady() && !n.leaving.Load()
}

func (n *Node) tellReady(ctx context.Context) {
	for ctx.Err() == nil && !n.isReady() {
		pause.Sleep(ctx, readyPoll)
	}
	n.log.Log(event.Ready, "version", n.forwarder.Version(), "afterMs", time.Since(n.start).Milliseconds())
	pause.Sleep(ctx, listingTime)
	if !n.listed.Load() {
		n.tellMember()
	}
}

// listingTime is how long a new entry waits to be listed in the store, which
// tells all others, before it tells them itself.
const listingTime = 500 * time.Millisecond

// droppedEvery is the time between two lines that tell how many were left out.
const droppedEvery = time.Second

func (n *Node) tellDropped(ctx context.Context) {
	for ctx.Err() == nil {
		pause.Sleep(ctx, droppedEvery)
		if lines := n.backlog.TakeDropped(); lines > 0 {
			n.log.Log(event.LinesDropped, "lines", lines, "sinceStart", n.backlog.TotalDropped())
		}
	}
}
