package main

import (
	"context"
	"fmt"
	"time"

	"magnolialedge/io/stand"
)

// measureCommand compares policies at several loads, and runs the scenarios with
// faults.
type measureCommand struct {
	Duration        time.Duration `name:"length" help:"Duration of each measurement." default:"8s"`
	LoadPercents    []float64     `name:"loads" help:"Loads as percentages of the capacity." default:"5,50,70,85"`
	ScenarioFilters []string      `name:"faults" help:"Run the fault scenarios whose names contain one of these texts; all if empty, none if \"-\"."`
	Seed            uint64        `help:"Seed of the random choices." default:"1"`
	Policies        []string      `name:"policy" help:"Policies to measure." default:"naive,magnolialedge"`
	PlotPath        string        `name:"plot" help:"SVG file to plot the loads to."`
}

// Run measures each load with each policy, and each fault scenario with the default
// policy, and prints the results as tables.
func (c *measureCommand) Run(ctx context.Context) error {
	doc, err := stand.SampleDocument("gandaki")
	if err != nil {
		return err
	}
	cfg := stand.MeasurementConfig{Document: doc, Duration: c.Duration, Seed: c.Seed}
	fmt.Println(stand.MeasurementTableHeader)
	var loads []stand.Measurement
	for _, load := range c.LoadPercents {
		for _, policy := range c.Policies {
			cfg.Naive = policy == "naive"
			m, err := stand.Measure(ctx, cfg, stand.Scenario{Name: "noise", LoadPercent: load})
			if err != nil {
				return err
			}
			fmt.Println(m)
			loads = append(loads, m)
		}
	}
	if c.PlotPath != "" {
		if err := stand.PlotLatency(c.PlotPath, loads); err != nil {
			return err
		}
	}
	return c.measureFaults(ctx, cfg)
}

// measureFaults measures the fault scenarios and prints the measurement budget that
// the last one used.
func (c *measureCommand) measureFaults(ctx context.Context, cfg stand.MeasurementConfig) error {
	cfg.Naive = false
	var last stand.Measurement
	for _, scenario := range stand.FilterScenarios(stand.FaultScenarios(), c.ScenarioFilters) {
		m, err := stand.Measure(ctx, cfg, scenario)
		if err != nil {
			return err
		}
		fmt.Println(m)
		last = m
	}
	if len(last.BudgetUsage) > 0 {
		fmt.Printf("\nMeasurement budget in the last scenario:\n\n%s", stand.BudgetUsageTable(last))
	}
	return nil
}
