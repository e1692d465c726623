package mirror

import (
	"slices"
	"time"
)

const (
	// initialBackups is the number of backup streams that are opened at once.
	initialBackups = 3
	// maxBackups limits the backup streams. Beyond it, the one whose peer knows least is
	// replaced.
	maxBackups = 4
	// keptBackups is the number of streams that stay open once that many confirm that the
	// items are up to date.
	keptBackups = 2
)

// BackupStream is a stream of changes from another entry that is open beside the primary
// way.
type BackupStream struct {
	Address  string
	OpenedAt time.Time
	// ReachedAt is when the store was last reached according to the stream, or zero if
	// the stream has not told.
	ReachedAt time.Time
}

// Backups decides from which other entries an entry also receives changes while its
// primary way, the store or a source, does not confirm that its items are up to date. A way
// can fail without a sign, so only the time since the last confirmation counts. It is not
// safe for concurrent use.
type Backups struct {
	timing  Timing
	streams []BackupStream
	// silentSince is when the streams were first needed, or zero.
	silentSince time.Time
	// nextOpen is when a further stream may be opened, and interval the time until then.
	nextOpen time.Time
	interval time.Duration
	// nextProbe is when this entry may call the store itself, and probeInterval the time
	// until then after a failure.
	nextProbe     time.Time
	probeInterval time.Duration
	// probedAt is the time of the last call that succeeded, or zero.
	probedAt time.Time
}

// NewBackups returns Backups without open streams.
func NewBackups(timing Timing) *Backups {
	return &Backups{timing: timing}
}

// IsSilent reports whether the primary way has not confirmed the items for too long;
// confirmedAt is the latest time as of which it has.
func (b *Backups) IsSilent(now time.Time, confirmedAt time.Time) bool {
	return now.Sub(confirmedAt) >= b.timing.BackupDelay()
}

// Next returns the addresses of the peers to which streams are to be opened, and of those
// whose streams are to be closed. candidates returns the addresses of other entries, best
// first.
func (b *Backups) Next(now time.Time, confirmedAt time.Time, candidates func() []string) (open, closed []string) {
	if !b.IsSilent(now, confirmedAt) {
		b.silentSince = time.Time{}
		return nil, b.closeIf(func(BackupStream) bool { return true })
	}
	if b.silentSince.IsZero() {
		b.silentSince, b.nextOpen, b.interval = now, now, b.timing.BackupInterval
		b.nextProbe, b.probeInterval, b.probedAt = now, b.timing.Bound, time.Time{}
	}
	switch confirming := b.countConfirming(now); {
	case confirming >= keptBackups:
		return nil, b.closeUnneeded(now)
	case confirming > 0 || now.Before(b.nextOpen):
		return nil, nil
	}
	n := 1
	if len(b.streams) == 0 {
		n = initialBackups
	}
	open = b.choose(n, candidates())
	if len(b.streams)+len(open) > maxBackups {
		closed = b.closeStalest()
	}
	for _, address := range open {
		b.streams = append(b.streams, BackupStream{Address: address, OpenedAt: now})
	}
	b.schedule(now)
	return open, closed
}

// schedule sets the time of the next opening. When no peer has known more for as long as a
// change may take, the store is away for all, and further peers are tried less often.
func (b *Backups) schedule(now time.Time) {
	if now.Sub(b.silentSince) > b.timing.Bound {
		b.interval = min(2*b.interval, b.timing.Bound)
	}
	b.nextOpen = now.Add(b.interval)
}

// IsProbeDue reports whether an entry that otherwise leaves the store to its sources is to
// call it: no other entry confirms that the items are up to date, and the store may serve
// this one alone. jitter spreads the first calls of many entries, so that the first one that
// succeeds spares the others theirs.
func (b *Backups) IsProbeDue(now time.Time, confirmedAt time.Time, jitter time.Duration) bool {
	if !b.IsSilent(now, confirmedAt) || b.silentSince.IsZero() {
		return false
	}
	if b.probedAt.IsZero() {
		return b.countConfirming(now) == 0 && now.Sub(b.nextProbe) >= jitter
	}
	return !b.isConfirmedByOthers(now) && !now.Before(b.nextProbe)
}

// isConfirmedByOthers reports whether a stream tells more than what this entry's own last
// call may have told its peer.
func (b *Backups) isConfirmedByOthers(now time.Time) bool {
	own := b.probedAt.Add(b.timing.Heartbeat / 2)
	return slices.ContainsFunc(b.streams, func(s BackupStream) bool { return b.isConfirming(now, s) && s.ReachedAt.After(own) })
}

// Probed records a call to the store.
func (b *Backups) Probed(now time.Time, succeeded bool) {
	if succeeded {
		b.nextProbe, b.probeInterval, b.probedAt = now.Add(b.timing.WatchWait), b.timing.Bound, now
		return
	}
	b.nextProbe = now.Add(b.probeInterval)
	b.probeInterval *= 2
}

// choose returns up to n candidates to which no stream is open.
func (b *Backups) choose(n int, candidates []string) []string {
	var out []string
	for _, address := range candidates {
		isOpen := slices.ContainsFunc(b.streams, func(s BackupStream) bool { return s.Address == address })
		if len(out) < n && !isOpen {
			out = append(out, address)
		}
	}
	return out
}

// Confirm records when the store was last reached according to a stream.
func (b *Backups) Confirm(address string, reachedAt time.Time) {
	for i, s := range b.streams {
		if s.Address == address && reachedAt.After(s.ReachedAt) {
			b.streams[i].ReachedAt = reachedAt
		}
	}
}

// Ended records that a stream has ended.
func (b *Backups) Ended(address string) {
	b.closeIf(func(s BackupStream) bool { return s.Address == address })
}

// Len returns the number of open streams.
func (b *Backups) Len() int {
	return len(b.streams)
}

func (b *Backups) isConfirming(now time.Time, s BackupStream) bool {
	return now.Sub(s.ReachedAt) < b.timing.BackupDelay()
}

func (b *Backups) countConfirming(now time.Time) int {
	n := 0
	for _, s := range b.streams {
		if b.isConfirming(now, s) {
			n++
		}
	}
	return n
}

// closeUnneeded removes all streams but the first keptBackups that confirm the items, and
// returns their addresses.
func (b *Backups) closeUnneeded(now time.Time) []string {
	kept := 0
	return b.closeIf(func(s BackupStream) bool {
		if !b.isConfirming(now, s) {
			return true
		}
		kept++
		return kept > keptBackups
	})
}

// closeIf removes the streams that match accepts, and returns their addresses.
func (b *Backups) closeIf(match func(BackupStream) bool) []string {
	var closed []string
	b.streams = slices.DeleteFunc(b.streams, func(s BackupStream) bool {
		if match(s) {
			closed = append(closed, s.Address)
			return true
		}
		return false
	})
	return closed
}

// closeStalest removes the stream whose peer reached the store least recently, and the
// oldest one of several.
func (b *Backups) closeStalest() []string {
	stalest := slices.MinFunc(b.streams, func(x, y BackupStream) int {
		if c := x.ReachedAt.Compare(y.ReachedAt); c != 0 {
			return c
		}
		return x.OpenedAt.Compare(y.OpenedAt)
	})
	return b.closeIf(func(s BackupStream) bool { return s.Address == stalest.Address })
}
