package mirror

import (
	"time"

	"magnolialedge/core/mirror"
)

// Delivery describes how changes reached an entry.
type Delivery struct {
	// Source is the address of the entry that passed the changes on, or empty if they
	// came from the store.
	Source string
	// Age is the time since the source last reached the store.
	Age time.Duration
	// Silence is the time for which this entry had not known whether its items were up
	// to date.
	Silence time.Duration
	// Hops is the number of entries between this one and the store.
	Hops int
}

// arrival describes how a message reached this entry.
type arrival struct {
	origin mirror.Origin
	// source is the address of the peer that sent the message, or empty.
	source string
	// reachedAt is when the message's origin last reached the store.
	reachedAt time.Time
	// hops is the number of entries between this one and the store.
	hops int
	// isBackup is set for a message of a backup stream.
	isBackup bool
	// allowance is by how much the next confirmation may be later than usual.
	allowance time.Duration
}

// earlierWatchWait is the time between two confirmations of the store at entries of earlier
// releases.
const earlierWatchWait = 1200 * time.Millisecond

// fromStore returns the arrival of a reply of the store.
func fromStore(reachedAt time.Time) arrival {
	return arrival{origin: mirror.FromStore, reachedAt: reachedAt}
}

// fromPeer returns the arrival of a message of a peer's stream.
func fromPeer(now time.Time, timing mirror.Timing, address string, m message) arrival {
	a := arrival{origin: mirror.FromPeer, source: address, reachedAt: now.Add(-m.age()), hops: m.Hops + 1}
	if !m.Relays {
		a.allowance = max(0, earlierWatchWait+timing.Heartbeat-timing.WatchWait)
	}
	return a
}

// delivery returns the description of an arrival for OnChange; previous is when the store
// was last reached before it.
func (a arrival) delivery(now, previous time.Time) Delivery {
	d := Delivery{Source: a.source, Age: now.Sub(a.reachedAt), Hops: a.hops}
	if !previous.IsZero() {
		d.Silence = now.Sub(previous)
	}
	return d
}
