package stand

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
)

const (
	// idleDuration is how long the idle cost is measured.
	idleDuration = 8 * time.Second
	// changeCount is the number of changes that are submitted.
	changeCount = 20
	// changeInterval is the time between two changes.
	changeInterval = 300 * time.Millisecond
	// clockTick is the unit of CPU time in /proc/<pid>/stat.
	clockTick = 10 * time.Millisecond
)

// SystemSize is the size of a system whose overhead is measured.
type SystemSize struct {
	Entries, Targets, Services int
}

// Overhead is the cost of the entries of a system without requests.
type Overhead struct {
	SystemSize
	// CPUPercent is the highest CPU time of any entry in percent of one core, and
	// MemoryMB the highest resident memory of any entry.
	CPUPercent float64
	MemoryMB   float64
	// StoreCallsPerSecond is the rate of calls of all entries to the key-value
	// service.
	StoreCallsPerSecond float64
	// DocumentKB is the size of the formatted document, and EncodedVersionKB the
	// size of the version that entries exchange.
	DocumentKB, EncodedVersionKB float64
	// CrossRegionKBPerChange is the traffic between regions for one change.
	CrossRegionKBPerChange float64
	// IdleCrossRegionBytesPerSecond is the traffic between regions without
	// changes.
	IdleCrossRegionBytesPerSecond float64
	// PropagationP50Ms, PropagationP99Ms and PropagationMaxMs are the times from
	// the submission of a change until every entry has applied it.
	PropagationP50Ms, PropagationP99Ms, PropagationMaxMs float64
}

// OverheadTableHeader is the header of the table of overheads.
const OverheadTableHeader = "| entries | targets | services | core % | memory MB | store calls/s | document KB | sent KB | KB across regions a change | bytes/s across regions, idle | in force p50 ms | p99 ms | max ms |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// String returns the overhead as a row under OverheadTableHeader.
func (o Overhead) String() string {
	return fmt.Sprintf("| %d | %d | %d | %.2f | %.0f | %.2f | %.1f | %.1f | %.1f | %.0f | %.0f | %.0f | %.0f |",
		o.Entries, o.Targets, o.Services, o.CPUPercent, o.MemoryMB, o.StoreCallsPerSecond, o.DocumentKB, o.EncodedVersionKB,
		o.CrossRegionKBPerChange, o.IdleCrossRegionBytesPerSecond, o.PropagationP50Ms, o.PropagationP99Ms, o.PropagationMaxMs)
}

// SyntheticDocument returns a document of the given size with four regions and
// eleven zones. Nothing listens at its target addresses.
func SyntheticDocument(size SystemSize) magnolialedge.Document {
	doc := magnolialedge.Document{
		Schema:            magnolialedge.SchemaVersion,
		MeasurementBudget: magnolialedge.MeasurementBudget{BytesPerSecond: 60000, OperationsPerSecond: 200},
	}
	for i := range 4 {
		doc.Regions = append(doc.Regions, magnolialedge.Region{Name: fmt.Sprintf("region-%d", i), MaxEntries: 40})
	}
	for i := range 11 {
		doc.Zones = append(doc.Zones, magnolialedge.Zone{Name: fmt.Sprintf("zone-%d", i), Region: doc.Regions[i%4].Name})
	}
	for i := range size.Services {
		s := magnolialedge.Service{Name: fmt.Sprintf("service-%d", i), KeyLookup: magnolialedge.KeyLookupStore, DeadlineMs: 2000, RetryPercent: 10, HedgePercent: 5}
		s.NonIdempotent = []magnolialedge.Rule{{Method: "POST", Path: "/orders/*/close"}}
		for j := i; j < size.Targets; j += size.Services {
			s.Targets = append(s.Targets, magnolialedge.Target{
				Address:        fmt.Sprintf("10.%d.%d.%d:8080", 1+j/60000, j/240%250, 1+j%240),
				Zone:           doc.Zones[j%11].Name,
				Slots:          4,
				MaxConnections: 220,
			})
		}
		doc.Services = append(doc.Services, s)
	}
	return doc
}

// MeasureOverhead starts a cluster of the given size and measures its entries while
// idle and during changes.
func MeasureOverhead(ctx context.Context, size SystemSize) (Overhead, error) {
	c, err := StartCluster(ClusterConfig{Document: SyntheticDocument(size), Entries: size.Entries, CrossRegionDelay: measureCrossRegionDelay, KeepTargets: true, Seed: 1})
	if err != nil {
		return Overhead{}, err
	}
	defer c.Close()
	out := Overhead{SystemSize: size}
	if err := c.measureIdle(ctx, &out); err != nil {
		return out, err
	}
	return out, c.measureChanges(ctx, &out)
}

func (c *Cluster) measureIdle(ctx context.Context, out *Overhead) error {
	before := make([]time.Duration, len(c.Entries))
	for i, e := range c.Entries {
		before[i], _, _ = processUsage(e.Pid())
	}
	callsBefore, bytesBefore := c.storeCalls(), c.linkBytes()
	sleep(ctx, idleDuration)
	for i, e := range c.Entries {
		after, memory, err := processUsage(e.Pid())
		if err != nil {
			return err
		}
		out.CPUPercent = max(out.CPUPercent, 100*float64(after-before[i])/float64(idleDuration))
		out.MemoryMB = max(out.MemoryMB, memory)
	}
	out.StoreCallsPerSecond = float64(c.storeCalls()-callsBefore) / idleDuration.Seconds()
	out.IdleCrossRegionBytesPerSecond = float64(c.linkBytes()-bytesBefore) / idleDuration.Seconds()
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *Cluster) measureChanges(ctx context.Context, out *Overhead) error {
	var propagationMs []float64
	bytesBefore := c.linkBytes()
	start := time.Now()
	for i := range changeCount {
		via := c.Entries[i%len(c.Entries)]
		elapsedMs, sizes, err := c.measurePropagation(ctx, via, fmt.Sprintf("change %d", i))
		if err != nil {
			return err
		}
		out.DocumentKB, out.EncodedVersionKB = sizes[0], sizes[1]
		propagationMs = append(propagationMs, elapsedMs)
		sleep(ctx, changeInterval)
	}
	idleBytes := out.IdleCrossRegionBytesPerSecond * time.Since(start).Seconds()
	out.CrossRegionKBPerChange = (float64(c.linkBytes()-bytesBefore) - idleBytes) / changeCount / 1024
	slices.Sort(propagationMs)
	out.PropagationP50Ms = propagationMs[len(propagationMs)/2]
	out.PropagationP99Ms = propagationMs[len(propagationMs)*99/100]
	out.PropagationMaxMs = propagationMs[len(propagationMs)-1]
	return nil
}

func (c *Cluster) storeCalls() int64 {
	var counts PlatformCallCounts
	_ = fetchControl(c.Platform.Address, "counts", &counts)
	return counts.Reads + counts.Writes + counts.Watches
}

func (c *Cluster) linkBytes() int64 {
	var sum int64
	for _, l := range c.Links {
		var n int64
		_ = fetchControl(l.Address, "bytes", &n)
		sum += n
	}
	return sum
}

// processUsage returns the CPU time and the resident memory in MB of a process.
func processUsage(pid int) (time.Duration, float64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, errors.Wrap(err, "read process statistics")
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return 0, 0, errors.New("process statistics have too few fields")
	}
	field := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return n
	}
	memory := float64(field(resident)) * float64(os.Getpagesize()) / (1 << 20)
	return time.Duration(field(user)+field(system)) * clockTick, memory, nil
}
