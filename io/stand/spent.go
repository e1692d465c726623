package stand

import "fmt"

// SpentLine is what was spent on measuring between two regions.
type SpentLine struct {
	From, To                 string
	BytesPerSecond           float64
	BudgetBytesPerSecond     float64
	OperationsPerSecond      float64
	BudgetOperationPerSecond float64
}

// spent sums what every entry spent on measuring, by pair of regions.
func (w *World) spent(seconds float64) []SpentLine {
	sums := map[[2]string]*SpentLine{}
	var order [][2]string
	for _, dump := range w.Dumps() {
		for _, line := range dump.MeasurementUsage {
			pair := [2]string{dump.Instance.Region, line.ToRegion}
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
		w.budget(sums[pair])
		out = append(out, *sums[pair])
	}
	return out
}

func (w *World) budget(l *SpentLine) {
	m := w.Document.MeasurementBudget
	if l.From == l.To {
		n := float64(len(w.Document.Services))
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

// BudgetTable returns the measuring budget and what was spent of it, as a table.
func BudgetTable(m Measurement) string {
	out := "| from | to | bytes/s | budget | messages/s | budget |\n|---|---|---|---|---|---|\n"
	for _, l := range m.Spent {
		out += fmt.Sprintf("| %s | %s | %.0f | %.0f | %.2f | %.2f |\n", l.From, l.To, l.BytesPerSecond, l.BudgetBytesPerSecond, l.OperationsPerSecond, l.BudgetOperationPerSecond)
	}
	return out
}
