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

// ClusterConfig constructs a World.
type ClusterConfig struct {
	Document magnolialedge.Document
	Entries  int
	// Delay is the one-way delay between regions.
	CrossRegionDelay time.Duration
	Upstream         UpstreamBehaviour
	QueuePerSlot     int
	// KeepTargets leaves the document's targets as they are and starts no
	// upstream.
	KeepTargets bool
	Naive       bool
	Seed        uint64
	LeaveTime   time.Duration
	// LogDir takes a log file of each entry; empty keeps no logs.
	LogDir string
}

// Cluster is the platform, links, upstreams and entries as separate processes.
type Cluster struct {
	Document magnolialedge.Document
	Platform *Process
	// Links are named "from>to".
	Links     map[string]*Process
	Upstreams []*UpstreamProcess
	Entries   []*EntryProcess

	cfg ClusterConfig
	mu  sync.Mutex
	// gone holds the records of upstreams that were killed, as last read.
	gone []UpstreamRecord
}

// UpstreamProcess is an upstream process.
type UpstreamProcess struct {
	*Process
	Service string
	Target  magnolialedge.Target
	seed    uint64
	faulty  bool
}

// InjectFault sets how the upstream serves, and marks it as faulty.
func (u *UpstreamProcess) InjectFault(b UpstreamBehaviour) error {
	u.faulty = true
	return control(u.Address, b)
}

// EntryProcess is an entry process.
type EntryProcess struct {
	*Process
	Name   string
	Region string
	// Callers, Peers and Operators are its addresses.
	CallerAddress, PeerAddress, OperatorsAddress string
	args                                         []string
}

// StartCluster starts every process and returns once each entry knows of all
// others.
func StartCluster(cfg ClusterConfig) (*Cluster, error) {
	w := &Cluster{cfg: cfg, Links: map[string]*Process{}}
	if err := w.start(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *Cluster) start() error {
	var err error
	if w.Platform, err = startProcess(io.Discard, "platform", "--listen", "127.0.0.1:0"); err != nil {
		return err
	}
	if err := w.startUpstreams(); err != nil {
		return err
	}
	if err := publishTo(w.Platform.Address, w.Document); err != nil {
		return err
	}
	if err := w.startLinks(); err != nil {
		return err
	}
	regions := w.Document.Regions
	for i := range w.cfg.Entries {
		if err := w.addEntry(regions[i%len(regions)].Name, i); err != nil {
			return err
		}
	}
	return w.WaitReady(readyTimeout)
}

func (w *Cluster) startUpstreams() error {
	doc := w.cfg.Document
	w.Document = doc
	if w.cfg.KeepTargets {
		return nil
	}
	for si, sc := range doc.Services {
		targets := slices.Clone(sc.Targets)
		for i, t := range targets {
			seed := w.cfg.Seed + uint64(si*1000+i*37)
			u := &UpstreamProcess{Service: sc.Name, seed: seed, Target: t}
			if err := w.runUpstream(u, "127.0.0.1:0"); err != nil {
				return err
			}
			targets[i].Address = u.Address
			u.Target = targets[i]
			w.Upstreams = append(w.Upstreams, u)
		}
		doc = doc.WithService(sc.WithTargets(targets))
	}
	w.Document = doc
	return nil
}

func (w *Cluster) runUpstream(u *UpstreamProcess, listen string) error {
	b := w.cfg.Upstream
	p, err := startProcess(io.Discard, "upstream",
		"--listen", listen,
		"--name", fmt.Sprintf("%s-%d", u.Service, u.seed),
		"--slots", fmt.Sprint(u.Target.Slots),
		"--queue", fmt.Sprint(u.Target.Slots*w.cfg.QueuePerSlot),
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

// KillUpstream ends an upstream at once and keeps its record.
func (w *Cluster) KillUpstream(u *UpstreamProcess) {
	var r UpstreamRecord
	if fetch(u.Address, "record", &r) == nil {
		w.mu.Lock()
		w.gone = append(w.gone, r)
		w.mu.Unlock()
	}
	u.Kill()
}

// RestartUpstream starts a killed upstream at its former address.
func (w *Cluster) RestartUpstream(u *UpstreamProcess) error {
	return w.runUpstream(u, u.Target.Address)
}

func (w *Cluster) startLinks() error {
	for _, from := range w.Document.Regions {
		for _, to := range w.Document.Regions {
			if from.Name == to.Name || w.cfg.CrossRegionDelay <= 0 {
				continue
			}
			p, err := startProcess(io.Discard, "link", "--listen", "127.0.0.1:0", "--delay-ms", fmt.Sprint(w.cfg.CrossRegionDelay.Milliseconds()))
			if err != nil {
				return err
			}
			w.Links[from.Name+">"+to.Name] = p
		}
	}
	return nil
}

func (w *Cluster) addEntry(region string, n int) error {
	e := &EntryProcess{Name: fmt.Sprintf("%s-entry-%d", region, n), Region: region}
	e.args = []string{"entry",
		"--name", e.Name, "--region", region, "--zone", region + "-1",
		"--platform", w.Platform.Address, "--platform-region", w.Document.Regions[0].Name,
		"--secret", Secret, "--token", Token,
		"--leave-time", w.cfg.LeaveTime.String(),
		"--seed", fmt.Sprint(w.cfg.Seed + uint64(n) + 1),
	}
	if gateways := w.gateways(region); gateways != "" {
		e.args = append(e.args, "--gateways", gateways)
	}
	if w.cfg.Naive {
		e.args = append(e.args, "--naive")
	}
	w.Entries = append(w.Entries, e)
	return w.runEntry(e, [3]string{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"})
}

func (w *Cluster) gateways(region string) string {
	var out []string
	for name, p := range w.Links {
		from, to, _ := strings.Cut(name, ">")
		if from == region {
			out = append(out, to+"="+p.Address)
		}
	}
	slices.Sort(out)
	return strings.Join(out, ",")
}

func (w *Cluster) runEntry(e *EntryProcess, listen [3]string) error {
	logTo := io.Writer(io.Discard)
	if w.cfg.LogDir != "" {
		f, err := os.OpenFile(filepath.Join(w.cfg.LogDir, e.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		logTo = f
	}
	args := append(slices.Clone(e.args), "--callers", listen[0], "--peers", listen[1], "--operators", listen[2])
	p, err := startProcess(logTo, args...)
	if err != nil {
		return err
	}
	e.Process = p
	fields := strings.Fields(p.Address)
	if len(fields) != 3 {
		return errors.Newf("%s told %q", e.Name, p.Address)
	}
	e.CallerAddress, e.PeerAddress, e.OperatorsAddress = fields[0], fields[1], fields[2]
	return nil
}

// RestartEntry starts an entry that has ended, at its former addresses.
func (w *Cluster) RestartEntry(e *EntryProcess) error {
	return w.runEntry(e, [3]string{e.CallerAddress, e.PeerAddress, e.OperatorsAddress})
}

// StopEntry stops an entry by a signal and waits for its end.
func (w *Cluster) StopEntry(e *EntryProcess) error {
	e.Signal(syscall.SIGTERM)
	return e.Wait(time.Minute)
}

// WaitReady waits until every entry serves and knows of all others.
func (w *Cluster) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, e := range w.Entries {
		for {
			d, err := FetchDump(e.OperatorsAddress, Token)
			if err == nil && d.Revision > 0 && len(d.Instances) >= len(w.Entries) {
				break
			}
			if time.Now().After(deadline) {
				return errors.Newf("%s isn't ready", e.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Dumps returns the state of each entry that answers.
func (w *Cluster) Dumps() []entry.Dump {
	var out []entry.Dump
	for _, e := range w.Entries {
		if d, err := FetchDump(e.OperatorsAddress, Token); err == nil {
			out = append(out, d)
		}
	}
	return out
}

// UpstreamRecords returns what every upstream has done.
func (w *Cluster) UpstreamRecords() []UpstreamRecord {
	w.mu.Lock()
	out := slices.Clone(w.gone)
	w.mu.Unlock()
	for _, u := range w.Upstreams {
		var r UpstreamRecord
		if fetch(u.Address, "record", &r) == nil {
			out = append(out, r)
		}
	}
	return out
}

// CallerAddressesByRegion returns the callers' addresses of the entries of each region.
func (w *Cluster) CallerAddressesByRegion() [][]string {
	var out [][]string
	for _, r := range w.Document.Regions {
		var group []string
		for _, e := range w.Entries {
			if e.Region == r.Name {
				group = append(group, e.CallerAddress)
			}
		}
		if len(group) > 0 {
			out = append(out, group)
		}
	}
	return out
}

// Close ends every process.
func (w *Cluster) Close() {
	for _, e := range w.Entries {
		if e.Process != nil {
			e.Kill()
		}
	}
	for _, u := range w.Upstreams {
		u.Kill()
	}
	for _, l := range w.Links {
		l.Kill()
	}
	if w.Platform != nil {
		w.Platform.Kill()
	}
}
