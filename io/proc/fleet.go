package proc

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnolialedge"
	"magnolialedge/core/call"
	"magnolialedge/core/proc"
	"magnolialedge/io/conn"
)

// FleetConfig constructs a Fleet.
type FleetConfig struct {
	Name   string
	Region string
	Seed   uint64
	Naive  bool
	// OnReload is called with the addresses in use after each change.
	OnReload func(addresses map[string]bool)
}

// Fleet holds the services of the version in force and the list of instances.
type Fleet struct {
	cfg       FleetConfig
	version   atomic.Pointer[magnolialedge.DocumentVersion]
	services  atomic.Pointer[map[string]*Service]
	instances atomic.Pointer[[]magnolialedge.Instance]
	since     atomic.Int64
	// mu orders changes of version; it isn't taken by requests.
	mu sync.Mutex
	// ledgerMu guards ledger.
	ledgerMu sync.Mutex
	ledger   *proc.MeasuringBudget
	// peers maps the callers' address of each entry seen of late to its peer
	// address; it is guarded by mu.
	peers map[string]knownPeer
	// left holds the starts of peers that said that they leave; it is guarded
	// by mu.
	left map[string]leftPeer
	// drained is applied to the first version; it is guarded by mu.
	drained []drainedTarget
}

// drainedTarget is a target that drained before this entry had a version.
type drainedTarget struct {
	service, address string
}

type leftPeer struct {
	startedAt int64
	told      time.Time
}

type knownPeer struct {
	address string
	seen    time.Time
}

// NewFleet returns a Fleet that has no version yet.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{cfg: cfg, peers: map[string]knownPeer{}, left: map[string]leftPeer{}, ledger: proc.NewMeasuringBudget(magnolialedge.Document{}, cfg.Region)}
	f.services.Store(&map[string]*Service{})
	f.instances.Store(&[]magnolialedge.Instance{})
	return f
}

// Version returns the version in force, or nil before the first.
func (f *Fleet) Version() *magnolialedge.DocumentVersion {
	return f.version.Load()
}

// AppliedAt returns when the version in force came into force here.
func (f *Fleet) AppliedAt() time.Time {
	return time.UnixMilli(f.since.Load())
}

// Service returns the service called name.
func (f *Fleet) Service(name string) (*Service, bool) {
	s, ok := (*f.services.Load())[name]
	return s, ok
}

// Region returns the region of this entry.
func (f *Fleet) Region() string {
	return f.cfg.Region
}

// Apply puts a version in force.
func (f *Fleet) Apply(v magnolialedge.DocumentVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	first := f.version.Load() == nil
	old := *f.services.Load()
	next := make(map[string]*Service, len(v.Document.Services))
	addresses := map[string]bool{}
	entries := totalEntries(v.Document)
	for _, sc := range v.Document.Services {
		next[sc.Name] = f.service(old[sc.Name], v.Document, sc, entries, first, now)
		for _, t := range sc.Targets {
			addresses[t.Address] = true
		}
	}
	f.ledgerMu.Lock()
	f.ledger = f.ledger.WithDocument(v.Document, now)
	f.ledgerMu.Unlock()
	f.services.Store(&next)
	f.since.Store(now.UnixMilli())
	f.version.Store(&v)
	f.reshare()
	if f.cfg.OnReload != nil {
		f.cfg.OnReload(addresses)
	}
}

func totalEntries(doc magnolialedge.Document) int {
	n := 0
	for _, r := range doc.Regions {
		n += r.MaxEntries
	}
	return max(1, n)
}

func (f *Fleet) service(s *Service, doc magnolialedge.Document, sc magnolialedge.Service, entries int, first bool, now time.Time) *Service {
	cfg := proc.ServiceConfig{
		BalancerConfig: proc.BalancerConfig{
			Document: doc,
			Service:  sc,
			Region:   f.cfg.Region,
			Seed:     f.cfg.Seed ^ xxhash.Sum64String(sc.Name),
			Now:      now,
		},
		Naive: f.cfg.Naive,
	}
	view := serviceView{config: sc, dests: destinations(doc, sc, entries)}
	if s != nil {
		s.change(func(old *proc.Service) *proc.Service { return old.WithVersion(cfg) }, view)
		return s
	}
	fresh := &Service{core: proc.NewService(cfg), view: view}
	if first {
		fresh.core.SkipWarmUp()
		f.applyDrained(fresh.core, sc.Name, now)
	}
	return fresh
}

// MarkDrainingAtStart makes a target start as draining, on the word of a peer.
func (f *Fleet) MarkDrainingAtStart(service, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained = append(f.drained, drainedTarget{service: service, address: address})
}

func (f *Fleet) applyDrained(s *proc.Service, name string, now time.Time) {
	for _, d := range f.drained {
		if d.service == name {
			s.MarkDraining(now, d.address)
		}
	}
}

func destinations(doc magnolialedge.Document, sc magnolialedge.Service, entries int) map[string]conn.Destination {
	out := make(map[string]conn.Destination, len(sc.Targets))
	for _, t := range sc.Targets {
		out[t.Address] = conn.Destination{
			Address:        t.Address,
			Region:         doc.RegionOf(t.Zone),
			MaxConnections: max(2, t.MaxConnections/entries),
		}
	}
	return out
}

// Instances returns the instances as last listed.
func (f *Fleet) Instances() []magnolialedge.Instance {
	return *f.instances.Load()
}

// SetInstances takes a new list of instances.
func (f *Fleet) SetInstances(list []magnolialedge.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rememberPeers(list, time.Now())
	f.markLeft(list)
}

// MarkLeaving takes a peer's word that it leaves, ahead of the list.
func (f *Fleet) MarkLeaving(peer string, startedAt int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left[peer] = leftPeer{startedAt: startedAt, told: time.Now()}
	f.markLeft(slices.Clone(f.Instances()))
}

// markLeft publishes list with the peers marked that said that they leave.
func (f *Fleet) markLeft(list []magnolialedge.Instance) {
	for i := range list {
		if l, ok := f.left[list[i].PeerAddress]; ok && l.startedAt == list[i].StartedAt {
			list[i].Leaving = true
		}
	}
	f.instances.Store(&list)
	f.reshare()
}

func (f *Fleet) rememberPeers(list []magnolialedge.Instance, now time.Time) {
	for _, in := range list {
		f.peers[in.CallerAddress] = knownPeer{address: in.PeerAddress, seen: now}
	}
	for peer, l := range f.left {
		if now.Sub(l.told) > call.KeyTTL {
			delete(f.left, peer)
		}
	}
	for callers, p := range f.peers {
		if now.Sub(p.seen) > call.KeyTTL {
			delete(f.peers, callers)
		}
	}
}

// PeerOf returns the peer address of the entry that callers reach at an address,
// also of one that is listed no more.
func (f *Fleet) PeerOf(callers string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.peers[callers]
	return p.address, ok
}

func (f *Fleet) reshare() {
	for name, s := range *f.services.Load() {
		_, share := proc.Steer(f.Instances(), f.cfg.Region, name, s.RequestRate())
		s.setShare(share)
	}
}

// Steer returns the entries that callers of a service should use, best first,
// and how many of them share the traffic.
func (f *Fleet) Steer(service string) ([]magnolialedge.Instance, int) {
	rate := 0.0
	if s, ok := f.Service(service); ok {
		rate = s.RequestRate() * leastShare
	}
	list, share := proc.Steer(f.Instances(), f.cfg.Region, service, rate)
	if f.cfg.Naive {
		share = len(list)
	}
	return list, share
}

// leastShare turns this entry's rate into an estimate of the region's.
const leastShare = 2

// SetRTT takes the round trip that a new connection to a target showed.
func (f *Fleet) SetRTT(address string, trip time.Duration) {
	for _, s := range *f.services.Load() {
		s.trip(address, trip)
	}
}

// Spend draws a measuring message from the budget, or reports false when it must
// not be sent.
func (f *Fleet) Spend(service, to string, c proc.Cost) bool {
	f.ledgerMu.Lock()
	defer f.ledgerMu.Unlock()
	return f.ledger.Spend(time.Now(), service, to, c)
}

// SpendLowPriority is Spend for messages that others go before.
func (f *Fleet) SpendLowPriority(service, to string, c proc.Cost) bool {
	f.ledgerMu.Lock()
	defer f.ledgerMu.Unlock()
	return f.ledger.SpendLowPriority(time.Now(), service, to, c)
}

// MeasuringUsage returns the accounts of the measuring budget.
func (f *Fleet) MeasuringUsage() []proc.MeasuringUsage {
	f.ledgerMu.Lock()
	defer f.ledgerMu.Unlock()
	return f.ledger.Usage()
}

// States returns every service as a dump shows it.
func (f *Fleet) States() []proc.ServiceState {
	services := *f.services.Load()
	out := make([]proc.ServiceState, 0, len(services))
	for _, s := range services {
		out = append(out, s.State())
	}
	return out
}
