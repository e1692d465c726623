package stand

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Measurement is what one scenario gave under one policy.
type Measurement struct {
	Scenario    string
	Policy      string
	LoadPercent float64
	// OfferedPerSecond and Goodput are requests and useful answers a second.
	OfferedPerSecond float64
	GoodputPerSecond float64
	LoadResult
	// ExtraRunsPercent is the share of runs at upstreams beyond the requests.
	ExtraRunsPercent float64
	// FaultyUpstreamPercent is the share of calls that reached the faulty upstream
	// later than a second after the fault began.
	FaultyUpstreamPercent float64
	// BudgetUsage is what was spent on measuring, by pair of regions.
	BudgetUsage []RegionPairUsage
	// RecoveryMs is the time from the end of an overload until calls are
	// answered as before.
	RecoveryMs float64
	// Crashes is the number of upstreams lost.
	Crashes int64
	// CPUStealPercent is the processor time that the machine's host gave to
	// others meanwhile. Latencies of a run with more than a few percent say
	// little.
	CPUStealPercent float64
}

// String returns the measurement as a row of a table.
func (m Measurement) String() string {
	refused := int64(0)
	for _, n := range m.Refused {
		refused += n
	}
	return fmt.Sprintf("| %s | %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %d | %d | %d | %.1f | %.2f | %d | %.0f | %.0f | %.0f | %s |",
		m.Scenario, m.Policy, m.LoadPercent, m.OfferedPerSecond, m.GoodputPerSecond, m.P50Ms, m.P99Ms, m.P999Ms, refused, m.Failed, m.NoResponse+m.Truncated+m.Mismatched, m.ExtraRunsPercent, m.FaultyUpstreamPercent, m.Crashes, m.RefusedP99Ms, m.RecoveryMs, m.CPUStealPercent, kindsOf(m.Refused))
}

// kindsOf returns the refusals by kind, in the order of the names.
func kindsOf(refused map[string]int64) string {
	var out []string
	for _, kind := range slices.Sorted(maps.Keys(refused)) {
		out = append(out, fmt.Sprintf("%s %d", kind, refused[kind]))
	}
	return strings.Join(out, ", ")
}

// MeasurementTableHeader is the head of the table of measurements.
const MeasurementTableHeader = "| scenario | policy | load % | offered/s | answered/s | p50 ms | p99 ms | p999 ms | refused | upstream errors | lost, cut or foreign | extra runs % | at faulty after 1 s % | upstreams lost | refusals p99 ms | recovery ms | stolen % | refusals by kind |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
