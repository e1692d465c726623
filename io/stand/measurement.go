package stand

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Measurement is the result of one scenario under one policy.
type Measurement struct {
	Scenario    string
	Policy      string
	LoadPercent float64
	// OfferedPerSecond is the request rate, and GoodputPerSecond the rate of
	// successful responses.
	OfferedPerSecond float64
	GoodputPerSecond float64
	LoadResult
	// ExtraRunsPercent is the number of runs at upstreams beyond one per request,
	// such as hedges, in percent of the requests.
	ExtraRunsPercent float64
	// FaultyUpstreamPercent is the number of requests that faulty upstreams received
	// later than one second after the fault began, in percent of the requests.
	FaultyUpstreamPercent float64
	// BudgetUsage is the measurement traffic per pair of regions.
	BudgetUsage []RegionPairUsage
	// RecoveryMs is the time from the end of an overload to the start of the last
	// failed or late request.
	RecoveryMs float64
	// Crashes is the number of upstream crashes.
	Crashes int64
	// CPUStealPercent is the percentage of CPU time that the hypervisor gave to
	// other guests. Latencies are unreliable above a few percent.
	CPUStealPercent float64
}

// String returns the measurement as a row under MeasurementTableHeader.
func (m Measurement) String() string {
	refused := int64(0)
	for _, n := range m.Refused {
		refused += n
	}
	return fmt.Sprintf("| %s | %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %d | %d | %d | %.1f | %.2f | %d | %.0f | %.0f | %.0f | %s |",
		m.Scenario, m.Policy, m.LoadPercent, m.OfferedPerSecond, m.GoodputPerSecond, m.P50Ms, m.P99Ms, m.P999Ms, refused, m.Failed, m.NoResponse+m.Truncated+m.Mismatched, m.ExtraRunsPercent, m.FaultyUpstreamPercent, m.Crashes, m.RefusedP99Ms, m.RecoveryMs, m.CPUStealPercent, formatByKind(m.Refused))
}

// formatByKind formats the refusal counts, sorted by kind.
func formatByKind(refused map[string]int64) string {
	var out []string
	for _, kind := range slices.Sorted(maps.Keys(refused)) {
		out = append(out, fmt.Sprintf("%s %d", kind, refused[kind]))
	}
	return strings.Join(out, ", ")
}

// MeasurementTableHeader is the header of the table of measurements.
const MeasurementTableHeader = "| scenario | policy | load % | offered/s | answered/s | p50 ms | p99 ms | p999 ms | refused | upstream errors | lost, cut or foreign | extra runs % | at faulty after 1 s % | upstreams lost | refusals p99 ms | recovery ms | stolen % | refusals by kind |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
