package stand

import (
	"cmp"
	"context"
	"embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"magnolialedge"
	core "magnolialedge/core/proc"
	"magnolialedge/core/vers"
	"magnolialedge/io/entry"
	"magnolialedge/io/plat"
	iovers "magnolialedge/io/vers"
)

//go:embed samples/*.json
var samples embed.FS

// SampleDocument returns the sample document of that name, gandaki or valderrama.
func SampleDocument(name string) (magnolialedge.Document, error) {
	data, err := samples.ReadFile("samples/" + name + ".json")
	if err != nil {
		return magnolialedge.Document{}, errors.Wrapf(err, "sample %q", name)
	}
	return vers.Parse(data)
}

// SystemConfig configures a System.
type SystemConfig struct {
	Document magnolialedge.Document
	// EntriesPerRegion is the number of entries in each region.
	EntriesPerRegion int
	// Entries is the number of entries over all regions. If EntriesPerRegion
	// results in more entries, EntriesPerRegion applies instead.
	Entries int
	// CrossRegionDelay is the one-way delay between regions.
	CrossRegionDelay time.Duration
	Upstream         UpstreamBehaviour
	// QueuePerSlot is the maximum number of waiting requests of an upstream for
	// each of its slots.
	QueuePerSlot int
	// KeepTargets keeps the targets of the document and starts no upstream.
	KeepTargets   bool
	CrashDuration time.Duration
	Naive         bool
	LeaveDelay    time.Duration
	// StopTimeout is that of the entries; 0 means a minute.
	StopTimeout time.Duration
	Log         io.Writer
	Seed        uint64
	// Ports are the ports of the first entry for callers, peers and operators; 0
	// means a free port.
	Ports [3]int
}

// Secret is the peer secret and Token the operator token of all entries.
const (
	Secret = "stand-in-peer-secret"
	Token  = "stand-in-operator-token"
)

// System runs the platform, upstreams, links and entries in one process.
type System struct {
	Platform  *Platform
	Upstreams map[string]*Upstream
	Links     map[string]*Link
	Entries   []*RunningEntry
	Document  magnolialedge.Document

	cfg            SystemConfig
	platformServer *Server
	linkServers    []*Server
}

// RunningEntry is an entry of a System.
type RunningEntry struct {
	*entry.Entry
	Settings entry.Settings
	cancel   context.CancelFunc
	done     chan error
}

// Stop stops the entry as SIGTERM does and waits until it has ended.
func (r *RunningEntry) Stop() error {
	r.cancel()
	return <-r.done
}

// StartSystem starts a System and returns when every entry is ready.
func StartSystem(cfg SystemConfig) (*System, error) {
	s := &System{
		cfg:       cfg,
		Platform:  NewPlatform(PlatformConfig{MaxWritesPerSecond: 400, MaxReadsPerSecond: 2000}),
		Upstreams: map[string]*Upstream{},
		Links:     map[string]*Link{},
	}
	var err error
	if s.platformServer, err = Listen("127.0.0.1:0", s.Platform.Handler()); err != nil {
		return nil, err
	}
	if err := s.startUpstreams(); err != nil {
		return nil, err
	}
	if err := publishDocument(s.platformServer.Address(), s.Document); err != nil {
		return nil, err
	}
	regions := cfg.Document.Regions
	for i := range max(cfg.Entries, cfg.EntriesPerRegion*len(regions)) {
		if _, err := s.StartEntry(regions[i%len(regions)].Name, i/len(regions)); err != nil {
			return nil, err
		}
	}
	return s, s.waitReady()
}

// startUpstreams starts an upstream for each target and sets the target's address
// in the document.
func (s *System) startUpstreams() error {
	doc := s.cfg.Document
	s.Document = doc
	if s.cfg.KeepTargets {
		return nil
	}
	for si, sc := range doc.Services {
		targets := append([]magnolialedge.Target(nil), sc.Targets...)
		for i := range targets {
			u := NewUpstream(UpstreamConfig{
				Name:          fmt.Sprintf("%s-%d", sc.Name, i),
				Slots:         targets[i].Slots,
				MaxQueue:      targets[i].Slots * s.cfg.QueuePerSlot,
				Seed:          s.cfg.Seed + uint64(si*1000+i*37),
				CrashDuration: s.cfg.CrashDuration,
				Behaviour:     s.cfg.Upstream,
			})
			if err := u.Start("127.0.0.1:0"); err != nil {
				return err
			}
			targets[i].Address = u.Address()
			s.Upstreams[u.Address()] = u
		}
		doc = doc.WithService(sc.WithTargets(targets))
	}
	s.Document = doc
	return nil
}

// publishDocument stores doc in the platform as revision 1.
func publishDocument(platform string, doc magnolialedge.Document) error {
	change := vers.Change{ID: uuid.NewString(), Author: "stand-in", Document: doc}
	data, err := iovers.Encode(vers.NextVersion(magnolialedge.DocumentVersion{}, change, time.Now()))
	if err != nil {
		return err
	}
	client := plat.NewClient(plat.ClientConfig{Address: platform, Transport: http.DefaultTransport})
	_, err = client.CompareAndSwap(context.Background(), iovers.StoreKey, 0, data, 0)
	return err
}

// OverwriteDocument replaces the stored version by doc as revision 1, like a
// platform that was restored to an old state.
func (s *System) OverwriteDocument(ctx context.Context, doc magnolialedge.Document) error {
	client := plat.NewClient(plat.ClientConfig{Address: s.platformServer.Address(), Transport: http.DefaultTransport})
	current, err := client.Get(ctx, iovers.StoreKey)
	if err != nil {
		return err
	}
	change := vers.Change{ID: uuid.NewString(), Author: "stand-in", Document: doc}
	data, err := iovers.Encode(vers.NextVersion(magnolialedge.DocumentVersion{}, change, time.Now()))
	if err != nil {
		return err
	}
	_, err = client.CompareAndSwap(ctx, iovers.StoreKey, current.Revision, data, 0)
	return err
}

// startGateway starts a listener for the link from one region to another and
// returns its address. The link is created if there is none yet.
func (s *System) startGateway(from, to string) (string, error) {
	name := from + ">" + to
	if _, ok := s.Links[name]; !ok {
		s.Links[name] = NewLink(LinkBehaviour{DelayMs: int(s.cfg.CrossRegionDelay.Milliseconds())})
	}
	server, err := Listen("127.0.0.1:0", s.Links[name].Handler())
	if err != nil {
		return "", err
	}
	s.linkServers = append(s.linkServers, server)
	return server.Address(), nil
}

// StartEntry starts entry number n of region.
func (s *System) StartEntry(region string, n int) (*RunningEntry, error) {
	settings := entry.Settings{
		Name:                fmt.Sprintf("%s-entry-%d", region, n),
		Region:              region,
		Zone:                s.zoneOf(region, n),
		PlatformAddress:     s.platformServer.Address(),
		PlatformRegion:      s.cfg.Document.Regions[0].Name,
		Secret:              Secret,
		Token:               Token,
		Gateways:            map[string]string{},
		StopTimeout:         cmp.Or(s.cfg.StopTimeout, time.Minute),
		LeaveDelay:          s.cfg.LeaveDelay,
		KeyCapacity:         core.DefaultKeyCapacity,
		MaxInFlight:         4000,
		StoreCallsPerSecond: 25,
		Seed:                s.cfg.Seed + uint64(n) + 1,
		Naive:               s.cfg.Naive,
	}
	s.setListenAddresses(&settings)
	if s.cfg.CrossRegionDelay > 0 {
		for _, r := range s.cfg.Document.Regions {
			if r.Name == region {
				continue
			}
			address, err := s.startGateway(region, r.Name)
			if err != nil {
				return nil, err
			}
			settings.Gateways[r.Name] = address
		}
	}
	return s.runEntry(settings)
}

func (s *System) zoneOf(region string, n int) string {
	var zones []string
	for _, z := range s.cfg.Document.Zones {
		if z.Region == region {
			zones = append(zones, z.Name)
		}
	}
	return zones[n%len(zones)]
}

func (s *System) setListenAddresses(settings *entry.Settings) {
	ports := [3]int{}
	if len(s.Entries) == 0 {
		ports = s.cfg.Ports
	}
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	settings.CallerAddress, settings.PeerAddress, settings.OperatorAddress = address(0), address(1), address(2)
}

func (s *System) runEntry(settings entry.Settings) (*RunningEntry, error) {
	logWriter := s.cfg.Log
	if logWriter == nil {
		logWriter = io.Discard
	}
	e, err := entry.New(settings, logWriter)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &RunningEntry{Entry: e, Settings: settings, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- e.Run(ctx) }()
	s.Entries = append(s.Entries, r)
	return r, nil
}

// readyTimeout limits the time until all entries are ready.
const readyTimeout = 20 * time.Second

// waitReady waits until every entry has a configuration and lists all instances.
func (s *System) waitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, e := range s.Entries {
		for !s.isReady(e) {
			if ctx.Err() != nil {
				return errors.Newf("%s is not ready", e.Settings.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (s *System) isReady(e *RunningEntry) bool {
	dump, err := FetchDump(e.OperatorAddress(), Token)
	return err == nil && dump.Revision > 0 && len(dump.Instances) >= len(s.Entries)
}

// FetchDump returns the dump of the entry whose operator address is address.
func FetchDump(address, token string) (entry.Dump, error) {
	var out entry.Dump
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/dump", nil)
	if err != nil {
		return out, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, errors.Newf("dump: unexpected status %d", resp.StatusCode)
	}
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// CallerAddresses returns the caller addresses of the entries of region, or of all
// entries if region is empty.
func (s *System) CallerAddresses(region string) []string {
	var out []string
	for _, e := range s.Entries {
		if region == "" || e.Settings.Region == region {
			out = append(out, e.Self().CallerAddress)
		}
	}
	return out
}

// UpstreamRecords returns the record of every upstream.
func (s *System) UpstreamRecords() []UpstreamRecord {
	var out []UpstreamRecord
	for _, u := range s.Upstreams {
		out = append(out, u.Record())
	}
	return out
}

// Close stops all parts of the system without waiting for them.
func (s *System) Close() {
	for _, e := range s.Entries {
		e.cancel()
	}
	for _, u := range s.Upstreams {
		u.Close()
	}
	for _, l := range s.linkServers {
		l.Close()
	}
	s.platformServer.Close()
}
