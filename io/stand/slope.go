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
	// slopeIdle is how long processes are watched without changes.
	slopeIdle = 8 * time.Second
	// slopeChanges is the number of changes that are timed.
	slopeChanges = 20
	// slopePause is the time between two changes.
	slopePause = 300 * time.Millisecond
	// clockTick is the unit of processor time in the process table.
	clockTick = 10 * time.Millisecond
)

// SystemSize is the size of a system whose idle cost is measured.
type SystemSize struct {
	Entries, Targets, Services int
}

// Overhead is what entries cost at one size without requests.
type Overhead struct {
	SystemSize
	// CPUPercent is the greatest share of a core of any entry, and
	// MemoryMB the greatest resident memory.
	CPUPercent float64
	MemoryMB   float64
	// StoreCallsPerSecond are calls a second to the platform's service, of all entries.
	StoreCallsPerSecond float64
	// DocumentKB and VersionKB are a document as text and as it is sent.
	DocumentKB, EncodedVersionKB float64
	// CrossRegionKBPerChange are the bytes between regions for one change.
	CrossRegionKBPerChange float64
	// IdleCrossRegionBytesPerSecond are the bytes a second between regions without
	// changes.
	IdleCrossRegionBytesPerSecond float64
	// InForceP50Ms, InForceP99Ms and InForceMaxMs are the times from accepted to
	// in force at the last entry.
	PropagationP50Ms, PropagationP99Ms, PropagationMaxMs float64
}

// OverheadTableHeader is the head of the table of slopes.
const OverheadTableHeader = "| entries | targets | services | core % | memory MB | store calls/s | document KB | sent KB | KB across regions a change | bytes/s across regions, idle | in force p50 ms | p99 ms | max ms |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// String returns the slope as a row of a table.
func (s Overhead) String() string {
	return fmt.Sprintf("| %d | %d | %d | %.2f | %.0f | %.2f | %.1f | %.1f | %.1f | %.0f | %.0f | %.0f | %.0f |",
		s.Entries, s.Targets, s.Services, s.CPUPercent, s.MemoryMB, s.StoreCallsPerSecond, s.DocumentKB, s.EncodedVersionKB,
		s.CrossRegionKBPerChange, s.IdleCrossRegionBytesPerSecond, s.PropagationP50Ms, s.PropagationP99Ms, s.PropagationMaxMs)
}

// SyntheticDocument returns a document of four regions and eleven zones. Nothing
// listens at its targets.
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

// MeasureOverhead starts entries of one size and measures them without requests and
// during changes.
func MeasureOverhead(ctx context.Context, size SystemSize) (Overhead, error) {
	w, err := StartCluster(ClusterConfig{Document: SyntheticDocument(size), Entries: size.Entries, CrossRegionDelay: measureDelay, KeepTargets: true, Seed: 1})
	if err != nil {
		return Overhead{}, err
	}
	defer w.Close()
	out := Overhead{SystemSize: size}
	if err := w.idle(ctx, &out); err != nil {
		return out, err
	}
	return out, w.changes(ctx, &out)
}

func (w *Cluster) idle(ctx context.Context, out *Overhead) error {
	before := make([]time.Duration, len(w.Entries))
	for i, e := range w.Entries {
		before[i], _, _ = usage(e.Pid())
	}
	calls, bytes := w.storeCalls(), w.linkBytes()
	wait(ctx, slopeIdle)
	for i, e := range w.Entries {
		after, memory, err := usage(e.Pid())
		if err != nil {
			return err
		}
		out.CPUPercent = max(out.CPUPercent, 100*float64(after-before[i])/float64(slopeIdle))
		out.MemoryMB = max(out.MemoryMB, memory)
	}
	out.StoreCallsPerSecond = float64(w.storeCalls()-calls) / slopeIdle.Seconds()
	out.IdleCrossRegionBytesPerSecond = float64(w.linkBytes()-bytes) / slopeIdle.Seconds()
	return ctx.Err()
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *Cluster) changes(ctx context.Context, out *Overhead) error {
	var times []float64
	bytes := w.linkBytes()
	begun := time.Now()
	for i := range slopeChanges {
		by := w.Entries[i%len(w.Entries)]
		took, sizes, err := w.timeChange(ctx, by, fmt.Sprintf("change %d", i))
		if err != nil {
			return err
		}
		out.DocumentKB, out.EncodedVersionKB = sizes[0], sizes[1]
		times = append(times, took)
		wait(ctx, slopePause)
	}
	idle := out.IdleCrossRegionBytesPerSecond * time.Since(begun).Seconds()
	out.CrossRegionKBPerChange = (float64(w.linkBytes()-bytes) - idle) / slopeChanges / 1024
	slices.Sort(times)
	out.PropagationP50Ms = times[len(times)/2]
	out.PropagationP99Ms = times[len(times)*99/100]
	out.PropagationMaxMs = times[len(times)-1]
	return nil
}

func (w *Cluster) storeCalls() int64 {
	var c PlatformCallCounts
	_ = fetch(w.Platform.Address, "counts", &c)
	return c.Reads + c.Writes + c.Watches
}

func (w *Cluster) linkBytes() int64 {
	var sum int64
	for _, l := range w.Links {
		var n int64
		_ = fetch(l.Address, "bytes", &n)
		sum += n
	}
	return sum
}

// usage reads the processor time and the resident memory in MB of a process.
func usage(pid int) (time.Duration, float64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, errors.Wrap(err, "process table")
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return 0, 0, errors.New("process table: too few fields")
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return n
	}
	memory := float64(number(resident)) * float64(os.Getpagesize()) / (1 << 20)
	return time.Duration(number(user)+number(system)) * clockTick, memory, nil
}
