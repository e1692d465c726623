package pick

import (
	"math"
	"time"

	"magnolialedge"
	"magnolialedge/core/proc"
)

const (
	// inZoneTrip, crossZoneTrip and crossRegionTrip are round trips that are
	// assumed before one has been measured.
	inZoneTrip      = 500 * time.Microsecond
	crossZoneTrip   = 3 * time.Millisecond
	crossRegionTrip = 42 * time.Millisecond
	// tripGain is the weight of one measured round trip.
	tripGain = 0.2
	// slownessLife is the age at which a reading of slowness has lost most of
	// its weight against the upstream's usual slowness.
	slownessLife = 350 * time.Millisecond
	// usualGain is the weight of one reading in the usual slowness.
	usualGain = 0.02
	// othersLife is the age at which a reading of other entries' requests has
	// lost most of its weight.
	othersLife = 150 * time.Millisecond
	// coldFactor is how much slower an upstream works just after its start.
	coldFactor = 2
	// failGain is the weight of one result in the share of failures.
	failGain = 0.15
	// failLife is the time in which a share of failures without new results
	// halves.
	failLife = 2 * time.Second
	// darkTime is how long an upstream that can't be reached gets no request
	// before it is tried again.
	darkTime = 400 * time.Millisecond
	// mostDarkTime bounds the doubling of darkTime.
	mostDarkTime = 2 * time.Second
)

// upstream is what one entry knows of a registered upstream.
type upstream struct {
	magnolialedge.Registration
	trip     time.Duration
	distance distance
	coldTill time.Time
	inFlight int

	// askedAt is when the oldest reading that has not come was asked for.
	askedAt  time.Time
	readAt   time.Time
	slowness float64
	usual    float64
	others   float64
	// loadUntold tells that the upstream answers without telling its load, and seenAt is
	// when it last answered.
	loadUntold bool
	seenAt     time.Time

	health   proc.Health
	failed   float64
	failedAt time.Time
	darkTill time.Time
	dark     time.Duration
	used     bool
}

type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

func newUpstream(now time.Time, r magnolialedge.Registration, d distance) *upstream {
	u := &upstream{usual: 1, slowness: 1, distance: d}
	u.trip = [...]time.Duration{inZoneTrip, crossZoneTrip, crossRegionTrip}[d]
	u.register(now, r)
	return u
}

// register takes what the upstream says of itself. A later start under the same
// id knows nothing of the earlier one.
func (u *upstream) register(now time.Time, r magnolialedge.Registration) {
	if u.StartedAtUnixMs != r.StartedAtUnixMs && u.ID != "" {
		u.health = proc.Health{}
		u.failed = 0
		u.dark = 0
		u.darkTill = time.Time{}
		u.readAt = time.Time{}
	}
	u.Registration = r
	u.coldTill = now.Add(r.WarmUpRemaining)
}

// slownessAt estimates the slowness now from the last reading and what is usual.
func (u *upstream) slownessAt(now time.Time) float64 {
	s := u.usual
	if !u.readAt.IsZero() {
		keep := decay(now.Sub(u.readAt), slownessLife)
		s = u.slowness*keep + u.usual*(1-keep)
	}
	if now.Before(u.coldTill) {
		s *= coldFactor
	}
	return s
}

// load estimates the requests that the upstream has, of all entries.
func (u *upstream) load(now time.Time) float64 {
	if u.readAt.IsZero() {
		return float64(u.inFlight)
	}
	return float64(u.inFlight) + u.others*decay(now.Sub(u.readAt), othersLife)
}

// roomSlack keeps a small estimate of other entries' requests from counting as
// a whole one.
const roomSlack = 0.25

// hasRoomFor reports whether a request beside load others would begin at once and
// not slow them down more than it is worth.
func (u *upstream) hasRoomFor(load, crowding float64) bool {
	return load+1 <= float64(u.usefulSlots(crowding))+roomSlack
}

// usefulSlots leaves the last slot out if the upstream does less with it than
// without it.
func (u *upstream) usefulSlots(crowding float64) int {
	slots := max(1, u.Slots)
	if slots > 1 && float64(slots)/crowding < float64(slots-1) {
		return slots - 1
	}
	return slots
}

// fillsUpWith reports whether one more request beside load others would take the
// last slot.
func (u *upstream) fillsUpWith(load float64) bool {
	return u.Slots > 1 && load+1+roomSlack >= float64(u.Slots)
}

func (u *upstream) read(now time.Time, r magnolialedge.LoadReading) {
	u.readAt = now
	u.loadUntold = false
	u.others = max(0, float64(r.Running+r.Waiting-u.inFlight))
	if r.Slots > 0 {
		u.Slots = r.Slots
	}
	if r.Slowdown > 0 {
		u.slowness = r.Slowdown
		u.usual += usualGain * (r.Slowdown - u.usual)
	}
	u.reached()
}

const (
	// fastest and slowest bound one slowness that is measured by an answer.
	fastest = 0.3
	slowest = 10
)

// seen takes a sign of life that tells no load.
func (u *upstream) seen(now time.Time) {
	u.loadUntold = true
	u.seenAt = now
	u.reached()
}

// measure takes the slowness that an answer showed, for an upstream that tells
// none.
func (u *upstream) measure(now time.Time, slowness float64) {
	u.seenAt = now
	u.readAt = now
	u.others = 0
	u.slowness = min(max(slowness, fastest), slowest)
	u.usual += usualGain * (u.slowness - u.usual)
}

func (u *upstream) reached() {
	u.askedAt = time.Time{}
	u.dark = 0
	u.darkTill = time.Time{}
}

func (u *upstream) unreachable(now time.Time) {
	u.askedAt = time.Time{}
	u.dark = min(max(darkTime, 2*u.dark), mostDarkTime)
	u.darkTill = now.Add(u.dark)
}

// muteAfter is how long an upstream may take to answer with its load, beyond two
// round trips, before others go first.
const muteAfter = 25 * time.Millisecond

// isMute reports whether a reading is overdue.
func (u *upstream) isMute(now time.Time) bool {
	return !u.askedAt.IsZero() && now.Sub(u.askedAt) > muteAfter+2*u.trip
}

func (u *upstream) failShare(now time.Time) float64 {
	if u.failed == 0 {
		return 0
	}
	return u.failed * math.Exp2(-float64(now.Sub(u.failedAt))/float64(failLife))
}

func (u *upstream) result(now time.Time, failed bool) {
	share := u.failShare(now)
	u.failedAt = now
	if failed {
		u.failed = share + failGain*(1-share)
		return
	}
	u.failed = share - failGain*share
}

// isUsable reports whether the upstream may get a request at all.
func (u *upstream) isUsable(now time.Time) bool {
	return !u.Draining && !now.Before(u.darkTill) && u.health.StateAt(now) != proc.Ejected
}

func decay(age, life time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(life))
}
