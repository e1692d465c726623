package main

import (
	"context"
	"fmt"
	"time"

	"magnolialedge/io/stand"
)

type measureCommand struct {
	Length time.Duration `help:"Length of each measurement." default:"8s"`
	Loads  []float64     `help:"Loads in percent of the capacity." default:"5,50,70,85,130"`
	Seed   uint64        `help:"Seed of the random choices." default:"1"`
	Policy []string      `help:"Policies to measure." default:"naive,magnolialedge"`
}

// Run measures each load under each policy and prints a table.
func (c *measureCommand) Run(ctx context.Context) error {
	doc, err := stand.Sample("gandaki")
	if err != nil {
		return err
	}
	fmt.Println(stand.MeasureHeader)
	for _, load := range c.Loads {
		for _, policy := range c.Policy {
			cfg := stand.MeasureConfig{Document: doc, Length: c.Length, Naive: policy == "naive", Seed: c.Seed}
			m, err := stand.Measure(ctx, cfg, stand.Scenario{Name: "noise", Percent: load})
			if err != nil {
				return err
			}
			fmt.Println(m)
		}
	}
	return nil
}
