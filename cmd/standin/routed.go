package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"magnolialedge/io/node"
	"magnolialedge/platform"
	"magnolialedge/platform/stand"
)

// routedCommand runs entries on a simulation of the users' platform, and measures
// them if a rate is given.
type routedCommand struct {
	Entries           int           `help:"Number of entries." default:"2"`
	FirstPort         int           `name:"port" help:"First port of the entries; each uses four." default:"8100"`
	UpstreamsPerZone  int           `name:"per-zone" help:"Number of upstreams in each of two availability zones." default:"3"`
	Slots             int           `help:"Number of requests that an upstream runs at a time." default:"4"`
	ServiceTime       time.Duration `name:"work" help:"Time that an upstream takes for a request." default:"20ms"`
	NoiseProbability  float64       `name:"noise" help:"Fraction of the time in which an upstream is seven times slower." default:"0.25"`
	RequestsPerSecond float64       `name:"rate" help:"Requests per second for the measurement; 0 runs the entries without one." default:"0"`
	Duration          time.Duration `help:"Duration of the measurement." default:"5s"`
	Seed              uint64        `help:"Seed of the random noise and requests." default:"1"`
	PrintLogs         bool          `name:"logs" help:"Print the logs of the entries."`
	NoiseInterval     time.Duration `name:"noise-step" help:"Interval at which the noise of each upstream is chosen again." default:"500ms"`
	AllowedRegions    []string      `name:"regions" help:"Regions whose upstreams may serve the requests; none for all."`
	cutOptions        `embed:""`
	evacuateOptions   `embed:""`
	accountOptions    `embed:""`
}

const (
	// routedTimeout is the timeout of the requests of a measurement.
	routedTimeout = 2 * time.Second

	entryIP = "127.0.0.1"
	// noiseFactor is the factor by which a noisy upstream is slower.
	noiseFactor = 7
)

// Run runs the entries until ctx is done or the measurement has ended.
func (c *routedCommand) Run(ctx context.Context) error {
	cluster := stand.NewCluster(stand.ClusterConfig{
		Zones: []string{"east-a", "east-b"}, UpstreamsPerZone: c.UpstreamsPerZone, Slots: c.Slots, WorkDuration: c.ServiceTime,
		NoiseProbability: c.NoiseProbability, NoiseFactor: noiseFactor, NoiseInterval: c.NoiseInterval, Seed: c.Seed, AllowedRegions: c.AllowedRegions, Accounts: c.list(),
	})
	defer cluster.Close()
	go cluster.Run(ctx)
	var callers []string
	var partitions []*stand.Partition
	for i := range c.Entries {
		s := c.settings(cluster, i)
		partitions = append(partitions, stand.NewPartition())
		if err := c.startEntry(ctx, s, partitions[i]); err != nil {
			return err
		}
		callers = append(callers, s.CallerAddress)
	}
	go c.cutOptions.run(ctx, partitions)
	go c.evacuateOptions.run(ctx, cluster.Store)
	headers := platform.HeaderProtocol()
	key := ""
	if c.Accounts > 0 {
		key = fmt.Sprintf("-H '%s: %s' ", headers.APIKey, c.key(0))
	}
	fmt.Printf("curl -H 'Host: %s' -H '%s: 1' -H '%s: 1000' %shttp://%s/reads/1\n", stand.Host, headers.RequestID, headers.Deadline, key, callers[0])
	if c.RequestsPerSecond <= 0 {
		<-ctx.Done()
		return nil
	}
	m := newMeasurement(c, callers)
	m.run(ctx)
	m.print()
	return nil
}

// settings returns the settings of entry number i.
func (c *routedCommand) settings(cluster *stand.Cluster, i int) node.Settings {
	address := func(n int) string { return net.JoinHostPort(entryIP, strconv.Itoa(c.FirstPort+4*i+n)) }
	return node.Settings{
		Name: fmt.Sprintf("entry-%d", i), Zone: []string{"east-a", "east-b"}[i%2], Region: "east", IP: entryIP,
		Regions:       map[string]string{"east-a": "east", "east-b": "east"},
		CallerAddress: address(0), ReadyAddress: address(1), DirectoryAddress: address(2), PeerAddress: address(3), FirstPort: c.FirstPort + 4*i + 3, LastPort: c.FirstPort + 4*i + 3,
		StoreAddress: cluster.Store.Address(), StopTimeout: 6 * time.Second, RetryRatio: 0.2, RetryExtra: 56, MaxResolveTTL: 5 * time.Second,
	}
}

// startEntry starts an entry whose upstreams are behind a partition, and waits until it is
// ready.
func (c *routedCommand) startEntry(ctx context.Context, s node.Settings, partition *stand.Partition) error {
	logs := io.Discard
	if c.PrintLogs {
		logs = os.Stdout
	}
	n, err := node.New(node.Config{
		Settings:  s,
		Headers:   platform.HeaderProtocol(),
		Decoder:   platform.Decoder{},
		API:       platform.EntryAPI{},
		NewStore:  platform.OpenStore,
		LogWriter: logs,

		UpstreamDialer: partition,
	})
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- n.Run(ctx, nil) }()
	return waitReady(s.ReadyAddress, failed)
}

// readyTimeout limits the time until an entry is ready.
const readyTimeout = 5 * time.Second

// waitReady waits until the entry's readiness endpoint returns 200. It returns the
// error of an entry that stops before.
func waitReady(address string, failed <-chan error) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		select {
		case err := <-failed:
			return err
		default:
		}
		resp, err := http.Get("http://" + address + platform.ReadyPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Newf("the entry at %s did not become ready in time", address)
}

// measurement sends an open-loop load: requests start at times that do not depend
// on earlier responses, and latencies are measured from the scheduled start.
type measurement struct {
	cmd          *routedCommand
	callers      []string
	client       *http.Client
	mu           sync.Mutex
	latencies    *hdrhistogram.Histogram
	statusCounts map[int]int
	// withinTarget counts successes within three times the service time.
	withinTarget int
}

func newMeasurement(c *routedCommand, callers []string) *measurement {
	return &measurement{
		cmd: c, callers: callers, statusCounts: map[int]int{},
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		latencies: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
}

// run sends requests to the entries in turn, and waits for the responses.
func (m *measurement) run(ctx context.Context) {
	r := rand.New(rand.NewPCG(m.cmd.Seed, 2))
	var group sync.WaitGroup
	start := time.Now()
	next := start
	for i := 0; next.Sub(start) < m.cmd.Duration && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(next))
		group.Add(1)
		go func(scheduledAt time.Time) {
			defer group.Done()
			m.send(m.callers[i%len(m.callers)], i, scheduledAt)
		}(next)
		next = next.Add(time.Duration(r.ExpFloat64() / m.cmd.RequestsPerSecond * float64(time.Second)))
	}
	group.Wait()
}

// send sends request number i and records its result.
func (m *measurement) send(address string, i int, scheduledAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), routedTimeout)
	defer cancel()
	response, _ := stand.Send(ctx, m.client, address, stand.Request{
		ID: strconv.Itoa(i), Method: http.MethodGet, Path: fmt.Sprintf("/reads/%d", i), Timeout: routedTimeout, Key: m.cmd.key(i),
	})
	status := response.Status
	latency := time.Since(scheduledAt)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.statusCounts[status]++
	if status == http.StatusOK {
		_ = m.latencies.RecordValue(latency.Microseconds())
		if latency <= 3*m.cmd.ServiceTime {
			m.withinTarget++
		}
	}
}

func (m *measurement) print() {
	ms := func(q float64) float64 { return float64(m.latencies.ValueAtQuantile(q)) / 1000 }
	total := 0
	for _, n := range m.statusCounts {
		total += n
	}
	fmt.Printf("requests %d, by status (0: no answer) %v, within %s %.3f\n", total, m.statusCounts, 3*m.cmd.ServiceTime, float64(m.withinTarget)/float64(max(1, total)))
	fmt.Printf("p50 %.1f ms, p99 %.1f ms, p999 %.1f ms\n", ms(50), ms(99), ms(99.9))
}
