package main

import (
	"context"
	"time"

	"magnolialedge/platform/stand"
)

// evacuateOptions are the options for an evacuation of an availability zone.
type evacuateOptions struct {
	EvacuateZone  string        `name:"evacuate" help:"Availability zone to evacuate; empty for none."`
	EvacuateAfter time.Duration `help:"Time from the start of the entries to the evacuation." default:"1s"`
	EvacuateFor   time.Duration `help:"Duration of the evacuation." default:"2s"`
}

// run evacuates the zone, until ctx is done.
func (o *evacuateOptions) run(ctx context.Context, store *stand.Store) {
	if o.EvacuateZone != "" {
		store.Evacuate(ctx, o.EvacuateZone, o.EvacuateAfter, o.EvacuateFor)
	}
}
