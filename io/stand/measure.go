package stand

import (
	"context"
	"fmt"
	"io"
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
var measureNoise = UpstreamBehaviour{MeanMs: measureMeanMs, NoiseFactor: 4, NoiseForMs: 40, NoiseEveryMs: 400}

// Scenario is one measurement.
type Scenario struct {
	Name string
	// Percent is the load as a share of the capacity.
	Percent float64
	// Crash is sent again and again while the load runs.
	Crash bool
	// Fault is applied when the measurement begins to count.
	Fault func(s *System)
}

// Measurement is what one scenario gave under one policy.
type Measurement struct {
	Scenario string
	Policy   string
	Percent  float64
	Offered  float64
	Goodput  float64
	LoadResult
	// ExtraPercent is the share of runs at upstreams beyond the requests.
	ExtraPercent float64
	// FaultPercent is the share of calls that reached the faulty upstream
	// later than a second after the fault began.
	FaultPercent float64
	// Budget shows whether the measuring budget was kept, by pair of regions.
	Spent []SpentLine
	// RecoveryMs is the time from the end of an overload until calls are
	// answered as before.
	RecoveryMs float64
}

// SpentLine is what was spent on measuring between two regions.
type SpentLine struct {
	From, To                 string
	BytesPerSecond           float64
	BudgetBytesPerSecond     float64
	OperationsPerSecond      float64
	BudgetOperationPerSecond float64
}

// MeasureConfig constructs measurements.
type MeasureConfig struct {
	Document magnolialedge.Document
	Length   time.Duration
	Naive    bool
	Seed     uint64
	Progress io.Writer
}

// Capacity returns the requests a second that the upstreams can serve, noise
// included.
func Capacity(doc magnolialedge.Document) float64 {
	slots := 0
	for _, s := range doc.Services {
		for _, t := range s.Targets {
			slots += t.Slots
		}
	}
	noisy := float64(measureNoise.NoiseForMs) / float64(measureNoise.NoiseEveryMs)
	speed := 1 - noisy*(1-1/measureNoise.NoiseFactor)
	return float64(slots) / (measureMeanMs / 1000.0) * speed
}

// Measure runs one scenario under one policy.
func Measure(ctx context.Context, cfg MeasureConfig, sc Scenario) (Measurement, error) {
	s, err := StartSystem(SystemConfig{
		Document:         cfg.Document,
		Entries:          measureEntries,
		CrossRegionDelay: measureDelay,
		Upstream:         measureNoise,
		QueuePerSlot:     2,
		CrashFor:         2 * time.Second,
		Naive:            cfg.Naive,
		Seed:             cfg.Seed,
	})
	if err != nil {
		return Measurement{}, err
	}
	defer s.Close()
	rate := Capacity(cfg.Document) * sc.Percent / 100
	s.runLoad(ctx, cfg, rate, measureWarmUp, nil)
	before := s.totals()
	begun := time.Now()
	if sc.Fault != nil {
		sc.Fault(s)
	}
	var crash *Load
	if sc.Crash {
		crash = s.crashLoad(cfg)
		go crash.Run(ctx)
	}
	marked := s.watchFaulty(begun)
	result := s.runLoad(ctx, cfg, rate, cfg.Length, nil)
	took := time.Since(begun).Seconds()
	after := s.totals()
	m := Measurement{
		Scenario:   sc.Name,
		Policy:     policyName(cfg.Naive),
		Percent:    sc.Percent,
		Offered:    rate,
		Goodput:    float64(result.OK) / cfg.Length.Seconds(),
		LoadResult: result,
		Spent:      s.spent(took + measureWarmUp.Seconds()),
	}
	if result.Sent > 0 {
		m.ExtraPercent = 100 * (float64(after.ran-before.ran)/float64(result.Sent) - 1)
		m.FaultPercent = 100 * float64(marked()) / float64(result.Sent)
	}
	return m, nil
}

func policyName(naive bool) string {
	if naive {
		return "naive"
	}
	return "magnolialedge"
}

func (s *System) runLoad(ctx context.Context, cfg MeasureConfig, rate float64, length time.Duration, after func(time.Time, Reply)) LoadResult {
	load := NewLoad(s.loadConfig(cfg, rate, length))
	load.after = after
	return load.Run(ctx)
}

func (s *System) loadConfig(cfg MeasureConfig, rate float64, length time.Duration) LoadConfig {
	lc := LoadConfig{Rate: rate, Duration: length, Callers: 96, Timeout: measureTimeout, Seed: cfg.Seed}
	for _, r := range s.Document.Regions {
		lc.Groups = append(lc.Groups, s.CallerAddresses(r.Name))
	}
	for _, sc := range s.Document.Services {
		lc.Services = append(lc.Services, sc.Name)
	}
	return lc
}

type totals struct {
	ran     int64
	crashes int64
}

func (s *System) totals() totals {
	var t totals
	for _, r := range s.Records() {
		t.ran += r.Ran
		t.crashes += r.Crashes
	}
	return t
}

// watchFaulty returns a function that gives the calls which reached a faulty
// upstream later than a second after begun.
func (s *System) watchFaulty(begun time.Time) func() int64 {
	var mu sync.Mutex
	first := map[string]int64{}
	time.AfterFunc(time.Until(begun.Add(time.Second)), func() {
		mu.Lock()
		defer mu.Unlock()
		for _, u := range s.faulty() {
			r := u.Record()
			first[r.Name] = r.Ran + r.Failed
		}
	})
	return func() int64 {
		mu.Lock()
		defer mu.Unlock()
		var n int64
		for _, u := range s.faulty() {
			r := u.Record()
			n += r.Ran + r.Failed - first[r.Name]
		}
		return n
	}
}

func (s *System) faulty() []*Upstream {
	var out []*Upstream
	for _, u := range s.Upstreams {
		b := u.now()
		if b.FailFast || b.Factor > 1 || b.Draining {
			out = append(out, u)
		}
	}
	return out
}

// spent sums what every entry spent on measuring, by pair of regions.
func (s *System) spent(seconds float64) []SpentLine {
	sums := map[[2]string]*SpentLine{}
	var order [][2]string
	for _, e := range s.Entries {
		dump, err := DumpOf(e.OperatorsAddress(), Token)
		if err != nil {
			continue
		}
		for _, line := range dump.Measuring {
			pair := [2]string{e.Settings.Region, line.To}
			if sums[pair] == nil {
				sums[pair] = &SpentLine{From: pair[0], To: pair[1]}
				order = append(order, pair)
			}
			sums[pair].BytesPerSecond += line.Bytes / seconds
			sums[pair].OperationsPerSecond += line.Operations / seconds
		}
	}
	out := make([]SpentLine, 0, len(order))
	for _, pair := range order {
		s.budget(sums[pair])
		out = append(out, *sums[pair])
	}
	return out
}

func (s *System) budget(l *SpentLine) {
	m := s.Document.Measuring
	if l.From == l.To {
		n := float64(len(s.Document.Services))
		l.BudgetBytesPerSecond = m.BytesPerSecond * n
		l.BudgetOperationPerSecond = m.OperationsPerSecond * n
		return
	}
	for _, p := range m.CrossRegion {
		if p.From == l.From && p.To == l.To {
			l.BudgetBytesPerSecond = p.BytesPerSecond
			l.BudgetOperationPerSecond = p.OperationsPerSecond
		}
	}
}

// crashLoad sends the same request every 200 ms, which crashes each upstream
// that runs it.
func (s *System) crashLoad(cfg MeasureConfig) *Load {
	lc := s.loadConfig(cfg, 5, cfg.Length)
	lc.Services = lc.Services[:1]
	lc.Crash = true
	return NewLoad(lc)
}

// String returns the measurement as a row of a table.
func (m Measurement) String() string {
	refused := int64(0)
	for _, n := range m.Refused {
		refused += n
	}
	return fmt.Sprintf("| %s | %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %d | %d | %d | %.1f | %.2f |",
		m.Scenario, m.Policy, m.Percent, m.Offered, m.Goodput, m.P50Ms, m.P99Ms, m.P999Ms, refused, m.Failed, m.Lost+m.Cut+m.Foreign, m.ExtraPercent, m.FaultPercent)
}

// MeasureHeader is the head of the table of measurements.
const MeasureHeader = "| scenario | policy | load % | offered/s | answered/s | p50 ms | p99 ms | p999 ms | refused | upstream errors | lost, cut or foreign | extra runs % | at faulty after 1 s % |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|"
