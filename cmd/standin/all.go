package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"magnolialedge/io/stand"
)

// allCommand runs upstreams, entries and a simulated platform in one process.
type allCommand struct {
	Sample           string        `help:"Sample document: gandaki or valderrama." enum:"gandaki,valderrama" default:"gandaki"`
	EntriesPerRegion int           `name:"entries" help:"Number of entries in each region." default:"2"`
	CrossRegionDelay time.Duration `name:"delay" help:"One-way delay between regions." default:"20ms"`
	FirstPort        int           `name:"port" help:"Port of the first entry for callers; the next two are for peers and operators." default:"8080"`
	Duration         time.Duration `help:"Time after which the command stops; 0 waits for a signal." default:"0s"`
}

// Run starts the system, prints example requests, and waits for a signal or the end
// of the duration.
func (c *allCommand) Run(ctx context.Context) error {
	doc, err := stand.SampleDocument(c.Sample)
	if err != nil {
		return err
	}
	system, err := stand.StartSystem(stand.SystemConfig{
		Document:         doc,
		EntriesPerRegion: c.EntriesPerRegion,
		CrossRegionDelay: c.CrossRegionDelay,
		Upstream:         stand.UpstreamBehaviour{MeanServiceTimeMs: 10},
		QueuePerSlot:     2,
		CrashDuration:    2 * time.Second,
		Log:              os.Stderr,
		Seed:             1,
		Ports:            [3]int{c.FirstPort, c.FirstPort + 1, c.FirstPort + 2},
	})
	if err != nil {
		return err
	}
	defer system.Close()
	c.printUsage(system)
	if c.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Duration)
		defer cancel()
	}
	<-ctx.Done()
	return nil
}

// printUsage prints example requests to the first entry.
func (c *allCommand) printUsage(s *stand.System) {
	first := s.Entries[0]
	service := s.Document.Services[0].Name
	fmt.Printf("%d upstreams and %d entries are running.\n\n", len(s.Upstreams), len(s.Entries))
	fmt.Printf("Send a request to a service:\n  curl -i http://%s/s/%s/items/1\n", first.Self().CallerAddress, service)
	fmt.Printf("Resolve the addresses of a service:\n  curl http://%s/v1/resolve?service=%s\n", first.Self().CallerAddress, service)
	fmt.Printf("Print the state of the entry:\n  curl -H 'Authorization: Bearer %s' http://%s/dump\n", stand.Token, first.OperatorAddress())
}
