package stand

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"magnolialedge"
)

const (
	// proveRate is the number of requests a second of each load of a proof.
	proveRate = 120
	// proveTimeout is the callers' timeout in a proof.
	proveTimeout = 4 * time.Second
	// proveSettle passes after a fault has ended and before the next begins.
	proveSettle = 2 * time.Second
)

// FaultInjectionConfig constructs a proof.
type FaultInjectionConfig struct {
	Entries int
	// FaultPairs is the number of pairs of faults that are met at once.
	FaultPairs int
	// Faults are the names of the faults to meet; none stands for all.
	FaultNames []string
	Seed       uint64
	// ShortFaults lessens the length of each fault.
	ShortFaults bool
	// Report takes a line for each fault.
	Report func(line string)
	LogDir string
}

// proof runs faults against a world under load and checks what must always hold.
type proof struct {
	cfg    FaultInjectionConfig
	world  *Cluster
	random *rand.Rand
	begun  time.Time

	mu        sync.Mutex
	keyed     []KeyedRequest
	cutByPlan []string
	breaches  []string
	revisions map[string]int64
}

// InjectFaults meets the faults one after the other and then in pairs, under load, and
// returns every breach of what must always hold.
func InjectFaults(ctx context.Context, cfg FaultInjectionConfig) ([]string, error) {
	doc, err := proveDocument()
	if err != nil {
		return nil, err
	}
	w, err := StartCluster(ClusterConfig{
		Document:         doc,
		Entries:          cfg.Entries,
		CrossRegionDelay: measureDelay,
		Upstream:         UpstreamBehaviour{MeanServiceTimeMs: 5},
		QueuePerSlot:     4,
		Seed:             cfg.Seed,
		LeaveTime:        6 * time.Second,
		LogDir:           cfg.LogDir,
	})
	if err != nil {
		return nil, err
	}
	defer w.Close()
	p := &proof{cfg: cfg, world: w, random: rand.New(rand.NewPCG(cfg.Seed, 3)), begun: time.Now(), revisions: map[string]int64{}}
	watch, stop := context.WithCancel(ctx)
	defer stop()
	go p.watchRevisions(watch)
	time.Sleep(proveSettle)
	for _, faults := range p.plan() {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		p.meet(ctx, faults)
	}
	stop()
	p.check()
	return p.breaches, nil
}

// proveDocument is the sample with four targets a service and one service whose
// callers name the entries they tried.
func proveDocument() (magnolialedge.Document, error) {
	doc, err := SampleDocument("gandaki")
	if err != nil {
		return doc, err
	}
	for _, s := range doc.Services {
		s = s.WithTargets(s.Targets[:6])
		if s.Name == callerService {
			s.KeyLookup = magnolialedge.KeyLookupCaller
		}
		doc = doc.WithService(s)
	}
	return doc, nil
}

// The services and paths of the non-idempotent requests of a proof.
const (
	callerService = "asset-history"
	callerPath    = "/assets/7/corrections"
	storeService  = "permit-ledger"
	storePath     = "/permits/7/close"
)

// plan returns each fault alone, and then pairs.
func (p *proof) plan() [][]fault {
	all := faultsNamed(p.cfg.FaultNames)
	var out [][]fault
	for _, f := range all {
		out = append(out, []fault{f})
	}
	for range p.cfg.FaultPairs {
		if len(all) < 2 {
			break
		}
		i := p.random.IntN(len(all))
		j := (i + 1 + p.random.IntN(len(all)-1)) % len(all)
		out = append(out, []fault{all[i], all[j]})
	}
	return out
}

// meet runs the loads while the faults last, and reports what callers saw.
func (p *proof) meet(ctx context.Context, faults []fault) {
	length := time.Duration(0)
	name := ""
	planned := true
	for _, f := range faults {
		length = max(length, f.length(p.cfg.ShortFaults))
		if name != "" {
			name += " + "
		}
		name += f.name
		planned = planned && f.planned
	}
	done := make(chan []LoadResult, 1)
	go func() { done <- p.load(ctx, length+2*proveSettle) }()
	time.Sleep(proveSettle)
	var wg sync.WaitGroup
	for _, f := range faults {
		seed := p.random.Uint64()
		wg.Go(func() { f.run(p, rand.New(rand.NewPCG(seed, 5)), f.length(p.cfg.ShortFaults)) })
	}
	wg.Wait()
	p.note(name, planned, <-done)
	if err := p.world.WaitReady(readyTimeout); err != nil {
		p.breach("after %s: %v", name, err)
	}
}

func (p *proof) load(ctx context.Context, length time.Duration) []LoadResult {
	base := LoadConfig{
		EntryGroups: p.world.CallerAddressesByRegion(),
		Rate:        proveRate,
		Duration:    length,
		Callers:     24,
		MaxResends:  6,
		Timeout:     proveTimeout,
	}
	reads, byStore, byCaller := base, base, base
	for _, s := range p.world.Document.Services {
		reads.Services = append(reads.Services, s.Name)
	}
	reads.UploadPercent = 2
	reads.UploadBytes = 300_000
	byStore.Services = []string{storeService}
	byStore.KeyedPath = storePath
	byStore.KeyedPercent = 100
	byCaller.Services = []string{callerService}
	byCaller.KeyedPath = callerPath
	byCaller.KeyedPercent = 100
	out := make([]LoadResult, 3)
	var wg sync.WaitGroup
	for i, cfg := range []LoadConfig{reads, byStore, byCaller} {
		cfg.Seed = p.random.Uint64()
		wg.Go(func() { out[i] = NewLoadGenerator(cfg).Run(ctx) })
	}
	wg.Wait()
	return out
}

func (p *proof) note(name string, planned bool, results []LoadResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, r := range results {
		kind := [...]string{"reads and uploads", "keys by store", "keys by caller"}[i]
		p.cfg.Report(fmt.Sprintf("| %s | %s | %d | %d | %s | %d | %d | %.0f | %.0f |",
			name, kind, r.Sent, r.OK, kindsOf(r.Refused), r.Failed, r.NoResponse+r.Truncated, r.P50Ms, r.P99Ms))
		p.keyed = append(p.keyed, r.Keyed...)
		if r.Mismatched > 0 {
			p.breaches = append(p.breaches, fmt.Sprintf("%s, %s: %d answers were another request's: %v", name, kind, r.Mismatched, r.Errors))
		}
		if planned && r.NoResponse+r.Truncated > 0 {
			p.cutByPlan = append(p.cutByPlan, fmt.Sprintf("%s, %s: %d requests without a whole answer: %v", name, kind, r.NoResponse+r.Truncated, r.Errors))
		}
		if r.MissingRetryAfter > 0 {
			p.breaches = append(p.breaches, fmt.Sprintf("%s, %s: %d refusals without Retry-After", name, kind, r.MissingRetryAfter))
		}
	}
}

// FaultInjectionTableHeader is the head of the table of a proof.
const FaultInjectionTableHeader = "| fault | load | sent | answered | refused | upstream errors | no whole answer | p50 ms | p99 ms |\n|---|---|---|---|---|---|---|---|---|"

func (p *proof) breach(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breaches = append(p.breaches, fmt.Sprintf(format, args...))
}

// watchEvery is the time between two looks at the revisions in force.
const watchEvery = 300 * time.Millisecond

// watchRevisions reports each revision that goes down, also over a restart.
func (p *proof) watchRevisions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, d := range p.world.Dumps() {
			if d.Revision == 0 {
				continue
			}
			p.mu.Lock()
			if d.Revision < p.revisions[d.Instance.Name] {
				p.breaches = append(p.breaches, fmt.Sprintf("%s went from revision %d to %d", d.Instance.Name, p.revisions[d.Instance.Name], d.Revision))
			}
			p.revisions[d.Instance.Name] = d.Revision
			p.mu.Unlock()
		}
		time.Sleep(watchEvery)
	}
}

// check compares the upstreams' records with what the callers were told.
func (p *proof) check() {
	records := p.world.UpstreamRecords()
	runs := map[string]int{}
	ran := map[string]bool{}
	for _, r := range records {
		for _, run := range r.Runs {
			runs[run.Key]++
			ran[run.RequestID] = true
		}
		if r.LateRequests > 0 {
			p.breach("%s got %d requests more than 3 s after its drain began", r.Name, r.LateRequests)
		}
	}
	p.mu.Lock()
	keyed := slices.Clone(p.keyed)
	p.mu.Unlock()
	unknown := 0
	for _, k := range keyed {
		if runs[k.Key] > 1 {
			p.breach("key %s of %s was run %d times", k.Key, k.Service, runs[k.Key])
		}
		if !k.Ran && len(k.NotRunIDs) == 0 {
			unknown++
		}
		for _, id := range k.NotRunIDs {
			if ran[id] {
				p.breach("attempt %s was told notRun and was run", id)
			}
		}
	}
	for _, c := range p.cutByPlan {
		p.breach("a planned stop cut requests: %s", c)
	}
	p.checkBudget()
	p.cfg.Report(fmt.Sprintf("\n%d keys, of which %d ended without a known outcome; %d upstream records.", len(keyed), unknown, len(records)))
}

func (p *proof) checkBudget() {
	seconds := time.Since(p.begun).Seconds()
	for _, l := range p.world.spent(seconds) {
		if l.BytesPerSecond > l.BudgetBytesPerSecond || l.OperationsPerSecond > l.BudgetOperationsPerSecond {
			p.breach("measuring from %s to %s took %.0f bytes/s and %.2f messages/s", l.From, l.To, l.BytesPerSecond, l.OperationsPerSecond)
		}
	}
}
