package stand

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/io/entry"
)

// ClusterConfig configures a Cluster.
type ClusterConfig struct {
	Document magnolialedge.Document
	Entries  int
	// CrossRegionDelay is the one-way delay between regions. There are no links if
	// it is 0.
	CrossRegionDelay time.Duration
	Upstream         UpstreamBehaviour
	QueuePerSlot     int
	// KeepTargets keeps the targets of the document and starts no upstream.
	KeepTargets bool
	Naive       bool
	Seed        uint64
	LeaveDelay  time.Duration
	// LogDir is the directory for one log file per entry; empty discards logs.
	LogDir string
}

// Cluster runs the platform, links, upstreams and entries as separate processes.
type Cluster struct {
	Document magnolialedge.Document
	Platform *Process
	// Links holds the link of each pair of regions under the key "from>to".
	Links     map[string]*Process
	Upstreams []*UpstreamProcess
	Entries   []*EntryProcess

	cfg ClusterConfig
	mu  sync.Mutex
	// killedRecords holds the records of killed upstreams, read before the kill.
	killedRecords []UpstreamRecord
}

// UpstreamProcess is an upstream process.
type UpstreamProcess struct {
	*Process
	Service string
	Target  magnolialedge.Target
	seed    uint64
	faulty  bool
}

// InjectFault replaces the behaviour of the upstream and marks it as faulty.
func (u *UpstreamProcess) InjectFault(b UpstreamBehaviour) error {
	u.faulty = true
	return setBehaviour(u.Address, b)
}

// EntryProcess is an entry process.
type EntryProcess struct {
	*Process
	Name   string
	Region string
	// CallerAddress, PeerAddress and OperatorAddress are the addresses that the
	// entry listens on.
	CallerAddress, PeerAddress, OperatorAddress string
	args                                        []string
}

// StartCluster starts all processes and returns when every entry is ready.
func StartCluster(cfg ClusterConfig) (*Cluster, error) {
	c := &Cluster{cfg: cfg, Links: map[string]*Process{}}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	var err error
	if c.Platform, err = startProcess(io.Discard, "platform", "--listen", "127.0.0.1:0"); err != nil {
		return err
	}
	if err := c.startUpstreams(); err != nil {
		return err
	}
	if err := publishDocument(c.Platform.Address, c.Document); err != nil {
		return err
	}
	if err := c.startLinks(); err != nil {
		return err
	}
	regions := c.Document.Regions
	for i := range c.cfg.Entries {
		if err := c.addEntry(regions[i%len(regions)].Name, i); err != nil {
			return err
		}
	}
	return c.WaitReady(readyTimeout)
}

func (c *Cluster) startUpstreams() error {
	doc := c.cfg.Document
	c.Document = doc
	if c.cfg.KeepTargets {
		return nil
	}
	for si, sc := range doc.Services {
		targets := slices.Clone(sc.Targets)
		for i, t := range targets {
			seed := c.cfg.Seed + uint64(si*1000+i*37)
			u := &UpstreamProcess{Service: sc.Name, seed: seed, Target: t}
			if err := c.startUpstream(u, "127.0.0.1:0"); err != nil {
				return err
			}
			targets[i].Address = u.Address
			u.Target = targets[i]
			c.Upstreams = append(c.Upstreams, u)
		}
		doc = doc.WithService(sc.WithTargets(targets))
	}
	c.Document = doc
	return nil
}

func (c *Cluster) startUpstream(u *UpstreamProcess, listen string) error {
	b := c.cfg.Upstream
	p, err := startProcess(io.Discard, "upstream",
		"--listen", listen,
		"--name", fmt.Sprintf("%s-%d", u.Service, u.seed),
		"--slots", fmt.Sprint(u.Target.Slots),
		"--queue", fmt.Sprint(u.Target.Slots*c.cfg.QueuePerSlot),
		"--mean-ms", fmt.Sprint(b.MeanServiceTimeMs),
		"--noise-factor", fmt.Sprint(b.NoiseFactor),
		"--noise-for-ms", fmt.Sprint(b.NoiseDurationMs),
		"--noise-every-ms", fmt.Sprint(b.NoisePeriodMs),
		"--cold-ms", fmt.Sprint(b.WarmUpMs),
		"--seed", fmt.Sprint(u.seed),
	)
	u.Process = p
	return err
}

// KillUpstream kills an upstream. It keeps the record if the upstream responds.
func (c *Cluster) KillUpstream(u *UpstreamProcess) {
	var r UpstreamRecord
	if fetchControl(u.Address, "record", &r) == nil {
		c.mu.Lock()
		c.killedRecords = append(c.killedRecords, r)
		c.mu.Unlock()
	}
	u.Kill()
}

// RestartUpstream starts a killed upstream again at the same address.
func (c *Cluster) RestartUpstream(u *UpstreamProcess) error {
	return c.startUpstream(u, u.Target.Address)
}

func (c *Cluster) startLinks() error {
	for _, from := range c.Document.Regions {
		for _, to := range c.Document.Regions {
			if from.Name == to.Name || c.cfg.CrossRegionDelay <= 0 {
				continue
			}
			p, err := startProcess(io.Discard, "link", "--listen", "127.0.0.1:0", "--delay-ms", fmt.Sprint(c.cfg.CrossRegionDelay.Milliseconds()))
			if err != nil {
				return err
			}
			c.Links[from.Name+">"+to.Name] = p
		}
	}
	return nil
}

func (c *Cluster) addEntry(region string, n int) error {
	e := &EntryProcess{Name: fmt.Sprintf("%s-entry-%d", region, n), Region: region}
	e.args = []string{"entry",
		"--name", e.Name, "--region", region, "--zone", region + "-1",
		"--platform", c.Platform.Address, "--platform-region", c.Document.Regions[0].Name,
		"--secret", Secret, "--token", Token,
		"--leave-time", c.cfg.LeaveDelay.String(),
		"--seed", fmt.Sprint(c.cfg.Seed + uint64(n) + 1),
	}
	if gateways := c.gatewayFlag(region); gateways != "" {
		e.args = append(e.args, "--gateways", gateways)
	}
	if c.cfg.Naive {
		e.args = append(e.args, "--naive")
	}
	c.Entries = append(c.Entries, e)
	return c.startEntry(e, [3]string{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"})
}

func (c *Cluster) gatewayFlag(region string) string {
	var out []string
	for name, p := range c.Links {
		from, to, _ := strings.Cut(name, ">")
		if from == region {
			out = append(out, to+"="+p.Address)
		}
	}
	slices.Sort(out)
	return strings.Join(out, ",")
}

func (c *Cluster) startEntry(e *EntryProcess, listen [3]string) error {
	logWriter := io.Writer(io.Discard)
	if c.cfg.LogDir != "" {
		f, err := os.OpenFile(filepath.Join(c.cfg.LogDir, e.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		logWriter = f
	}
	args := append(slices.Clone(e.args), "--callers", listen[0], "--peers", listen[1], "--operators", listen[2])
	p, err := startProcess(logWriter, args...)
	if err != nil {
		return err
	}
	e.Process = p
	fields := strings.Fields(p.Address)
	if len(fields) != 3 {
		return errors.Newf("%s: want three listen addresses, got %q", e.Name, p.Address)
	}
	e.CallerAddress, e.PeerAddress, e.OperatorAddress = fields[0], fields[1], fields[2]
	return nil
}

// RestartEntry starts an entry that has ended again at the same addresses.
func (c *Cluster) RestartEntry(e *EntryProcess) error {
	return c.startEntry(e, [3]string{e.CallerAddress, e.PeerAddress, e.OperatorAddress})
}

// StopEntry sends SIGTERM to an entry and waits until it has ended.
func (c *Cluster) StopEntry(e *EntryProcess) error {
	e.Signal(syscall.SIGTERM)
	return e.Wait(time.Minute)
}

// WaitReady waits until every entry has a configuration and lists all instances.
// It fails after limit.
func (c *Cluster) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, e := range c.Entries {
		for {
			d, err := FetchDump(e.OperatorAddress, Token)
			if err == nil && d.Revision > 0 && len(d.Instances) >= len(c.Entries) {
				break
			}
			if time.Now().After(deadline) {
				return errors.Newf("%s is not ready", e.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Dumps returns the dump of each entry that responds.
func (c *Cluster) Dumps() []entry.Dump {
	var out []entry.Dump
	for _, e := range c.Entries {
		if d, err := FetchDump(e.OperatorAddress, Token); err == nil {
			out = append(out, d)
		}
	}
	return out
}

// UpstreamRecords returns the record of every upstream process, including killed
// ones.
func (c *Cluster) UpstreamRecords() []UpstreamRecord {
	c.mu.Lock()
	out := slices.Clone(c.killedRecords)
	c.mu.Unlock()
	for _, u := range c.Upstreams {
		var r UpstreamRecord
		if fetchControl(u.Address, "record", &r) == nil {
			out = append(out, r)
		}
	}
	return out
}

// CallerAddressesByRegion returns one list of caller addresses for each region
// that has entries, in the order of the document.
func (c *Cluster) CallerAddressesByRegion() [][]string {
	var out [][]string
	for _, r := range c.Document.Regions {
		var addresses []string
		for _, e := range c.Entries {
			if e.Region == r.Name {
				addresses = append(addresses, e.CallerAddress)
			}
		}
		if len(addresses) > 0 {
			out = append(out, addresses)
		}
	}
	return out
}

// Close kills all processes.
func (c *Cluster) Close() {
	for _, e := range c.Entries {
		if e.Process != nil {
			e.Kill()
		}
	}
	for _, u := range c.Upstreams {
		u.Kill()
	}
	for _, l := range c.Links {
		l.Kill()
	}
	if c.Platform != nil {
		c.Platform.Kill()
	}
}
