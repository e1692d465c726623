package stand

import (
	"context"
	"sync"
	"time"

	"magnolialedge"
)

const (
	// measureServiceTimeMs is the mean service time of an upstream, without noise.
	measureServiceTimeMs = 25
	// measureEntries is the number of entries.
	measureEntries = 16
	// measureWarmUp is the time under load before a measurement starts.
	measureWarmUp = 3 * time.Second
	// measureTimeout is the callers' timeout.
	measureTimeout = 2 * time.Second
	// measureCrossRegionDelay is the one-way delay between regions.
	measureCrossRegionDelay = 20 * time.Millisecond
)

// measureUpstream slows each upstream down fourfold for 40 ms of every 400 ms.
var measureUpstream = UpstreamBehaviour{MeanServiceTimeMs: measureServiceTimeMs, NoiseFactor: 4, NoiseDurationMs: 40, NoisePeriodMs: 400}

// Scenario is one measurement.
type Scenario struct {
	Name string
	// LoadPercent is the offered load in percent of the capacity.
	LoadPercent float64
	// ServiceCount is the number of services that are called; 0 means all.
	ServiceCount int
	// SendCrashingRequest adds requests that crash the upstreams that run them.
	SendCrashingRequest bool
	// InjectFault is called when the measurement starts, after the warm-up.
	InjectFault func(c *Cluster)
}

// MeasurementConfig configures Measure. Naive selects the baseline policy.
type MeasurementConfig struct {
	Document magnolialedge.Document
	Duration time.Duration
	Naive    bool
	Seed     uint64
	services []magnolialedge.Service
}

// CapacityPerSecond returns the requests per second that the upstreams of services
// can serve under noise.
func CapacityPerSecond(services []magnolialedge.Service) float64 {
	slots := 0
	for _, s := range services {
		for _, t := range s.Targets {
			slots += t.Slots
		}
	}
	noisyFraction := float64(measureUpstream.NoiseDurationMs) / float64(measureUpstream.NoisePeriodMs)
	meanSpeed := 1 - noisyFraction*(1-1/measureUpstream.NoiseFactor)
	return float64(slots) / (measureServiceTimeMs / 1000.0) * meanSpeed
}

// Measure starts a cluster and runs one scenario under one policy. After a load
// above the capacity it also measures the recovery.
func Measure(ctx context.Context, cfg MeasurementConfig, sc Scenario) (Measurement, error) {
	c, err := StartCluster(ClusterConfig{
		Document:         cfg.Document,
		Entries:          measureEntries,
		CrossRegionDelay: measureCrossRegionDelay,
		Upstream:         measureUpstream,
		QueuePerSlot:     2,
		Naive:            cfg.Naive,
		Seed:             cfg.Seed,
	})
	if err != nil {
		return Measurement{}, err
	}
	defer c.Close()
	cfg.services = c.Document.Services
	if sc.ServiceCount > 0 {
		cfg.services = cfg.services[:sc.ServiceCount]
	}
	rate := CapacityPerSecond(cfg.services) * sc.LoadPercent / 100
	c.runLoad(ctx, cfg, rate, measureWarmUp, nil)
	m := c.measureScenario(ctx, cfg, sc, rate)
	if sc.LoadPercent > 100 {
		m.RecoveryMs = c.measureRecovery(ctx, cfg)
	}
	return m, nil
}

// measureScenario runs a scenario after its warm-up.
func (c *Cluster) measureScenario(ctx context.Context, cfg MeasurementConfig, sc Scenario, rate float64) Measurement {
	before := c.upstreamTotals()
	start := time.Now()
	cpuBefore := readCPUTimes()
	if sc.InjectFault != nil {
		sc.InjectFault(c)
	}
	if sc.SendCrashingRequest {
		go c.crashLoadGenerator(cfg).Run(ctx)
	}
	faultyRequests := c.countFaultyRequests(start)
	result := c.runLoad(ctx, cfg, rate, cfg.Duration, nil)
	seconds := time.Since(start).Seconds() + measureWarmUp.Seconds()
	after := c.upstreamTotals()
	m := Measurement{
		Scenario:         sc.Name,
		Policy:           policyName(cfg.Naive),
		LoadPercent:      sc.LoadPercent,
		OfferedPerSecond: rate,
		GoodputPerSecond: float64(result.OK) / cfg.Duration.Seconds(),
		LoadResult:       result,
		Crashes:          after.crashes - before.crashes,
		CPUStealPercent:  readCPUTimes().stealPercentSince(cpuBefore),
		BudgetUsage:      c.budgetUsage(seconds),
	}
	if result.Sent > 0 {
		m.ExtraRunsPercent = 100 * (float64(after.ran-before.ran)/float64(result.Sent) - 1)
		m.FaultyUpstreamPercent = 100 * float64(faultyRequests()) / float64(result.Sent)
	}
	return m
}

func policyName(naive bool) string {
	if naive {
		return "naive"
	}
	return "magnolialedge"
}

func (c *Cluster) runLoad(ctx context.Context, cfg MeasurementConfig, rate float64, duration time.Duration, onResponse func(time.Time, Response)) LoadResult {
	load := NewLoadGenerator(c.loadConfig(cfg, rate, duration))
	load.onResponse = onResponse
	return load.Run(ctx)
}

func (c *Cluster) loadConfig(cfg MeasurementConfig, rate float64, duration time.Duration) LoadConfig {
	loadCfg := LoadConfig{Rate: rate, Duration: duration, Callers: 96, Timeout: measureTimeout, Seed: cfg.Seed}
	loadCfg.EntryGroups = c.CallerAddressesByRegion()
	for _, sc := range cfg.services {
		loadCfg.Services = append(loadCfg.Services, sc.Name)
	}
	return loadCfg
}

const (
	// recoveryLoadPercent is the load after an overload, in percent of the capacity.
	recoveryLoadPercent = 50
	// recoveryDuration is how long the recovery is observed.
	recoveryDuration = 5 * time.Second
	// lateResponseMs is the latency above which a response counts as late.
	lateResponseMs = 300
)

// measureRecovery returns the time in milliseconds from the end of an overload to
// the intended start of the last request that failed or was late.
func (c *Cluster) measureRecovery(ctx context.Context, cfg MeasurementConfig) float64 {
	start := time.Now()
	last := 0.0
	rate := CapacityPerSecond(cfg.services) * recoveryLoadPercent / 100
	c.runLoad(ctx, cfg, rate, recoveryDuration, func(intended time.Time, r Response) {
		late := time.Since(intended).Milliseconds() > lateResponseMs
		if late || !r.OK() {
			last = max(last, float64(intended.Sub(start).Milliseconds()))
		}
	})
	return last
}

type totals struct {
	ran     int64
	crashes int64
}

func (c *Cluster) upstreamTotals() totals {
	var t totals
	for _, r := range c.UpstreamRecords() {
		t.ran += r.Ran
		t.crashes += r.Crashes
	}
	return t
}

// countFaultyRequests returns a function that returns the number of requests that
// faulty upstreams received later than one second after start.
func (c *Cluster) countFaultyRequests(start time.Time) func() int64 {
	var mu sync.Mutex
	baseline := map[string]int64{}
	time.AfterFunc(time.Until(start.Add(time.Second)), func() {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range c.faultyRecords() {
			baseline[r.Name] = r.Ran + r.Failed
		}
	})
	return func() int64 {
		mu.Lock()
		defer mu.Unlock()
		var n int64
		for _, r := range c.faultyRecords() {
			n += r.Ran + r.Failed - baseline[r.Name]
		}
		return n
	}
}

func (c *Cluster) faultyRecords() []UpstreamRecord {
	var out []UpstreamRecord
	for _, u := range c.Upstreams {
		var r UpstreamRecord
		if u.faulty && fetchControl(u.Address, "record", &r) == nil {
			out = append(out, r)
		}
	}
	return out
}

// crashLoadGenerator returns a generator that sends a request every 200 ms which
// crashes the upstream that runs it.
func (c *Cluster) crashLoadGenerator(cfg MeasurementConfig) *LoadGenerator {
	loadCfg := c.loadConfig(cfg, 5, cfg.Duration)
	loadCfg.Services = loadCfg.Services[:1]
	loadCfg.CrashUpstreams = true
	return NewLoadGenerator(loadCfg)
}
