package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"magnolialedge/io/stand"
)

// loadCommand sends requests to entries or upstreams and prints the results.
type loadCommand struct {
	EntryAddresses    []string      `name:"entries" help:"Addresses of entries for callers." required:""`
	Services          []string      `help:"Services that requests are sent to." required:""`
	RequestsPerSecond float64       `name:"rate" help:"New requests per second." default:"100"`
	Duration          time.Duration `help:"Duration of the load, at most an hour." default:"10s"`
	Callers           int           `help:"Number of callers, each of which resolves the entries itself." default:"32"`
	KeyedPercent      float64       `help:"Percentage of non-idempotent requests." default:"0"`
	KeyedPath         string        `help:"Path of non-idempotent requests." default:"/permits/7/close"`
	UploadPercent     float64       `help:"Percentage of uploads." default:"0"`
	UploadBytes       int           `help:"Size of an upload in bytes." default:"1000000"`
	MaxResends        int           `name:"resends" help:"Maximum number of times that a non-idempotent request is sent again." default:"3"`
	Timeout           time.Duration `help:"Timeout of each request." default:"5s"`
	Seed              uint64        `help:"Seed of the random choices." default:"1"`
	UpstreamAddresses []string      `name:"direct" help:"Addresses of upstreams, to send requests without an entry."`
	PrintKeys         bool          `name:"keys" help:"Print the result for each idempotency key."`
}

// maxDuration limits the duration of a load, so that a forgotten one ends.
const maxDuration = time.Hour

// Run sends the requests and prints the result as JSON.
func (c *loadCommand) Run(ctx context.Context) error {
	load := stand.NewLoadGenerator(stand.LoadConfig{
		EntryAddresses:    c.EntryAddresses,
		Services:          c.Services,
		Rate:              c.RequestsPerSecond,
		Duration:          min(c.Duration, maxDuration),
		Callers:           c.Callers,
		KeyedPercent:      c.KeyedPercent,
		KeyedPath:         c.KeyedPath,
		UploadPercent:     c.UploadPercent,
		UploadBytes:       c.UploadBytes,
		MaxResends:        c.MaxResends,
		Timeout:           c.Timeout,
		Seed:              c.Seed,
		UpstreamAddresses: c.UpstreamAddresses,
	})
	result := load.Run(ctx)
	if !c.PrintKeys {
		result.Keyed = nil
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(result)
}
