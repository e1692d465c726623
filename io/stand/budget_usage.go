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

// budgetUsage returns the measurement traffic of all entries per pair of regions. The
// rates are averages over the given number of seconds since the start.
func (c *Cluster) budgetUsage(seconds float64) []RegionPairUsage {
	sums := map[[2]string]*RegionPairUsage{}
	var order [][2]string
	for _, dump := range c.Dumps() {
		for _, entryUsage := range dump.MeasurementUsage {
			pair := [2]string{dump.Instance.Region, entryUsage.ToRegion}
			if sums[pair] == nil {
				sums[pair] = &RegionPairUsage{From: pair[0], To: pair[1]}
				order = append(order, pair)
			}
			sums[pair].BytesPerSecond += entryUsage.Bytes / seconds
			sums[pair].OperationsPerSecond += entryUsage.Operations / seconds
		}
	}
	out := make([]RegionPairUsage, 0, len(order))
	for _, pair := range order {
		c.setBudget(sums[pair])
		out = append(out, *sums[pair])
	}
	return out
}

// setBudget sets the budget fields of u. Within a region, each service has its own
// budget. Between regions, there is one budget per pair.
func (c *Cluster) setBudget(u *RegionPairUsage) {
	m := c.Document.MeasurementBudget
	if u.From == u.To {
		n := float64(len(c.Document.Services))
		u.BudgetBytesPerSecond = m.BytesPerSecond * n
		u.BudgetOperationsPerSecond = m.OperationsPerSecond * n
		return
	}
	for _, p := range m.CrossRegion {
		if p.From == u.From && p.To == u.To {
			u.BudgetBytesPerSecond = p.BytesPerSecond
			u.BudgetOperationsPerSecond = p.OperationsPerSecond
		}
	}
}

// BudgetUsageTable returns a table of the measurement traffic and its budget.
func BudgetUsageTable(m Measurement) string {
	out := "| from | to | bytes/s | budget | messages/s | budget |\n|---|---|---|---|---|---|\n"
	for _, u := range m.BudgetUsage {
		out += fmt.Sprintf("| %s | %s | %.0f | %.0f | %.2f | %.2f |\n", u.From, u.To, u.BytesPerSecond, u.BudgetBytesPerSecond, u.OperationsPerSecond, u.BudgetOperationsPerSecond)
	}
	return out
}
