package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"magnolialedge/io/pause"
)

const (
	// sourceGap is the time between two rounds of asking sources of which none
	// serves.
	sourceGap = 100 * time.Millisecond
	// startPatience is how long a new entry that has left the listing to its
	// sources waits for them, beyond its patience, before it lists the store.
	startPatience = 150 * time.Millisecond
)

// followSources takes changes from the sources. False means that none has served
// within the entry's patience.
func (f *Follower) followSources(ctx context.Context) bool {
	until := time.Now().Add(f.patience())
	for ctx.Err() == nil {
		sources := f.cfg.Sources()
		if len(sources) == 0 {
			return true
		}
		served := f.followAny(ctx, sources)
		// A peer may have held back removals that came before the revision that
		// it told, so the store's changes after it aren't enough.
		f.setListed(false)
		if served {
			return true
		}
		if !time.Now().Before(until) {
			return false
		}
		pause.Sleep(ctx, sourceGap)
	}
	return true
}

func (f *Follower) patience() time.Duration {
	if f.cfg.SourceTimeout == nil {
		return 0
	}
	return f.cfg.SourceTimeout()
}

// ensureStart lists the store if the sources that it was left to don't serve a
// new entry soon, as when they are down or out of reach.
func (f *Follower) ensureStart(ctx context.Context) {
	pause.Sleep(ctx, startPatience+f.patience())
	for ctx.Err() == nil && !f.isKnown() {
		if err := f.list(ctx, false); err != nil {
			f.failed(err)
			pause.Sleep(ctx, retryGap+rand.N(retryJitter))
		}
	}
}

// mayDefer reports whether the listing of a store with many items may be left to
// the sources.
func (f *Follower) mayDefer() bool {
	return f.cfg.OnFirstPage != nil && !f.isKnown()
}
