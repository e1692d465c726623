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

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Name   string
	Region string
	Seed   uint64
	Naive  bool
	// OnReload is called after each new version with the addresses of its targets.
	OnReload func(addresses map[string]bool)
}

// Fleet holds the services of the configuration version in force, the list of
// instances and the measurement budget. It is safe for concurrent use.
type Fleet struct {
	cfg         FleetConfig
	version     atomic.Pointer[magnolialedge.DocumentVersion]
	services    atomic.Pointer[map[string]*Service]
	instances   atomic.Pointer[[]magnolialedge.Instance]
	appliedAtMs atomic.Int64
	// mu serializes changes of the version and the instances. Requests lock it only
	// in PeerOf.
	mu sync.Mutex
	// budgetMu guards budget.
	budgetMu sync.Mutex
	budget   *proc.MeasurementLimiter
	// peers maps the caller address of each recently listed entry to its peer
	// address. It is guarded by mu.
	peers map[string]knownPeer
	// leaving holds the peers that announced that they leave, by peer address. It
	// is guarded by mu.
	leaving map[string]leavingPeer
	// drainingAtStart is applied to the first version. It is guarded by mu.
	drainingAtStart []drainingTarget
}

// drainingTarget is a target that a peer reported as draining before this entry had
// a version.
type drainingTarget struct {
	service, address string
}

// leavingPeer is a peer that announced that it leaves. startedAt, in Unix
// milliseconds, distinguishes it from a later start at the same address.
type leavingPeer struct {
	startedAt  int64
	reportedAt time.Time
}

// knownPeer is the peer address of an entry and when it was last listed.
type knownPeer struct {
	address  string
	lastSeen time.Time
}

// NewFleet returns a Fleet without a version, services or instances.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{cfg: cfg, peers: map[string]knownPeer{}, leaving: map[string]leavingPeer{}, budget: proc.NewMeasurementLimiter(magnolialedge.Document{}, cfg.Region)}
	f.services.Store(&map[string]*Service{})
	f.instances.Store(&[]magnolialedge.Instance{})
	return f
}

// Version returns the version in force, or nil before the first.
func (f *Fleet) Version() *magnolialedge.DocumentVersion {
	return f.version.Load()
}

// AppliedAt returns when this entry applied the version in force.
func (f *Fleet) AppliedAt() time.Time {
	return time.UnixMilli(f.appliedAtMs.Load())
}

// Service returns the service with the given name, or false if the version in force
// has none.
func (f *Fleet) Service(name string) (*Service, bool) {
	s, ok := (*f.services.Load())[name]
	return s, ok
}

// Region returns the region of this entry.
func (f *Fleet) Region() string {
	return f.cfg.Region
}

// Apply puts a version in force. Services that exist in both versions keep their
// state.
func (f *Fleet) Apply(v magnolialedge.DocumentVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	isFirst := f.version.Load() == nil
	old := *f.services.Load()
	next := make(map[string]*Service, len(v.Document.Services))
	addresses := map[string]bool{}
	entries := maxTotalEntries(v.Document)
	for _, sc := range v.Document.Services {
		next[sc.Name] = f.applyService(old[sc.Name], v.Document, sc, entries, isFirst, now)
		for _, t := range sc.Targets {
			addresses[t.Address] = true
		}
	}
	f.budgetMu.Lock()
	f.budget = f.budget.WithDocument(v.Document, now)
	f.budgetMu.Unlock()
	f.services.Store(&next)
	f.appliedAtMs.Store(now.UnixMilli())
	f.version.Store(&v)
	f.updateEntryCounts()
	if f.cfg.OnReload != nil {
		f.cfg.OnReload(addresses)
	}
}

// maxTotalEntries returns the largest number of entries in all regions.
func maxTotalEntries(doc magnolialedge.Document) int {
	n := 0
	for _, r := range doc.Regions {
		n += r.MaxEntries
	}
	return max(1, n)
}

// applyService updates s to the version of doc and returns it, or returns a new
// Service if s is nil. In the first version the targets are not warmed up, and those
// that peers reported as draining are draining.
func (f *Fleet) applyService(s *Service, doc magnolialedge.Document, sc magnolialedge.Service, entries int, isFirst bool, now time.Time) *Service {
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
	view := serviceView{config: sc, destinations: destinations(doc, sc, entries)}
	if s != nil {
		s.update(func(old *proc.Service) *proc.Service { return old.WithVersion(cfg) }, view)
		return s
	}
	created := &Service{core: proc.NewService(cfg), view: view}
	if isFirst {
		created.core.SkipWarmUp()
		f.markDraining(created.core, sc.Name, now)
	}
	return created
}

// MarkDrainingAtStart records that a peer reported a target as draining before this
// entry had a version. The target is draining in the first version.
func (f *Fleet) MarkDrainingAtStart(service, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainingAtStart = append(f.drainingAtStart, drainingTarget{service: service, address: address})
}

func (f *Fleet) markDraining(s *proc.Service, name string, now time.Time) {
	for _, d := range f.drainingAtStart {
		if d.service == name {
			s.MarkDraining(now, d.address)
		}
	}
}

// destinations returns the targets' destinations by address. Each of the given number
// of entries gets an equal part of a target's connection limit, and at least 2
// connections.
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

// Instances returns the instances of the last list, which the caller must not modify.
// Peers that announced that they leave are marked as leaving.
func (f *Fleet) Instances() []magnolialedge.Instance {
	return *f.instances.Load()
}

// SetInstances replaces the list of instances, and takes ownership of it.
func (f *Fleet) SetInstances(list []magnolialedge.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updatePeers(list, time.Now())
	f.publishInstances(list)
}

// MarkLeaving marks a peer as leaving after it has announced so, before the list of
// instances shows it. startedAt is the peer's start in Unix milliseconds.
func (f *Fleet) MarkLeaving(peer string, startedAt int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[peer] = leavingPeer{startedAt: startedAt, reportedAt: time.Now()}
	f.publishInstances(slices.Clone(f.Instances()))
}

// publishInstances stores list, with the peers that announced that they leave marked
// as leaving.
func (f *Fleet) publishInstances(list []magnolialedge.Instance) {
	for i := range list {
		if p, ok := f.leaving[list[i].PeerAddress]; ok && p.startedAt == list[i].StartedAt {
			list[i].Leaving = true
		}
	}
	f.instances.Store(&list)
	f.updateEntryCounts()
}

// updatePeers records the listed peers. It drops the peers that were last listed, and
// the announcements that were made, longer ago than the lifetime of a key.
func (f *Fleet) updatePeers(list []magnolialedge.Instance, now time.Time) {
	for _, in := range list {
		f.peers[in.CallerAddress] = knownPeer{address: in.PeerAddress, lastSeen: now}
	}
	for peer, p := range f.leaving {
		if now.Sub(p.reportedAt) > call.KeyTTL {
			delete(f.leaving, peer)
		}
	}
	for callerAddress, p := range f.peers {
		if now.Sub(p.lastSeen) > call.KeyTTL {
			delete(f.peers, callerAddress)
		}
	}
}

// PeerOf returns the peer address of the entry with a caller address. It also knows
// entries that left the instance list within the lifetime of a key.
func (f *Fleet) PeerOf(callerAddress string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.peers[callerAddress]
	return p.address, ok
}

// updateEntryCounts sets, for each service, the number of entries that share it.
func (f *Fleet) updateEntryCounts() {
	for name, s := range *f.services.Load() {
		_, sharing := proc.Steer(f.Instances(), proc.Place{Region: f.cfg.Region}, name, s.RequestRate())
		s.setEntryCount(sharing)
	}
}

// Steer returns the entries that callers of a service should use, in order of
// preference, and the number of leading entries that share the traffic. In naive mode
// all of them share it.
func (f *Fleet) Steer(service string) ([]magnolialedge.Instance, int) {
	rate := 0.0
	if s, ok := f.Service(service); ok {
		rate = s.RequestRate() * regionRateFactor
	}
	list, sharing := proc.Steer(f.Instances(), proc.Place{Region: f.cfg.Region}, service, rate)
	if f.cfg.Naive {
		sharing = len(list)
	}
	return list, sharing
}

// regionRateFactor is multiplied by this entry's request rate to estimate the
// region's.
const regionRateFactor = 2

// RecordRoundTrip records the round-trip time to a target, measured as the time that
// opening a connection took.
func (f *Fleet) RecordRoundTrip(address string, roundTrip time.Duration) {
	for _, s := range *f.services.Load() {
		s.recordRoundTrip(address, roundTrip)
	}
}

// Spend withdraws the cost of a measurement message for service to a region from the
// budget. It returns false if the message must not be sent.
func (f *Fleet) Spend(service, toRegion string, c proc.Cost) bool {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return f.budget.Spend(time.Now(), service, toRegion, c)
}

// SpendLowPriority is Spend for messages of low priority. It leaves a reserve for
// other messages.
func (f *Fleet) SpendLowPriority(service, toRegion string, c proc.Cost) bool {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return f.budget.SpendLowPriority(time.Now(), service, toRegion, c)
}

// MeasurementUsage returns the usage of the measurement budget, by account.
func (f *Fleet) MeasurementUsage() []proc.MeasurementUsage {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return f.budget.Usage()
}

// States returns the state of every service for a dump.
func (f *Fleet) States() []proc.ServiceState {
	services := *f.services.Load()
	out := make([]proc.ServiceState, 0, len(services))
	for _, s := range services {
		out = append(out, s.State())
	}
	return out
}
