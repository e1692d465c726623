package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"magnolialedge/io/node"
	"magnolialedge/platform"
	"magnolialedge/platform/stand"
)

//go:embed items.json
var items []byte

// The figures of the small deployment that the entries run in.
const (
	program          = "target/magnolialedge"
	grace            = 6 * time.Second
	memoryMB         = 284
	targetSlots      = 4
	heartbeat        = 1500 * time.Millisecond
	readyTimeout     = 20 * time.Second
	settleTime       = 4 * time.Second
	host             = "small.example"
	frontPort        = "8381"
	controlPort      = "8382"
	directoryPort    = "8383"
	readyPort        = "8388"
	maxAddressTrials = 100
	memoryPoll       = 10 * time.Millisecond
)

var zones = []string{"east-a", "east-b"}

// headers holds the names of the headers that clients, entries and targets use.
var headers = platform.HeaderProtocol()

// trial is one run of a case.
type trial struct {
	start   time.Time
	store   *stand.Store
	temp    string
	entries []*entry
	targets []*target

	mu     sync.Mutex
	record *os.File
}

// newTrial starts a store that holds the configuration.
func newTrial(folder string) (*trial, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "trial")
	if err != nil {
		return nil, err
	}
	t := &trial{start: time.Now(), store: stand.NewStore(), temp: temp, record: record}
	var list []struct {
		Key   string          `json:"key"`
		Value json.RawMessage `json:"value"`
	}
	if err := json.Unmarshal(items, &list); err != nil {
		return nil, err
	}
	for _, it := range list {
		t.store.Put(it.Key, it.Value)
	}
	return t, nil
}

// note writes a line to the record.
func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(t.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(t.record, line)
}

// close ends all processes and servers that the trial started.
func (t *trial) close() {
	for _, e := range t.entries {
		e.kill()
	}
	for _, s := range t.targets {
		s.close()
	}
	t.store.Close()
	_ = os.RemoveAll(t.temp)
}

// deploy starts targets and entries, and returns the address that a client uses first, and the
// entry that has it.
func (t *trial) deploy(targets, entries int, serve func(*target, *run)) (string, *entry, error) {
	if err := t.startTargets(targets, targetSlots, serve); err != nil {
		return "", nil, err
	}
	if err := t.startEntries(entries); err != nil {
		return "", nil, err
	}
	return t.firstAddress()
}

// startTargets starts targets in turn in all zones.
func (t *trial) startTargets(n, slots int, serve func(*target, *run)) error {
	for i := range n {
		s, err := startTarget(t, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)], slots, serve)
		if err != nil {
			return err
		}
		t.targets = append(t.targets, s)
	}
	return nil
}

// startEntries starts entries in turn in all zones and waits until they are ready.
func (t *trial) startEntries(n int) error {
	ips, err := freeIPs(n)
	if err != nil {
		return err
	}
	for i, ip := range ips {
		e, err := t.startEntry(fmt.Sprintf("edge-%d", i+1), zones[i%len(zones)], ip, ips[0])
		if err != nil {
			return err
		}
		t.entries = append(t.entries, e)
	}
	for _, e := range t.entries {
		if err := e.awaitReady(); err != nil {
			return err
		}
		t.note("%s is ready", e.name)
	}
	time.Sleep(settleTime)
	return nil
}

// freeIPs returns loopback addresses on which the ports of an entry are free.
func freeIPs(n int) ([]string, error) {
	for range maxAddressTrials {
		a, b := 1+rand.IntN(250), 1+rand.IntN(250)
		var ips []string
		for i := range n {
			ips = append(ips, fmt.Sprintf("127.%d.%d.%d", a, b, 10+i))
		}
		if areFree(ips) {
			return ips, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

func areFree(ips []string) bool {
	for _, ip := range ips {
		for _, port := range []string{frontPort, controlPort, directoryPort, readyPort, "9100"} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// entry is a process of the system.
type entry struct {
	name string
	ip   string
	cmd  *exec.Cmd
	log  bytes.Buffer
	// ended is closed when the process has ended.
	ended chan struct{}
}

// startEntry starts the program with the command of the deploy file.
func (t *trial) startEntry(name, zone, ip, seedIP string) (*entry, error) {
	s := node.Settings{
		Name: name, Zone: zone, Region: "east", IP: ip,
		Regions:             map[string]string{zones[0]: "east", zones[1]: "east"},
		CallerAddress:       net.JoinHostPort(ip, frontPort),
		ReadyAddress:        net.JoinHostPort(ip, readyPort),
		DirectoryAddress:    net.JoinHostPort(ip, directoryPort),
		PeerAddress:         net.JoinHostPort(ip, controlPort),
		SeedPeers:           []string{net.JoinHostPort(seedIP, controlPort)},
		StoreAddress:        t.store.Address(),
		FirstPort:           7200,
		LastPort:            7215,
		StopTimeout:         grace,
		RetryRatio:          0.2,
		RetryExtra:          56,
		MaxResolveTTL:       5 * time.Second,
		MaxProbesPerSec:     60,
		MaxStoreReadsPerSec: 2000,
		MinLeaseTTL:         time.Second,
		MemoryMB:            memoryMB,
		MaxFDs:              4100,
		LinkMbps:            1000,
	}
	text, err := stand.SettingsText(s)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(t.temp, name+".toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	e := &entry{name: name, ip: ip, ended: make(chan struct{})}
	e.cmd = exec.Command(program, "serve", "--metrics-port", "9100")
	e.cmd.Env = []string{platform.SettingsPathEnv + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + t.temp}
	e.cmd.Stdout, e.cmd.Stderr = &e.log, &e.log
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = e.cmd.Wait()
		t.note("the process of %s has ended: %v", name, e.cmd.ProcessState)
		close(e.ended)
	}()
	return e, nil
}

// awaitReady waits until the entry says that it is ready.
func (e *entry) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + net.JoinHostPort(e.ip, readyPort) + platform.ReadyPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready:\n%s", e.name, e.log.String())
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	_ = e.cmd.Process.Signal(s)
}

// kill ends the process, if it still runs.
func (e *entry) kill() {
	_ = e.cmd.Process.Kill()
	<-e.ended
}

// privateMemoryMB returns the resident memory of the process, without that of files.
func (e *entry) privateMemoryMB() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "RssAnon:" {
			kb, err := strconv.ParseFloat(fields[1], 64)
			return kb / 1024, err
		}
	}
	return 0, fmt.Errorf("no figure of the resident memory")
}

// guardMemory kills the process, as the platform does, once it exceeds memory-mb, and returns
// the memory that it had then. It returns the largest figure seen if done is closed before.
func (e *entry) guardMemory(done <-chan struct{}) (peak float64, isKilled bool) {
	for {
		select {
		case <-done:
			return peak, false
		case <-time.After(memoryPoll):
		}
		used, err := e.privateMemoryMB()
		if err != nil {
			return peak, false
		}
		peak = max(peak, used)
		if used > memoryMB {
			e.kill()
			return peak, true
		}
	}
}

// resolve asks an entry for the addresses that a client uses, and for how long it keeps them.
func (e *entry) resolve(zone string) (addresses []string, ttl time.Duration, err error) {
	resp, err := http.Get("http://" + net.JoinHostPort(e.ip, directoryPort) + "/resolve?name=" + host + "&region=east&zone=" + zone)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, 0, err
	}
	var reply map[string]json.RawMessage
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, 0, err
	}
	seconds := 0.0
	for name, value := range reply {
		target := any(&addresses)
		if name != "addresses" {
			target = &seconds
		}
		if err := json.Unmarshal(value, target); err != nil {
			return nil, 0, err
		}
	}
	return addresses, time.Duration(seconds * float64(time.Second)), nil
}
