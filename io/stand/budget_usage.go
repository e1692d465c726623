package stand

import "fmt"

// RegionPairUsage is the measurement traffic from one region to another, with its
// budget.
type RegionPairUsage struct {
	From, To                  string
	BytesPerSecond            float64
	BudgetBytesPerSecond      float64
	OperationsPerSecond       float64
	BudgetOperationsPerSecond float64
}

// budgetUsage returns the measurement traffic of all entries per pair of regions,
// averaged over seconds.
func (c *Cluster) budgetUsage(seconds float64) []RegionPairUsage {
	sums := map[[2]string]*RegionPairUsage{}
	var order [][2]string
	for _, dump := range c.Dumps() {
		for _, line := range dump.MeasurementUsage {
			pair := [2]string{dump.Instance.Region, line.ToRegion}
			if sums[pair] == nil {
				sums[pair] = &RegionPairUsage{From: pair[0], To: pair[1]}
				order = append(order, pair)
			}
			sums[pair].BytesPerSecond += line.Bytes / seconds
			sums[pair].OperationsPerSecond += line.Operations / seconds
		}
	}
	out := make([]RegionPairUsage, 0, len(order))
	for _, pair := range order {
		c.setBudget(sums[pair])
		out = append(out, *sums[pair])
	}
	return out
}

// setBudget sets the budget of l. Within a region every service has a budget of
// its own; between regions there is one per pair.
func (c *Cluster) setBudget(l *RegionPairUsage) {
	m := c.Document.MeasurementBudget
	if l.From == l.To {
		n := float64(len(c.Document.Services))
		l.BudgetBytesPerSecond = m.BytesPerSecond * n
		l.BudgetOperationsPerSecond = m.OperationsPerSecond * n
		return
	}
	for _, p := range m.CrossRegion {
		if p.From == l.From && p.To == l.To {
			l.BudgetBytesPerSecond = p.BytesPerSecond
			l.BudgetOperationsPerSecond = p.OperationsPerSecond
		}
	}
}

// BudgetUsageTable returns a table of the measurement traffic and its budget.
func BudgetUsageTable(m Measurement) string {
	out := "| from | to | bytes/s | budget | messages/s | budget |\n|---|---|---|---|---|---|\n"
	for _, l := range m.BudgetUsage {
		out += fmt.Sprintf("| %s | %s | %.0f | %.0f | %.2f | %.2f |\n", l.From, l.To, l.BytesPerSecond, l.BudgetBytesPerSecond, l.OperationsPerSecond, l.BudgetOperationsPerSecond)
	}
	return out
}
