package soak

import (
	"context"
	"net/http"
	"time"

	"magnolialedge/io/pause"
)

// pollInterval is the interval at which entries are polled.
const pollInterval = 100 * time.Millisecond

// configVersion is a version of the configuration and the time it was written to
// the store.
type configVersion struct {
	number int64
	at     time.Time
}

// pollEntries polls the entries until ctx is done. It records a breach if an entry
// returns to an older configuration version, applies a new one too late, or exits
// unexpectedly, which also ends the polling.
func (cl *cluster) pollEntries(ctx context.Context) {
	client := &http.Client{Timeout: pollInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	last := make([]observedVersion, len(cl.entries))
	for ctx.Err() == nil {
		for i, e := range cl.entries {
			if e.hasExitedUnexpectedly() {
				cl.breach("%s exited unexpectedly", e.settings.Name)
				return
			}
			run := e.runNumber()
			polledAt := time.Now()
			s, err := e.status(client)
			if err != nil || run != e.runNumber() || s.Leaving {
				continue
			}
			cl.checkVersion(e, s.Version, polledAt, &last[i], run)
		}
		pause.Sleep(ctx, pollInterval)
	}
}

// observedVersion is the configuration version that an entry reported last.
type observedVersion struct {
	number int64
	// run is the number of the process that reported it.
	run int
	// reportedOverdue is the latest version that was reported as overdue, so that
	// each is reported once.
	reportedOverdue int64
}

// checkVersion checks the version that an entry reported to a poll sent at
// polledAt.
func (cl *cluster) checkVersion(e *entry, version int64, polledAt time.Time, last *observedVersion, run int) {
	if last.run == run && version < last.number {
		cl.breach("%s returned from version %d to %d", e.settings.Name, last.number, version)
	}
	last.number, last.run = version, run
	required := cl.requiredVersion(polledAt)
	undisturbed := cl.disturbances.isUndisturbed(e.settings.Name, polledAt.Add(-settleTime), polledAt)
	if version < required && undisturbed && last.reportedOverdue < required {
		last.reportedOverdue = required
		cl.breach("%s still has version %d, although version %d was accepted more than %s ago", e.settings.Name, version, required, maxConfigDelay)
	}
}

// requiredVersion returns the newest version that was written more than
// maxConfigDelay before now.
func (cl *cluster) requiredVersion(now time.Time) int64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	required := int64(0)
	for _, v := range cl.configVersions {
		if now.Sub(v.at) > maxConfigDelay {
			required = max(required, v.number)
		}
	}
	return required
}
