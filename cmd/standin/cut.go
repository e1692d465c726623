package main

import (
	"context"
	"time"

	"magnolialedge/io/pause"
	"magnolialedge/platform/stand"
)

// cutOptions cut entries off from the upstreams for some time.
type cutOptions struct {
	CutEntries int           `name:"cut" help:"Number of entries to cut off from the upstreams." default:"0"`
	CutMode    string        `name:"cut-mode" help:"What happens to their connections to upstreams: they become silent, are reset, or only new ones are refused." enum:"hang,reset,refuseNew" default:"hang"`
	CutAfter   time.Duration `help:"Time from the start of the entries to the first cut." default:"1s"`
	CutFor     time.Duration `help:"Duration of a cut." default:"3s"`
	CutTimes   int           `help:"Number of cuts, each CutFor after the end of the one before." default:"1"`
}

// cutModes maps the values of CutMode.
var cutModes = map[string]stand.PartitionMode{
	"hang":      stand.PartitionHang,
	"reset":     stand.PartitionReset,
	"refuseNew": stand.PartitionRefuseNew,
}

// run cuts the first CutEntries partitions, until ctx is done.
func (c *cutOptions) run(ctx context.Context, partitions []*stand.Partition) {
	cut := partitions[:min(c.CutEntries, len(partitions))]
	pause.Sleep(ctx, c.CutAfter)
	for i := 0; i < c.CutTimes && ctx.Err() == nil; i++ {
		setPartitions(cut, cutModes[c.CutMode])
		pause.Sleep(ctx, c.CutFor)
		setPartitions(cut, stand.PartitionNone)
		pause.Sleep(ctx, c.CutFor)
	}
}

func setPartitions(partitions []*stand.Partition, mode stand.PartitionMode) {
	for _, p := range partitions {
		p.Set(mode)
	}
}
