package main

import (
	"context"
	"fmt"

	"magnolialedge/io/stand"
)

// slopesCommand measures the resource usage of idle entries.
type slopesCommand struct {
	EntryCounts  []int `name:"entries" help:"Numbers of entries to measure, with 36 targets in 3 services." default:"4,14,19,60,120"`
	TargetCounts []int `name:"targets" help:"Numbers of targets to measure, with 16 entries and ten or eleven targets per service." default:"36,440,4400"`
	MaxServices  int   `name:"services" help:"Number of services at the last of the numbers of targets." default:"410"`
}

// Run measures entries without load at each size and prints a table.
func (c *slopesCommand) Run(ctx context.Context) error {
	var sizes []stand.SystemSize
	for _, n := range c.EntryCounts {
		sizes = append(sizes, stand.SystemSize{Entries: n, Targets: 36, Services: 3})
	}
	for _, n := range c.TargetCounts {
		lastTargets := c.TargetCounts[len(c.TargetCounts)-1]
		sizes = append(sizes, stand.SystemSize{Entries: 16, Targets: n, Services: max(3, c.MaxServices*n/lastTargets)})
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
