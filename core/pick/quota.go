package pick

import (
	"time"

	"magnolialedge"
	"magnolialedge/core/proc"
)

const (
	// shareInterval is the time between two updates of this entry's share in a limit.
	shareInterval = 200 * time.Millisecond
	// endConfirmations is the number of responses in a row that must announce no limit
	// before it counts as ended for an entry with a share. Responses may arrive in
	// another order than they were sent.
	endConfirmations = 2
)

// quota is the limit that an upstream announces, as this entry keeps it.
type quota struct {
	*proc.Quota
	// knownSince is when this entry learned of the limit.
	knownSince time.Time
	sharedAt   time.Time
	// silent is the number of responses in a row that announce no limit.
	silent int
}

// LimitChange is what a statement about the limit of an upstream changes.
type LimitChange int

const (
	// LimitUnchanged means that this entry keeps the limit that it knew, or none.
	LimitUnchanged LimitChange = iota
	// LimitBegun means that this entry did not know of a limit before.
	LimitBegun
	// LimitChanged means that the limit has another value than before.
	LimitChanged
	// LimitEnded means that the limit no longer applies.
	LimitEnded
)

// RecordLimit records what the response of a run of an upstream to a request sent at
// sentAt says about its limit.
func (f *Fleet) RecordLimit(now time.Time, r magnolialedge.Registration, sentAt time.Time, limit magnolialedge.RateLimit) LimitChange {
	u := f.runOf(r)
	switch {
	case u == nil:
		return LimitUnchanged
	case limit.IsSet:
		return f.confirmLimit(now, u, limit.PerSecond)
	case u.quota == nil || sentAt.Before(u.quota.knownSince):
		return LimitUnchanged
	}
	u.quota.silent++
	if u.quota.Rate() > 0 && u.quota.silent < endConfirmations {
		return LimitUnchanged
	}
	u.quota = nil
	return LimitEnded
}

// RecordPeerLimit records what another entry says about the limit of the run of an
// upstream that started at startedAt, in Unix milliseconds.
func (f *Fleet) RecordPeerLimit(now time.Time, id string, startedAt int64, limit magnolialedge.RateLimit) LimitChange {
	u, ok := f.byID[id]
	if !ok || u.StartedAtUnixMs != startedAt {
		return LimitUnchanged
	}
	if limit.IsSet {
		return f.confirmLimit(now, u, limit.PerSecond)
	}
	if u.quota == nil {
		return LimitUnchanged
	}
	u.quota = nil
	return LimitEnded
}

func (f *Fleet) confirmLimit(now time.Time, u *upstream, limit float64) LimitChange {
	if u.quota == nil {
		u.quota = &quota{Quota: proc.NewQuota(now, limit, f.quotaShare(now, u)), knownSince: now, sharedAt: now}
		return LimitBegun
	}
	before := u.quota.Limit()
	u.quota.silent = 0
	u.quota.Confirm(now, limit)
	if before != limit {
		return LimitChanged
	}
	return LimitUnchanged
}

// QuotaRate returns the number of requests per second that this entry may send to an
// upstream that announces a limit, and false if it announces none.
func (f *Fleet) QuotaRate(id string) (float64, bool) {
	u, ok := f.byID[id]
	if !ok || u.quota == nil {
		return 0, false
	}
	return u.quota.Rate(), true
}

// LimitedCount returns the number of upstreams that announce a limit.
func (f *Fleet) LimitedCount() int {
	n := 0
	for _, u := range f.byID {
		if u.quota != nil {
			n++
		}
	}
	return n
}

// quotaShare returns this entry's share in a limit. Without a QuotaSharer it is the
// only entry.
func (f *Fleet) quotaShare(now time.Time, u *upstream) magnolialedge.QuotaShare {
	if f.cfg.Quotas == nil {
		return magnolialedge.QuotaShare{Fraction: 1}
	}
	return f.cfg.Quotas.QuotaShare(now, u.Registration)
}

// updateShares updates this entry's shares in the limits of a service's upstreams.
func (f *Fleet) updateShares(now time.Time, service string) {
	for _, u := range f.byService[service] {
		if u.quota != nil && now.Sub(u.quota.sharedAt) >= shareInterval {
			u.quota.sharedAt = now
			u.quota.SetShare(now, f.quotaShare(now, u))
		}
		f.updateColdShare(now, u)
	}
}

// reserve counts a request that a waiter is about to send, until release.
func (u *upstream) reserve() {
	u.inFlight++
	if u.quota != nil {
		u.quota.Reserve()
	}
	if u.cold != nil {
		u.cold.Reserve()
	}
}

func (u *upstream) release() {
	u.inFlight--
	if u.quota != nil {
		u.quota.Release()
	}
	if u.cold != nil {
		u.cold.Release()
	}
}
