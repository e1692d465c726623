package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"magnolialedge/io/stand"
)

type allCommand struct {
	Sample   string        `help:"Sample document: gandaki or valderrama." enum:"gandaki,valderrama" default:"gandaki"`
	Entries  int           `help:"Entries in each region." default:"2"`
	Delay    time.Duration `help:"One-way delay between regions." default:"20ms"`
	Port     int           `help:"First entry's port for callers; peers and operators get the next two." default:"8080"`
	Duration time.Duration `help:"Time after which everything ends; 0 waits for a signal." default:"0s"`
}

// Run starts everything, prints how to call it, and waits for the end.
func (c *allCommand) Run(ctx context.Context) error {
	doc, err := stand.SampleDocument(c.Sample)
	if err != nil {
		return err
	}
	system, err := stand.StartSystem(stand.SystemConfig{
		Document:         doc,
		EntriesPerRegion: c.Entries,
		CrossRegionDelay: c.Delay,
		Upstream:         stand.UpstreamBehaviour{MeanServiceTimeMs: 10},
		QueuePerSlot:     2,
		CrashDuration:    2 * time.Second,
		Log:              os.Stderr,
		Seed:             1,
		Ports:            [3]int{c.Port, c.Port + 1, c.Port + 2},
	})
	if err != nil {
		return err
	}
	defer system.Close()
	c.announce(system)
	if c.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Duration)
		defer cancel()
	}
	<-ctx.Done()
	return nil
}

func (c *allCommand) announce(s *stand.System) {
	first := s.Entries[0]
	service := s.Document.Services[0].Name
	fmt.Printf("%d upstreams and %d entries are running.\n\n", len(s.Upstreams), len(s.Entries))
	fmt.Printf("Call a service:\n  curl -i http://%s/s/%s/items/1\n", first.Self().CallerAddress, service)
	fmt.Printf("Ask which addresses to use:\n  curl http://%s/v1/resolve?service=%s\n", first.Self().CallerAddress, service)
	fmt.Printf("See the state of the entry:\n  curl -H 'Authorization: Bearer %s' http://%s/dump\n", stand.Token, first.OperatorAddress())
}
