package pick

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"magnolialedge"
	"magnolialedge/core/proc"
)

const (
	// MaxColdTime is the longest time for which an upstream may say that it is cold. A
	// longer one is taken for a mistake and ignored.
	MaxColdTime = time.Hour
	// defaultColdOverage applies to a Config without ColdOverage.
	defaultColdOverage = 1.5
	// coldViews is the number of different lists of entries that may be in use at a time,
	// as during a change of members, without the sum of the shares exceeding the limit times
	// Config.ColdOverage.
	coldViews = 2
	// coldSlowdownGain is the weight of one sample in the slowdown of a cold upstream,
	// which few requests measure.
	coldSlowdownGain = 0.3
	// listedColdTolerance is the allowance for differences between clocks when a cold time
	// that was registered before this entry started is compared with the start of the upstream.
	listedColdTolerance = time.Minute
	// minStartTime is the least value of StartedAtUnixMs that is taken for a time; upstreams
	// may number their starts instead.
	minStartTime = 1_500_000_000_000
	// coldRounding is added to a registered cold time, because the upstream rounds it down to
	// whole milliseconds.
	coldRounding = time.Millisecond
	// noExploration exceeds MaxColdTime: the limit of a cold upstream ends by itself, so
	// that no entry without a share needs to send a request to learn whether it has.
	noExploration = 2 * MaxColdTime
)

// cold is the limit of an upstream while it is cold, as this entry keeps it.
type cold struct {
	*proc.Quota
	// knownSince is when this entry learned of the cold time, and sharedAt when its share was
	// last computed.
	knownSince time.Time
	sharedAt   time.Time
	// slowdown is that of the cold upstream. The usual one does not include it.
	slowdown float64
}

// ColdChange is the beginning or the end of a cold time.
type ColdChange struct {
	magnolialedge.Registration
	IsCold bool
	// Remaining is the remaining cold time, and Rate the requests per second that this
	// entry may send.
	Remaining time.Duration
	Rate      float64
}

// SetColdLimits replaces the limits on the requests per second to one cold upstream from
// all entries together, by service. Services without one have no such limit.
func (f *Fleet) SetColdLimits(now time.Time, limits map[string]float64) {
	f.coldLimits = limits
	for _, u := range f.byID {
		f.refreshCold(now, u)
	}
}

// registerCold applies the cold time that an upstream registers. previous is its last
// registration; the same one again, as from a store that is listed again, says nothing
// new.
func (f *Fleet) registerCold(now time.Time, u *upstream, previous magnolialedge.Registration) {
	remaining := u.WarmUpRemaining
	if remaining > 0 && remaining <= MaxColdTime && previous != u.Registration && !f.isListedLate(now, u) {
		f.extendCold(now, u, now.Add(remaining+coldRounding))
		return
	}
	f.refreshCold(now, u)
}

// isListedLate reports whether an upstream of the initial listing started so long ago that
// the cold time it registered then is over. Without this, an entry that starts would take
// upstreams for cold that never register again.
func (f *Fleet) isListedLate(now time.Time, u *upstream) bool {
	if u.isNewcomer || u.StartedAtUnixMs < minStartTime {
		return false
	}
	return now.Sub(time.UnixMilli(u.StartedAtUnixMs)) > u.WarmUpRemaining+listedColdTolerance
}

// RecordCold records what a response to a health check that was sent at sentAt says about
// the remaining cold time of a run of an upstream; 0 ends it. It reports whether the
// limit of the upstream begins or ends.
func (f *Fleet) RecordCold(now time.Time, r magnolialedge.Registration, sentAt time.Time, remaining time.Duration) bool {
	u := f.runOf(r)
	if u == nil || (remaining <= 0 && !now.Before(u.coldUntil)) || (u.isCold(now) && sentAt.Before(u.cold.knownSince)) {
		return false
	}
	return f.setCold(now, u, now.Add(remaining))
}

// RecordPeerCold records what another entry says about the remaining cold time of the run
// of an upstream that started at startedAt, in Unix milliseconds; 0 ends it. It reports
// whether the limit of the upstream begins or ends.
func (f *Fleet) RecordPeerCold(now time.Time, id string, startedAt int64, remaining time.Duration) bool {
	u, ok := f.byID[id]
	if !ok || u.StartedAtUnixMs != startedAt || (remaining <= 0 && !now.Before(u.coldUntil)) {
		return false
	}
	until := now.Add(remaining)
	if remaining > 0 && until.Before(u.coldUntil) {
		return false
	}
	return f.setCold(now, u, until)
}

// setCold sets the end of the cold time, also to an earlier one, and reports whether the
// limit begins or ends.
func (f *Fleet) setCold(now time.Time, u *upstream, until time.Time) bool {
	if until.Sub(now) > MaxColdTime+coldRounding || until.Before(now) {
		return false
	}
	wasCold := u.isCold(now)
	if !wasCold {
		u.cold = nil
	}
	u.coldUntil = until
	f.refreshCold(now, u)
	if wasCold && !u.isCold(now) {
		u.warmUpUntil = now
	}
	return wasCold != u.isCold(now)
}

// extendCold sets the end of the cold time unless it is known to be later.
func (f *Fleet) extendCold(now time.Time, u *upstream, until time.Time) {
	if until.Before(u.coldUntil) {
		until = u.coldUntil
	}
	f.setCold(now, u, until)
}

// refreshCold begins, adapts or ends the limit of an upstream by its cold time and the
// limit of its service.
func (f *Fleet) refreshCold(now time.Time, u *upstream) {
	limit := f.coldLimits[u.Service]
	switch {
	case limit <= 0 || !now.Before(u.coldUntil):
		u.cold = nil
	case u.cold == nil:
		u.cold = &cold{Quota: proc.NewQuota(now, limit, f.coldShare(now, u)), knownSince: now, sharedAt: now, slowdown: warmUpSlowdown * u.usualSlowdown}
		u.slowdown = u.usualSlowdown
		f.coldIDs[u.ID] = false
	default:
		u.cold.Confirm(now, limit)
	}
}

// coldShare returns this entry's share in the limit of a cold upstream. It is reduced so
// that the entries keep the hard bound with coldViews different lists of entries.
func (f *Fleet) coldShare(now time.Time, u *upstream) magnolialedge.QuotaShare {
	share := magnolialedge.QuotaShare{Fraction: 1}
	if f.cfg.ColdQuotas != nil {
		share = f.cfg.ColdQuotas.QuotaShare(now, u.Registration)
	}
	share.Fraction *= min(1, cmp.Or(f.cfg.ColdOverage, defaultColdOverage)/coldViews)
	share.ExploreInterval = noExploration
	return share
}

// updateColdShare updates this entry's share in the limit of a cold upstream.
func (f *Fleet) updateColdShare(now time.Time, u *upstream) {
	if u.isCold(now) && now.Sub(u.cold.sharedAt) >= shareInterval {
		u.cold.sharedAt = now
		u.cold.SetShare(now, f.coldShare(now, u))
	}
}

// ColdChanges returns the cold times that began or ended since the last call, and the
// earliest end of those that last, or zero if there are none.
func (f *Fleet) ColdChanges(now time.Time) (changes []ColdChange, next time.Time) {
	for _, id := range slices.Sorted(maps.Keys(f.coldIDs)) {
		u, ok := f.byID[id]
		switch {
		case !ok:
			delete(f.coldIDs, id)
		case !u.isCold(now):
			if f.coldIDs[id] {
				changes = append(changes, ColdChange{Registration: u.Registration})
			}
			delete(f.coldIDs, id)
		default:
			if !f.coldIDs[id] {
				changes = append(changes, u.coldChange(now))
			}
			f.coldIDs[id] = true
			if next.IsZero() || u.coldUntil.Before(next) {
				next = u.coldUntil
			}
		}
	}
	return changes, next
}

// ColdUpstreams returns the upstreams that are cold and have a limit, in the order of
// their IDs.
func (f *Fleet) ColdUpstreams(now time.Time) []ColdChange {
	var out []ColdChange
	for _, id := range slices.Sorted(maps.Keys(f.coldIDs)) {
		if u, ok := f.byID[id]; ok && u.isCold(now) {
			f.updateColdShare(now, u)
			out = append(out, u.coldChange(now))
		}
	}
	return out
}

func (u *upstream) coldChange(now time.Time) ColdChange {
	return ColdChange{Registration: u.Registration, IsCold: true, Remaining: u.coldUntil.Sub(now), Rate: u.cold.Rate()}
}

// isCold reports whether the upstream is cold and its service limits the requests to it.
func (u *upstream) isCold(now time.Time) bool {
	return u.cold != nil && now.Before(u.coldUntil)
}

// isLimited reports whether a limit applies to the upstream, so that it is not probed.
func (u *upstream) isLimited(now time.Time) bool {
	return u.quota != nil || u.isCold(now)
}

// ranCold reports whether a request that was sent at sentAt may have run while the upstream
// was cold with a limit, so that its duration says nothing about the usual one.
func (f *Fleet) ranCold(u *upstream, sentAt time.Time) bool {
	return f.coldLimits[u.Service] > 0 && sentAt.Before(u.coldUntil)
}

// coldRate returns the lower one of rate and the rate that this entry may send to the
// upstream while it is cold, in requests per nanosecond.
func (u *upstream) coldRate(now time.Time, rate float64) float64 {
	if !u.isCold(now) {
		return rate
	}
	return min(rate, u.cold.Rate()/float64(time.Second))
}

// recordColdSlowdown records the slowdown of a cold upstream.
func (u *upstream) recordColdSlowdown(slowdown float64) {
	measured := min(max(slowdown, minMeasuredSlowdown), maxMeasuredSlowdown)
	u.cold.slowdown += coldSlowdownGain * (measured - u.cold.slowdown)
}
