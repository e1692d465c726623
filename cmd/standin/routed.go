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

// routedCommand runs entries on a stand-in of the users' platform, and
// measures them if a rate is given.
type routedCommand struct {
	Entries   int           `help:"Number of entries." default:"2"`
	Port      int           `help:"First port of the entries, which take four each." default:"8100"`
	PerZone   int           `help:"Upstreams in each of two availability zones." default:"3"`
	Slots     int           `help:"Slots of an upstream." default:"4"`
	Work      time.Duration `help:"Work of a request." default:"20ms"`
	Noise     float64       `help:"Share of time in which an upstream is seven times slower." default:"0.25"`
	Rate      float64       `help:"Requests a second to measure with; 0 only serves." default:"0"`
	Duration  time.Duration `help:"Length of the measurement." default:"5s"`
	Seed      uint64        `help:"Seed of the noise and the load." default:"1"`
	Logs      bool          `help:"Print the entries' logs."`
	NoiseStep time.Duration `help:"Time between two draws of the noise." default:"500ms"`
}

const (
	// routedTimeout is the deadline of the calls that measure.
	routedTimeout = 2 * time.Second

	entryIP     = "127.0.0.1"
	noiseFactor = 7
)

// Run serves until it is interrupted or the measurement has ended.
func (c *routedCommand) Run(ctx context.Context) error {
	w := stand.NewCluster(stand.ClusterConfig{
		Zones: []string{"east-a", "east-b"}, UpstreamsPerZone: c.PerZone, Slots: c.Slots, WorkDuration: c.Work,
		NoiseProbability: c.Noise, NoiseFactor: noiseFactor, NoiseInterval: c.NoiseStep, Seed: c.Seed,
	})
	defer w.Close()
	go w.Run(ctx)
	var callers []string
	for i := range c.Entries {
		s := c.settings(w, i)
		if err := c.start(ctx, s); err != nil {
			return err
		}
		callers = append(callers, s.CallerAddress)
	}
	d := platform.HeaderProtocol()
	fmt.Printf("curl -H 'Host: %s' -H '%s: 1' -H '%s: 1000' http://%s/reads/1\n", stand.Host, d.RequestID, d.Deadline, callers[0])
	if c.Rate <= 0 {
		<-ctx.Done()
		return nil
	}
	m := newMeasurement(c, callers)
	m.run(ctx)
	m.print()
	return nil
}

func (c *routedCommand) settings(w *stand.Cluster, i int) node.Settings {
	at := func(n int) string { return net.JoinHostPort(entryIP, strconv.Itoa(c.Port+4*i+n)) }
	return node.Settings{
		Name: fmt.Sprintf("entry-%d", i), Zone: []string{"east-a", "east-b"}[i%2], Region: "east", IP: entryIP,
		Regions:       map[string]string{"east-a": "east", "east-b": "east"},
		CallerAddress: at(0), ReadyAddress: at(1), DirectoryAddress: at(2), PeerAddress: at(3), FirstPort: c.Port + 4*i + 3, LastPort: c.Port + 4*i + 3,
		StoreAddress: w.Store.Address(), StopTimeout: 6 * time.Second, RetryRatio: 0.2, RetryExtra: 56, MaxResolveTTL: 5 * time.Second,
	}
}

func (c *routedCommand) start(ctx context.Context, s node.Settings) error {
	logs := io.Discard
	if c.Logs {
		logs = os.Stdout
	}
	n, err := node.New(node.Config{
		Settings:  s,
		Headers:   platform.HeaderProtocol(),
		Decoder:   platform.Decoder{},
		API:       platform.EntryAPI{},
		NewStore:  platform.OpenStore,
		LogWriter: logs,
	})
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- n.Run(ctx, nil) }()
	return awaitReady(s.ReadyAddress, failed)
}

// readyLimit bounds the start of an entry.
const readyLimit = 5 * time.Second

func awaitReady(address string, failed <-chan error) error {
	for until := time.Now().Add(readyLimit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
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
	return errors.Newf("the entry at %s does not become ready", address)
}

// measurement is an open-loop load; latencies count from the intended start.
type measurement struct {
	cmd     *routedCommand
	callers []string
	client  *http.Client
	mu      sync.Mutex
	hist    *hdrhistogram.Histogram
	status  map[int]int
	inAim   int
}

func newMeasurement(c *routedCommand, callers []string) *measurement {
	return &measurement{
		cmd: c, callers: callers, status: map[int]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		hist:   hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
}

func (m *measurement) run(ctx context.Context) {
	r := rand.New(rand.NewPCG(m.cmd.Seed, 2))
	var group sync.WaitGroup
	begun := time.Now()
	next := begun
	for i := 0; next.Sub(begun) < m.cmd.Duration && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(next))
		group.Add(1)
		go func(at time.Time) {
			defer group.Done()
			m.one(m.callers[i%len(m.callers)], i, at)
		}(next)
		next = next.Add(time.Duration(r.ExpFloat64() / m.cmd.Rate * float64(time.Second)))
	}
	group.Wait()
}

func (m *measurement) one(address string, i int, at time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), routedTimeout)
	defer cancel()
	reply, _ := stand.Send(ctx, m.client, address, stand.Request{
		ID: strconv.Itoa(i), Method: http.MethodGet, Path: fmt.Sprintf("/reads/%d", i), Timeout: routedTimeout,
	})
	status := reply.Status
	took := time.Since(at)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status[status]++
	if status == http.StatusOK {
		_ = m.hist.RecordValue(took.Microseconds())
		if took <= 3*m.cmd.Work {
			m.inAim++
		}
	}
}

func (m *measurement) print() {
	ms := func(q float64) float64 { return float64(m.hist.ValueAtQuantile(q)) / 1000 }
	total := 0
	for _, n := range m.status {
		total += n
	}
	fmt.Printf("requests %d, by status (0: no answer) %v, within %s %.3f\n", total, m.status, 3*m.cmd.Work, float64(m.inAim)/float64(max(1, total)))
	fmt.Printf("p50 %.1f ms, p99 %.1f ms, p999 %.1f ms\n", ms(50), ms(99), ms(99.9))
}
