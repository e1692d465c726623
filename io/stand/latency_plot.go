package stand

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// PlotLatency writes a plot of p99 and p999 latency over load, with two lines per
// policy, as SVG to path.
func PlotLatency(path string, measurements []Measurement) error {
	p := plot.New()
	p.Title.Text = "Latency from intended start"
	p.X.Label.Text = "load (% of capacity)"
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, policy := range []string{policyName(true), policyName(false)} {
		lines = append(lines,
			policy+" p99", points(measurements, policy, func(m Measurement) float64 { return m.P99Ms }),
			policy+" p999", points(measurements, policy, func(m Measurement) float64 { return m.P999Ms }),
		)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}

func points(measurements []Measurement, policy string, value func(Measurement) float64) plotter.XYs {
	var out plotter.XYs
	for _, m := range measurements {
		if m.Policy == policy {
			out = append(out, plotter.XY{X: m.LoadPercent, Y: value(m)})
		}
	}
	return out
}
