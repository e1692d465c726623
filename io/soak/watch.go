package soak

import (
	"context"
	"net/http"
	"time"

	"magnolialedge/io/pause"
)

// watchEvery is the time between two looks at each entry.
const watchEvery = 100 * time.Millisecond

// change is a version of the configuration and when it was accepted.
type change struct {
	version int64
	at      time.Time
}

// watch looks at the entries until ctx is done: none falls by itself, none goes
// back to an older configuration, and each takes a new one in time.
func (w *world) watch(ctx context.Context) {
	client := &http.Client{Timeout: watchEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	seen := make([]seenVersion, len(w.entries))
	for ctx.Err() == nil {
		for i, e := range w.entries {
			if e.hasFallen() {
				w.breach("%s ended by itself", e.settings.Name)
				return
			}
			run := e.run()
			asked := time.Now()
			s, err := e.state(client)
			if err != nil || run != e.run() || s.Leaving {
				continue
			}
			w.checkVersion(e, s.Version, asked, &seen[i], run)
		}
		pause.Sleep(ctx, watchEvery)
	}
}

type seenVersion struct {
	version int64
	run     int
	// told tells that an overdue version was reported.
	told int64
}

func (w *world) checkVersion(e *entry, version int64, asked time.Time, seen *seenVersion, run int) {
	if seen.run == run && version < seen.version {
		w.breach("%s went back from version %d to %d", e.settings.Name, seen.version, version)
	}
	seen.version, seen.run = version, run
	due := w.versionDue(asked)
	calm := w.calm.isCalm(e.settings.Name, asked.Add(-settled), asked)
	if version < due && calm && seen.told < due {
		seen.told = due
		w.breach("%s has version %d while %d has been accepted for %s", e.settings.Name, version, due, configLimit)
	}
}

// versionDue returns the newest version that had been accepted long enough.
func (w *world) versionDue(now time.Time) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := int64(0)
	for _, c := range w.changes {
		if now.Sub(c.at) > configLimit {
			due = max(due, c.version)
		}
	}
	return due
}
