package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"magnolialedge/io/stand"
)

type loadCommand struct {
	Entries       []string      `help:"Callers' addresses of entries." required:""`
	Services      []string      `help:"Services to call." required:""`
	Rate          float64       `help:"New requests a second." default:"100"`
	Duration      time.Duration `help:"Length of the load, at most an hour." default:"10s"`
	Callers       int           `help:"Callers, each with its own resolve answers." default:"32"`
	KeyedPercent  float64       `help:"Share of non-idempotent requests." default:"0"`
	KeyedPath     string        `help:"Path of non-idempotent requests." default:"/permits/7/close"`
	UploadPercent float64       `help:"Share of uploads." default:"0"`
	UploadBytes   int           `help:"Size of an upload." default:"1000000"`
	Resends       int           `help:"How often a non-idempotent request is sent again." default:"3"`
	Timeout       time.Duration `help:"Timeout of each request." default:"5s"`
	Seed          uint64        `help:"Seed of the random choices." default:"1"`
	Direct        []string      `help:"Upstream addresses to call without any entry."`
	Keys          bool          `help:"Print what became of each key."`
}

// mostDuration bounds a load, so that it ends by itself.
const mostDuration = time.Hour

// Run makes the load and prints its result as JSON.
func (c *loadCommand) Run(ctx context.Context) error {
	load := stand.NewLoadGenerator(stand.LoadConfig{
		EntryAddresses:    c.Entries,
		Services:          c.Services,
		Rate:              c.Rate,
		Duration:          min(c.Duration, mostDuration),
		Callers:           c.Callers,
		KeyedPercent:      c.KeyedPercent,
		KeyedPath:         c.KeyedPath,
		UploadPercent:     c.UploadPercent,
		UploadBytes:       c.UploadBytes,
		MaxResends:        c.Resends,
		Timeout:           c.Timeout,
		Seed:              c.Seed,
		UpstreamAddresses: c.Direct,
	})
	result := load.Run(ctx)
	if !c.Keys {
		result.Keyed = nil
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(result)
}
