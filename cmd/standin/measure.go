package main

import (
	"context"
	"fmt"
	"time"

	"magnolialedge/io/stand"
)

type measureCommand struct {
	Length time.Duration `help:"Length of each measurement." default:"8s"`
	Loads  []float64     `help:"Loads in percent of the capacity." default:"5,50,70,85"`
	Faults []string      `help:"Parts of the names of the scenarios with faults; none stands for all, \"-\" for no scenario."`
	Seed   uint64        `help:"Seed of the random choices." default:"1"`
	Policy []string      `help:"Policies to measure." default:"naive,magnolialedge"`
	Plot   string        `help:"SVG file for the plot of the loads."`
}

// Run measures each load under each policy and each fault under this one, and
// prints tables.
func (c *measureCommand) Run(ctx context.Context) error {
	doc, err := stand.SampleDocument("gandaki")
	if err != nil {
		return err
	}
	cfg := stand.MeasurementConfig{Document: doc, Duration: c.Length, Seed: c.Seed}
	fmt.Println(stand.MeasurementTableHeader)
	var loads []stand.Measurement
	for _, load := range c.Loads {
		for _, policy := range c.Policy {
			cfg.Naive = policy == "naive"
			m, err := stand.Measure(ctx, cfg, stand.Scenario{Name: "noise", LoadPercent: load})
			if err != nil {
				return err
			}
			fmt.Println(m)
			loads = append(loads, m)
		}
	}
	if c.Plot != "" {
		if err := stand.PlotLatency(c.Plot, loads); err != nil {
			return err
		}
	}
	return c.faults(ctx, cfg)
}

func (c *measureCommand) faults(ctx context.Context, cfg stand.MeasurementConfig) error {
	cfg.Naive = false
	var last stand.Measurement
	for _, sc := range stand.FilterScenarios(stand.FaultScenarios(), c.Faults) {
		m, err := stand.Measure(ctx, cfg, sc)
		if err != nil {
			return err
		}
		fmt.Println(m)
		last = m
	}
	if len(last.BudgetUsage) > 0 {
		fmt.Printf("\nMeasuring in the last scenario:\n\n%s", stand.BudgetUsageTable(last))
	}
	return nil
}
