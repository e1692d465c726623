package stand

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Measurement is what one scenario gave under one policy.
type Measurement struct {
	Scenario string
	Policy   string
	Percent  float64
	// Offered and Goodput are requests and useful answers a second.
	Offered float64
	Goodput float64
	LoadResult
	// ExtraPercent is the share of runs at upstreams beyond the requests.
	ExtraPercent float64
	// FaultPercent is the share of calls that reached the faulty upstream
	// later than a second after the fault began.
	FaultPercent float64
	// Spent is what was spent on measuring, by pair of regions.
	Spent []SpentLine
	// RecoveryMs is the time from the end of an overload until calls are
	// answered as before.
	RecoveryMs float64
	// Crashes is the number of upstreams lost.
	Crashes int64
	// StolenPercent is the processor time that the machine's host gave to
	// others meanwhile. Latencies of a run with more than a few percent say
	// little.
	StolenPercent float64
}

// String returns the measurement as a row of a table.
func (m Measurement) String() string {
	refused := int64(0)
	for _, n := range m.Refused {
		refused += n
	}
	return fmt.Sprintf("| %s | %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %d | %d | %d | %.1f | %.2f | %d | %.0f | %.0f | %.0f | %s |",
		m.Scenario, m.Policy, m.Percent, m.Offered, m.Goodput, m.P50Ms, m.P99Ms, m.P999Ms, refused, m.Failed, m.Lost+m.Cut+m.Foreign, m.ExtraPercent, m.FaultPercent, m.Crashes, m.RefusedP99Ms, m.RecoveryMs, m.StolenPercent, kindsOf(m.Refused))
}

// kindsOf returns the refusals by kind, in the order of the names.
func kindsOf(refused map[string]int64) string {
	var out []string
	for _, kind := range slices.Sorted(maps.Keys(refused)) {
		out = append(out, fmt.Sprintf("%s %d", kind, refused[kind]))
	}
	return strings.Join(out, ", ")
}

// MeasureHeader is the head of the table of measurements.
const MeasureHeader = "| scenario | policy | load % | offered/s | answered/s | p50 ms | p99 ms | p999 ms | refused | upstream errors | lost, cut or foreign | extra runs % | at faulty after 1 s % | upstreams lost | refusals p99 ms | recovery ms | stolen % | refusals by kind |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
