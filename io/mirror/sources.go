package mirror

import (
	"context"
	"time"

	"magnolialedge/io/pause"
)

const (
	// sourceRetryDelay is the delay before the sources are tried again when
	// none of them served.
	sourceRetryDelay = 100 * time.Millisecond
	// sourceLossDelay is the delay before all sources are tried again when none of
	// them reaches the store and this entry may not watch it.
	sourceLossDelay = 500 * time.Millisecond
)

// followSources follows the sources. It returns false if none of them has served
// this entry within the source timeout.
func (f *Follower) followSources(ctx context.Context) bool {
	deadline := time.Now().Add(f.sourceTimeout())
	for ctx.Err() == nil {
		sources := f.cfg.Sources()
		if len(sources) == 0 {
			return true
		}
		served := f.followAny(ctx, sources, f.sourceLimits())
		// The peer may have held back removals older than the revision that it
		// reported. The store must be listed again, because the changes after
		// that revision do not include them.
		f.setListed(false)
		if served {
			return true
		}
		if !time.Now().Before(deadline) {
			return false
		}
		pause.Sleep(ctx, sourceRetryDelay)
	}
	return true
}

func (f *Follower) sourceTimeout() time.Duration {
	if f.cfg.SourceTimeout == nil {
		return 0
	}
	return f.cfg.SourceTimeout()
}
