package stand

import (
	"context"
	"sync"
	"time"

	"magnolialedge"
)

const (
	// measureMeanMs is the mean time of a request in measurements.
	measureMeanMs = 25
	// measureEntries is the number of entries in measurements.
	measureEntries = 16
	// measureWarmUp passes before a measurement counts.
	measureWarmUp = 3 * time.Second
	// measureTimeout is the callers' timeout in measurements.
	measureTimeout = 2 * time.Second
	// measureDelay is the one-way delay between regions in measurements.
	measureDelay = 20 * time.Millisecond
)

// measureNoise slows each upstream fourfold for 40 ms in every 400 ms.
var measureNoise = UpstreamBehaviour{MeanServiceTimeMs: measureMeanMs, NoiseFactor: 4, NoiseDurationMs: 40, NoisePeriodMs: 400}

// Scenario is one measurement.
type Scenario struct {
	Name string
	// Percent is the load as a share of the capacity.
	LoadPercent float64
	// Services is the number of services that are called; 0 stands for all.
	ServiceCount int
	// Crash is sent again and again while the load runs.
	SendCrashingRequest bool
	// Fault is applied when the measurement begins to count.
	InjectFault func(w *Cluster)
}

// MeasurementConfig constructs measurements.
type MeasurementConfig struct {
	Document magnolialedge.Document
	Duration time.Duration
	Naive    bool
	Seed     uint64
	services []magnolialedge.Service
}

// CapacityPerSecond returns the requests a second that the upstreams of services can
// serve, noise included.
func CapacityPerSecond(services []magnolialedge.Service) float64 {
	slots := 0
	for _, s := range services {
		for _, t := range s.Targets {
			slots += t.Slots
		}
	}
	noisy := float64(measureNoise.NoiseDurationMs) / float64(measureNoise.NoisePeriodMs)
	speed := 1 - noisy*(1-1/measureNoise.NoiseFactor)
	return float64(slots) / (measureMeanMs / 1000.0) * speed
}

// Measure runs one scenario under one policy.
func Measure(ctx context.Context, cfg MeasurementConfig, sc Scenario) (Measurement, error) {
	w, err := StartCluster(ClusterConfig{
		Document:         cfg.Document,
		Entries:          measureEntries,
		CrossRegionDelay: measureDelay,
		Upstream:         measureNoise,
		QueuePerSlot:     2,
		Naive:            cfg.Naive,
		Seed:             cfg.Seed,
	})
	if err != nil {
		return Measurement{}, err
	}
	defer w.Close()
	cfg.services = w.Document.Services
	if sc.ServiceCount > 0 {
		cfg.services = cfg.services[:sc.ServiceCount]
	}
	rate := CapacityPerSecond(cfg.services) * sc.LoadPercent / 100
	w.runLoad(ctx, cfg, rate, measureWarmUp, nil)
	m := w.measured(ctx, cfg, sc, rate)
	if sc.LoadPercent > 100 {
		m.RecoveryMs = w.recovery(ctx, cfg)
	}
	return m, nil
}

// measured runs the part of a scenario that counts.
func (w *Cluster) measured(ctx context.Context, cfg MeasurementConfig, sc Scenario, rate float64) Measurement {
	before := w.totals()
	begun := time.Now()
	processor := readProcessor()
	if sc.InjectFault != nil {
		sc.InjectFault(w)
	}
	if sc.SendCrashingRequest {
		go w.crashLoad(cfg).Run(ctx)
	}
	marked := w.watchFaulty(begun)
	result := w.runLoad(ctx, cfg, rate, cfg.Duration, nil)
	seconds := time.Since(begun).Seconds() + measureWarmUp.Seconds()
	after := w.totals()
	m := Measurement{
		Scenario:         sc.Name,
		Policy:           policyName(cfg.Naive),
		LoadPercent:      sc.LoadPercent,
		OfferedPerSecond: rate,
		GoodputPerSecond: float64(result.OK) / cfg.Duration.Seconds(),
		LoadResult:       result,
		Crashes:          after.crashes - before.crashes,
		CPUStealPercent:  readProcessor().stolenSince(processor),
		BudgetUsage:      w.spent(seconds),
	}
	if result.Sent > 0 {
		m.ExtraRunsPercent = 100 * (float64(after.ran-before.ran)/float64(result.Sent) - 1)
		m.FaultyUpstreamPercent = 100 * float64(marked()) / float64(result.Sent)
	}
	return m
}

func policyName(naive bool) string {
	if naive {
		return "naive"
	}
	return "magnolialedge"
}

func (w *Cluster) runLoad(ctx context.Context, cfg MeasurementConfig, rate float64, length time.Duration, after func(time.Time, Response)) LoadResult {
	load := NewLoadGenerator(w.loadConfig(cfg, rate, length))
	load.after = after
	return load.Run(ctx)
}

func (w *Cluster) loadConfig(cfg MeasurementConfig, rate float64, length time.Duration) LoadConfig {
	lc := LoadConfig{Rate: rate, Duration: length, Callers: 96, Timeout: measureTimeout, Seed: cfg.Seed}
	lc.EntryGroups = w.CallerAddressesByRegion()
	for _, sc := range cfg.services {
		lc.Services = append(lc.Services, sc.Name)
	}
	return lc
}

const (
	// recoveryPercent is the load after an overload, in percent.
	recoveryPercent = 50
	// recoveryLength is how long the recovery is watched.
	recoveryLength = 5 * time.Second
	// recoveredMs is the latency from which an answer counts as late.
	recoveredMs = 300
)

// recovery returns the time in milliseconds after an overload at which the last
// call was refused or late.
func (w *Cluster) recovery(ctx context.Context, cfg MeasurementConfig) float64 {
	begun := time.Now()
	last := 0.0
	rate := CapacityPerSecond(cfg.services) * recoveryPercent / 100
	w.runLoad(ctx, cfg, rate, recoveryLength, func(intended time.Time, r Response) {
		late := time.Since(intended).Milliseconds() > recoveredMs
		if late || !r.OK() {
			last = max(last, float64(intended.Sub(begun).Milliseconds()))
		}
	})
	return last
}

type totals struct {
	ran     int64
	crashes int64
}

func (w *Cluster) totals() totals {
	var t totals
	for _, r := range w.UpstreamRecords() {
		t.ran += r.Ran
		t.crashes += r.Crashes
	}
	return t
}

// watchFaulty returns a function that gives the calls which reached a faulty
// upstream later than a second after begun.
func (w *Cluster) watchFaulty(begun time.Time) func() int64 {
	var mu sync.Mutex
	first := map[string]int64{}
	time.AfterFunc(time.Until(begun.Add(time.Second)), func() {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range w.faultyRecords() {
			first[r.Name] = r.Ran + r.Failed
		}
	})
	return func() int64 {
		mu.Lock()
		defer mu.Unlock()
		var n int64
		for _, r := range w.faultyRecords() {
			n += r.Ran + r.Failed - first[r.Name]
		}
		return n
	}
}

func (w *Cluster) faultyRecords() []UpstreamRecord {
	var out []UpstreamRecord
	for _, u := range w.Upstreams {
		var r UpstreamRecord
		if u.faulty && fetch(u.Address, "record", &r) == nil {
			out = append(out, r)
		}
	}
	return out
}

// crashLoad sends the same request every 200 ms, which crashes each upstream
// that runs it.
func (w *Cluster) crashLoad(cfg MeasurementConfig) *LoadGenerator {
	lc := w.loadConfig(cfg, 5, cfg.Duration)
	lc.Services = lc.Services[:1]
	lc.CrashUpstreams = true
	return NewLoadGenerator(lc)
}
