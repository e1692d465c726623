package mirror

import "time"

// Timing holds the intervals with which changes of the store spread to all
// entries.
type Timing struct {
	// Bound is the time within which a change must be in force at every entry.
	Bound time.Duration
	// WatchInterval is the shortest time between two watch calls of an entry, so
	// that many small changes cost few calls.
	WatchInterval time.Duration
	// WatchWait is the longest time between two confirmations by a store without
	// changes. Each is passed on at once, so that it holds for all entries.
	WatchWait time.Duration
	// Heartbeat is the interval of the messages on a stream without changes and
	// confirmations.
	Heartbeat time.Duration
	// IdleTimeout is how long a stream may deliver no bytes before it counts as
	// broken.
	IdleTimeout time.Duration
	// BackupMargin is the time by which a confirmation may be late before an entry
	// also receives changes from further entries, and BackupInterval the time between
	// two attempts at such an entry.
	BackupMargin   time.Duration
	BackupInterval time.Duration
	// ProbeSpread is the time over which entries that otherwise leave the store to their
	// sources call it while no entry confirms anything.
	ProbeSpread time.Duration
}

const (
	// DefaultPropagation is the bound on the spread of changes if none is set, and
	// minPropagation the lowest one that TimingFor applies.
	DefaultPropagation = 2500 * time.Millisecond
	minPropagation     = 500 * time.Millisecond
)

// Fractions of the propagation bound.
const (
	watchIntervalShare  = 0.2
	watchWaitShare      = 0.44
	heartbeatShare      = 0.23
	backupMarginShare   = 0.1
	backupIntervalShare = 0.06
	probeSpreadShare    = 0.24
	// idleShare is the fraction of the bound after which a silent source is given
	// up. The rest is left for its successor to list the store, for one watch
	// interval and for the stream to this entry.
	idleShare = 0.475
)

// TimingFor returns the timing with which a change is in force everywhere within
// bound, also if the source of a region fails at the moment of the change.
func TimingFor(bound time.Duration) Timing {
	bound = max(bound, minPropagation)
	return Timing{
		Bound:          bound,
		WatchInterval:  share(bound, watchIntervalShare),
		WatchWait:      share(bound, watchWaitShare),
		Heartbeat:      share(bound, heartbeatShare),
		IdleTimeout:    share(bound, idleShare),
		BackupMargin:   share(bound, backupMarginShare),
		BackupInterval: share(bound, backupIntervalShare),
		ProbeSpread:    share(bound, probeSpreadShare),
	}
}

// BackupDelay returns how long an entry waits for a confirmation that its items are up to
// date.
func (t Timing) BackupDelay() time.Duration {
	return t.WatchWait + t.BackupMargin
}

func share(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}
