package main

import (
	"context"
	"fmt"

	"magnolialedge/io/stand"
)

type slopesCommand struct {
	Entries  []int `help:"Numbers of entries, at 36 targets in 3 services." default:"4,14,19,60,120"`
	Targets  []int `help:"Numbers of targets, at 16 entries and ten or eleven targets a service." default:"36,440,4400"`
	Services int   `help:"Services at the greatest number of targets." default:"410"`
}

// Run measures entries without requests at each size and prints a table.
func (c *slopesCommand) Run(ctx context.Context) error {
	var sizes []stand.SystemSize
	for _, n := range c.Entries {
		sizes = append(sizes, stand.SystemSize{Entries: n, Targets: 36, Services: 3})
	}
	for _, n := range c.Targets {
		most := c.Targets[len(c.Targets)-1]
		sizes = append(sizes, stand.SystemSize{Entries: 16, Targets: n, Services: max(3, c.Services*n/most)})
	}
	fmt.Println(stand.OverheadTableHeader)
	for _, size := range sizes {
		s, err := stand.MeasureOverhead(ctx, size)
		if err != nil {
			return err
		}
		fmt.Println(s)
	}
	return nil
}
