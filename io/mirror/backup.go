package mirror

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"magnolialedge/core/mirror"
	"magnolialedge/io/event"
	"magnolialedge/io/pause"
)

// maxConfirmingHops is the largest number of entries between a backup peer and the store
// with which the peer's age still counts. The age leaves out the time on the way, so that
// entries which only hear of each other would take themselves for up to date.
const maxConfirmingHops = 4

// minBackupPoll is the shortest time between two checks whether backup streams are needed.
const minBackupPoll = 20 * time.Millisecond

// backups holds the backup streams of a Follower; Follower.mu guards it.
type backups struct {
	*mirror.Backups
	// cancels ends the stream of an address.
	cancels map[string]context.CancelFunc
	// probeJitter spreads the calls of entries that probe the store. Few entries of a fleet
	// have a small one, so that the first call can end before the others begin. isProbing is
	// set during a call.
	probeJitter time.Duration
	isProbing   bool
	// silentAt is when the primary way was last found silent, or zero while it confirms.
	silentAt time.Time
}

func newBackups(timing mirror.Timing) backups {
	return backups{
		Backups:     mirror.NewBackups(timing),
		cancels:     map[string]context.CancelFunc{},
		probeJitter: time.Duration(math.Sqrt(rand.Float64()) * float64(timing.ProbeSpread)),
	}
}

// cancel ends the stream of an address.
func (b *backups) cancel(address string) {
	b.cancels[address]()
	delete(b.cancels, address)
}

// runBackups opens and closes backup streams until ctx is done.
func (f *Follower) runBackups(ctx context.Context) {
	for ctx.Err() == nil {
		pause.Sleep(ctx, f.adjustBackups(ctx, time.Now()))
	}
}

// adjustBackups opens and closes backup streams, and returns the time until the next check.
func (f *Follower) adjustBackups(ctx context.Context, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mirror.Position().Revision == 0 {
		return f.cfg.Timing.BackupMargin
	}
	f.logSilence(now)
	open, closed := f.backups.Next(now, f.confirmedAt, f.cfg.BackupPeers)
	for _, address := range closed {
		f.backups.cancel(address)
	}
	for _, address := range open {
		streamCtx, cancel := context.WithCancel(ctx)
		f.backups.cancels[address] = cancel
		go f.followBackup(streamCtx, address)
	}
	if f.mayProbe() && f.backups.IsProbeDue(now, f.confirmedAt, f.backups.probeJitter) {
		f.backups.isProbing = true
		go f.probeStore(ctx)
	}
	if f.backups.silentAt.IsZero() {
		untilSilent := f.cfg.Timing.BackupDelay() - now.Sub(f.confirmedAt)
		return max(minBackupPoll, untilSilent)
	}
	return max(minBackupPoll, f.cfg.Timing.BackupInterval/4)
}

// logSilence logs when the primary way has become silent and when it confirms again; f.mu
// must be held.
func (f *Follower) logSilence(now time.Time) {
	isSilent := f.backups.IsSilent(now, f.confirmedAt)
	switch {
	case isSilent && f.backups.silentAt.IsZero():
		f.backups.silentAt = now
		f.cfg.Log.Log(event.PrimarySilent, "silentMs", now.Sub(f.confirmedAt).Milliseconds(), "hops", f.hops, "revision", f.mirror.Position().Revision)
	case !isSilent && !f.backups.silentAt.IsZero():
		f.cfg.Log.Log(event.PrimaryConfirmed, "afterMs", now.Sub(f.backups.silentAt).Milliseconds(), "hops", f.hops, "revision", f.mirror.Position().Revision)
		f.backups.silentAt = time.Time{}
	}
}

// followBackup applies the messages of a backup stream until it ends.
func (f *Follower) followBackup(ctx context.Context, address string) {
	err := f.follow(ctx, address, limits{staleness: unlimitedStaleness, hops: unlimitedHops, isBackup: true})
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() == nil {
		f.cfg.Log.Log(event.SourceLost, "source", address, "err", err, "revision", f.mirror.Position().Revision, "backup", true)
		f.backups.Ended(address)
		f.backups.cancel(address)
	}
}

// mayProbe reports whether this entry may probe the store. One that calls it anyway does not. One
// that may watch the store, but is still looking for a source, does: its sources may all be
// silent, and each would be waited for. f.mu must be held.
func (f *Follower) mayProbe() bool {
	return f.cfg.ProbeStore != nil && !f.isPolling && !f.backups.isProbing
}

// probeStore asks the store for the changes that this entry lacks, after a cheap call that
// shows whether the store serves it.
func (f *Follower) probeStore(ctx context.Context) {
	err := f.cfg.ProbeStore(ctx)
	if err == nil {
		err = f.fetch(ctx, 0, true)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backups.isProbing = false
	f.backups.Probed(time.Now(), err == nil)
	f.cfg.Log.Log(event.StoreProbed, "err", err, "revision", f.mirror.Position().Revision)
}

// BackupStreams returns the number of open backup streams.
func (f *Follower) BackupStreams() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backups.Len()
}
