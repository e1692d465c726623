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
	// faultLoadRate is the number of requests per second of each load.
	faultLoadRate = 120
	// faultLoadTimeout is the callers' timeout.
	faultLoadTimeout = 4 * time.Second
	// settleDuration is the time under load before the faults begin and after they
	// end.
	settleDuration = 2 * time.Second
)

// FaultInjectionConfig configures InjectFaults.
type FaultInjectionConfig struct {
	Entries int
	// FaultPairs is the number of random pairs of faults that are injected at the
	// same time.
	FaultPairs int
	// FaultNames are the names of the faults to inject; empty means all.
	FaultNames []string
	Seed       uint64
	// ShortFaults uses the short duration of each fault.
	ShortFaults bool
	// Report is called with each row of the result table and each note.
	Report func(line string)
	LogDir string
}

// faultInjection injects faults into a cluster under load and collects the
// violations of its invariants.
type faultInjection struct {
	cfg       FaultInjectionConfig
	cluster   *Cluster
	random    *rand.Rand
	startedAt time.Time

	mu               sync.Mutex
	keyedRequests    []KeyedRequest
	unexpectedLosses []string
	violations       []string
	lastRevisions    map[string]int64
}

// InjectFaults starts a cluster, injects the faults one after the other and then in
// pairs under load, and returns the violations of these invariants:
//
//   - A non-idempotent request runs at most once, and no response reports notRun for
//     an attempt that ran.
//   - Each response belongs to its request, and a refusal with a status of 500 or
//     more has a Retry-After header.
//   - The applied revision of an entry never decreases.
//   - An upstream receives no request more than 3 s after its drain began.
//   - Faults marked as lossless interrupt no request.
//   - Measurement traffic stays within its budget.
func InjectFaults(ctx context.Context, cfg FaultInjectionConfig) ([]string, error) {
	doc, err := faultDocument()
	if err != nil {
		return nil, err
	}
	c, err := StartCluster(ClusterConfig{
		Document:         doc,
		Entries:          cfg.Entries,
		CrossRegionDelay: measureCrossRegionDelay,
		Upstream:         UpstreamBehaviour{MeanServiceTimeMs: 5},
		QueuePerSlot:     4,
		Seed:             cfg.Seed,
		LeaveDelay:       6 * time.Second,
		LogDir:           cfg.LogDir,
	})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	fi := &faultInjection{cfg: cfg, cluster: c, random: rand.New(rand.NewPCG(cfg.Seed, 3)), startedAt: time.Now(), lastRevisions: map[string]int64{}}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go fi.watchRevisions(watchCtx)
	time.Sleep(settleDuration)
	for _, faults := range fi.schedule() {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		fi.runFaults(ctx, faults)
	}
	stop()
	fi.checkInvariants()
	return fi.violations, nil
}

// faultDocument returns the sample document with six targets per service and one
// service whose idempotency keys are looked up at the entries that callers name.
func faultDocument() (magnolialedge.Document, error) {
	doc, err := SampleDocument("gandaki")
	if err != nil {
		return doc, err
	}
	for _, s := range doc.Services {
		s = s.WithTargets(s.Targets[:6])
		if s.Name == callerLookupService {
			s.KeyLookup = magnolialedge.KeyLookupCaller
		}
		doc = doc.WithService(s)
	}
	return doc, nil
}

// The services and paths of the non-idempotent requests, by the way in which
// entries look up their keys.
const (
	callerLookupService = "asset-history"
	callerLookupPath    = "/assets/7/corrections"
	storeLookupService  = "permit-ledger"
	storeLookupPath     = "/permits/7/close"
)

// schedule returns each fault alone, followed by random pairs of different faults.
func (fi *faultInjection) schedule() [][]fault {
	all := filterFaults(fi.cfg.FaultNames)
	var out [][]fault
	for _, f := range all {
		out = append(out, []fault{f})
	}
	for range fi.cfg.FaultPairs {
		if len(all) < 2 {
			break
		}
		i := fi.random.IntN(len(all))
		j := (i + 1 + fi.random.IntN(len(all)-1)) % len(all)
		out = append(out, []fault{all[i], all[j]})
	}
	return out
}

// runFaults injects faults at the same time under load, records the results and
// waits until every entry is ready again.
func (fi *faultInjection) runFaults(ctx context.Context, faults []fault) {
	duration := time.Duration(0)
	name := ""
	lossless := true
	for _, f := range faults {
		duration = max(duration, f.duration(fi.cfg.ShortFaults))
		if name != "" {
			name += " + "
		}
		name += f.name
		lossless = lossless && f.lossless
	}
	results := make(chan []LoadResult, 1)
	go func() { results <- fi.runLoads(ctx, duration+2*settleDuration) }()
	time.Sleep(settleDuration)
	var wg sync.WaitGroup
	for _, f := range faults {
		seed := fi.random.Uint64()
		wg.Go(func() { f.inject(fi, rand.New(rand.NewPCG(seed, 5)), f.duration(fi.cfg.ShortFaults)) })
	}
	wg.Wait()
	fi.recordResults(name, lossless, <-results)
	if err := fi.cluster.WaitReady(readyTimeout); err != nil {
		fi.addViolation("after %s: %v", name, err)
	}
}

func (fi *faultInjection) runLoads(ctx context.Context, duration time.Duration) []LoadResult {
	base := LoadConfig{
		EntryGroups: fi.cluster.CallerAddressesByRegion(),
		Rate:        faultLoadRate,
		Duration:    duration,
		Callers:     24,
		MaxResends:  6,
		Timeout:     faultLoadTimeout,
	}
	reads, storeLookup, callerLookup := base, base, base
	for _, s := range fi.cluster.Document.Services {
		reads.Services = append(reads.Services, s.Name)
	}
	reads.UploadPercent = 2
	reads.UploadBytes = 300_000
	storeLookup.Services = []string{storeLookupService}
	storeLookup.KeyedPath = storeLookupPath
	storeLookup.KeyedPercent = 100
	callerLookup.Services = []string{callerLookupService}
	callerLookup.KeyedPath = callerLookupPath
	callerLookup.KeyedPercent = 100
	out := make([]LoadResult, 3)
	var wg sync.WaitGroup
	for i, cfg := range []LoadConfig{reads, storeLookup, callerLookup} {
		cfg.Seed = fi.random.Uint64()
		wg.Go(func() { out[i] = NewLoadGenerator(cfg).Run(ctx) })
	}
	wg.Wait()
	return out
}

func (fi *faultInjection) recordResults(name string, lossless bool, results []LoadResult) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	for i, r := range results {
		kind := [...]string{"reads and uploads", "keys by store", "keys by caller"}[i]
		fi.cfg.Report(fmt.Sprintf("| %s | %s | %d | %d | %s | %d | %d | %.0f | %.0f |",
			name, kind, r.Sent, r.OK, formatByKind(r.Refused), r.Failed, r.NoResponse+r.Truncated, r.P50Ms, r.P99Ms))
		fi.keyedRequests = append(fi.keyedRequests, r.Keyed...)
		if r.Mismatched > 0 {
			fi.violations = append(fi.violations, fmt.Sprintf("%s, %s: %d responses belong to another request: %v", name, kind, r.Mismatched, r.Errors))
		}
		if lossless && r.NoResponse+r.Truncated > 0 {
			fi.unexpectedLosses = append(fi.unexpectedLosses, fmt.Sprintf("%s, %s: %d requests without a complete response: %v", name, kind, r.NoResponse+r.Truncated, r.Errors))
		}
		if r.MissingRetryAfter > 0 {
			fi.violations = append(fi.violations, fmt.Sprintf("%s, %s: %d refusals without Retry-After", name, kind, r.MissingRetryAfter))
		}
	}
}

// FaultInjectionTableHeader is the header of the result table.
const FaultInjectionTableHeader = "| fault | load | sent | answered | refused | upstream errors | no whole answer | p50 ms | p99 ms |\n|---|---|---|---|---|---|---|---|---|"

func (fi *faultInjection) addViolation(format string, args ...any) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.violations = append(fi.violations, fmt.Sprintf(format, args...))
}

// revisionPollInterval is the time between two reads of the applied revisions.
const revisionPollInterval = 300 * time.Millisecond

// watchRevisions adds a violation whenever the applied revision of an entry
// decreases, also across a restart.
func (fi *faultInjection) watchRevisions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, d := range fi.cluster.Dumps() {
			if d.Revision == 0 {
				continue
			}
			fi.mu.Lock()
			if d.Revision < fi.lastRevisions[d.Instance.Name] {
				fi.violations = append(fi.violations, fmt.Sprintf("%s: applied revision decreased from %d to %d", d.Instance.Name, fi.lastRevisions[d.Instance.Name], d.Revision))
			}
			fi.lastRevisions[d.Instance.Name] = d.Revision
			fi.mu.Unlock()
		}
		time.Sleep(revisionPollInterval)
	}
}

// checkInvariants compares the records of the upstreams with the responses that
// callers received.
func (fi *faultInjection) checkInvariants() {
	records := fi.cluster.UpstreamRecords()
	runs := map[string]int{}
	ran := map[string]bool{}
	for _, r := range records {
		for _, run := range r.Runs {
			runs[run.Key]++
			ran[run.RequestID] = true
		}
		if r.LateRequests > 0 {
			fi.addViolation("%s received %d requests more than 3 s after its drain began", r.Name, r.LateRequests)
		}
	}
	fi.mu.Lock()
	keyed := slices.Clone(fi.keyedRequests)
	fi.mu.Unlock()
	unknown := 0
	for _, k := range keyed {
		if runs[k.Key] > 1 {
			fi.addViolation("key %s of %s ran %d times", k.Key, k.Service, runs[k.Key])
		}
		if !k.Ran && len(k.NotRunIDs) == 0 {
			unknown++
		}
		for _, id := range k.NotRunIDs {
			if ran[id] {
				fi.addViolation("attempt %s ran although its response reported notRun", id)
			}
		}
	}
	for _, loss := range fi.unexpectedLosses {
		fi.addViolation("requests were interrupted under a lossless fault: %s", loss)
	}
	fi.checkMeasurementBudget()
	fi.cfg.Report(fmt.Sprintf("\n%d keys, %d of them without a known outcome; %d upstream records.", len(keyed), unknown, len(records)))
}

func (fi *faultInjection) checkMeasurementBudget() {
	seconds := time.Since(fi.startedAt).Seconds()
	for _, u := range fi.cluster.budgetUsage(seconds) {
		if u.BytesPerSecond > u.BudgetBytesPerSecond || u.OperationsPerSecond > u.BudgetOperationsPerSecond {
			fi.addViolation("measurement traffic from %s to %s exceeds its budget: %.0f bytes/s, %.2f messages/s", u.From, u.To, u.BytesPerSecond, u.OperationsPerSecond)
		}
	}
}
