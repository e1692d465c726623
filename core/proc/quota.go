package proc

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"magnolialedge"
)

const (
	// quotaBurst is the time for which an entry accumulates unused requests of its
	// share.
	quotaBurst = 250 * time.Millisecond
	// shareGrowthDelay is the time after which a larger share takes effect. By then
	// the entries that lose their share to this one know of it too, although the
	// entries learn of a change of members at different times.
	shareGrowthDelay = 2 * time.Second
)

// Quota is this entry's share of the requests that an upstream takes from all entries
// together. It is not safe for concurrent use.
type Quota struct {
	limit float64
	share magnolialedge.QuotaShare
	// growth is a larger share that takes effect at growsAt, unless that is zero.
	growth  magnolialedge.QuotaShare
	growsAt time.Time
	// heardAt is the time of the last statement about the limit.
	heardAt time.Time
	bucket  *Bucket
	// reserved is the number of requests that are about to be sent.
	reserved int
}

// NewQuota returns a Quota for a limit in requests per second. It starts empty, so that
// the entries that learn of the limit at the same time send no burst.
func NewQuota(now time.Time, limit float64, share magnolialedge.QuotaShare) *Quota {
	q := &Quota{limit: limit, share: share, heardAt: now, bucket: NewEmptyBucket(0, 1, now)}
	q.resize(now)
	return q
}

// Limit returns the limit in requests per second of all entries together.
func (q *Quota) Limit() float64 {
	return q.limit
}

// Confirm records that the limit is stated again, maybe with another value.
func (q *Quota) Confirm(now time.Time, limit float64) {
	q.heardAt = now
	q.limit = limit
	q.resize(now)
}

// SetShare sets the share. A smaller one takes effect at once, a larger one after
// shareGrowthDelay.
func (q *Quota) SetShare(now time.Time, share magnolialedge.QuotaShare) {
	if share.Fraction <= q.share.Fraction {
		q.share, q.growsAt = share, time.Time{}
		q.resize(now)
		return
	}
	if q.growsAt.IsZero() {
		q.growsAt = now.Add(shareGrowthDelay)
	}
	q.growth = share
	if !now.Before(q.growsAt) {
		q.share, q.growsAt = share, time.Time{}
		q.resize(now)
	}
}

// resize adapts the bucket to the limit and the share.
func (q *Quota) resize(now time.Time) {
	q.bucket.refill(now)
	rate := q.Rate()
	q.bucket.tokensPerSecond = rate
	q.bucket.burst = max(1, rate*quotaBurst.Seconds())
	q.bucket.tokens = min(q.bucket.tokens, q.bucket.burst)
}

// Rate returns the number of requests per second that this entry may send.
func (q *Quota) Rate() float64 {
	return q.limit * q.share.Fraction
}

// IsOpen reports whether this entry may send requests at all, now or later. Without a
// share it may send a single one when nothing was heard of the limit for a long time.
func (q *Quota) IsOpen(now time.Time) bool {
	return q.Rate() > 0 || q.mayExplore(now)
}

func (q *Quota) mayExplore(now time.Time) bool {
	return now.Sub(q.heardAt) >= q.share.ExploreInterval
}

// IsAvailable reports whether a request may be sent now.
func (q *Quota) IsAvailable(now time.Time) bool {
	q.bucket.refill(now)
	return q.bucket.tokens >= float64(1+q.reserved) || (q.reserved == 0 && q.mayExplore(now))
}

// Take counts a request that is sent.
func (q *Quota) Take(now time.Time) {
	if !q.bucket.Take(now, 1) {
		q.heardAt = now
	}
}

// Reserve keeps a request for a waiter until Release.
func (q *Quota) Reserve() {
	q.reserved++
}

// Release returns what Reserve has kept.
func (q *Quota) Release() {
	q.reserved--
}

const (
	// maxQuotaHolders limits the entries that share a limit. Their number does not
	// depend on the limit, because those without a share do not learn that it moves.
	maxQuotaHolders = 4
	// exploreInterval, for each live entry, is how long an entry without a share
	// hears nothing of a limit before it sends a request to learn whether it has
	// ended. All entries together then send few.
	exploreInterval = 4 * time.Second
)

// MemberSettleTime is the time after its start from which an entry knows the other
// entries well enough to share limits with them.
const MemberSettleTime = 2 * time.Second

// ShareQuota returns the share of the entry named self in the limit of an upstream. Few
// entries share it, because a share of each entry would be too small to use: those to
// which the callers of the given hosts are steered at the place of the upstream. hosts
// are those whose requests go to its service.
func ShareQuota(all []magnolialedge.Instance, self string, r magnolialedge.Registration, place Place, hosts []string) magnolialedge.QuotaShare {
	share := ShareAmong(SteeredEntries(all, r.Service, place, hosts), self, r)
	share.ExploreInterval = time.Duration(len(all)) * exploreInterval
	return share
}

// ShareAmong returns the share of the entry named self in the limit of an upstream, without
// an ExploreInterval. steered is the result of SteeredEntries for the upstream's service and
// place, which its upstreams have in common.
func ShareAmong(steered []magnolialedge.Instance, self string, r magnolialedge.Registration) magnolialedge.QuotaShare {
	holders := holdersAmong(steered, r)
	share := magnolialedge.QuotaShare{}
	if slices.Contains(holders, self) {
		share.Fraction = 1 / float64(len(holders))
	}
	return share
}

// quotaHolders returns the names of the entries that share the limit of an upstream.
func quotaHolders(all []magnolialedge.Instance, r magnolialedge.Registration, place Place, hosts []string) []string {
	return holdersAmong(SteeredEntries(all, r.Service, place, hosts), r)
}

// SteeredEntries returns the entries to which the callers of the given hosts are steered at
// a place, in any order. Without hosts, the name of the service stands for one.
func SteeredEntries(all []magnolialedge.Instance, service string, place Place, hosts []string) []magnolialedge.Instance {
	if len(hosts) == 0 {
		hosts = []string{service}
	}
	steered := map[string]magnolialedge.Instance{}
	for _, host := range hosts {
		live, count := Steer(all, place, host, 0)
		for _, in := range live[:count] {
			steered[in.Name] = in
		}
	}
	return slices.Collect(maps.Values(steered))
}

// holdersAmong returns the names of the steered entries that share the limit of an upstream.
func holdersAmong(steered []magnolialedge.Instance, r magnolialedge.Registration) []string {
	sorted := slices.SortedFunc(slices.Values(steered), func(a, b magnolialedge.Instance) int {
		return cmp.Or(cmp.Compare(RendezvousWeight(b, r.ID), RendezvousWeight(a, r.ID)), cmp.Compare(a.Name, b.Name))
	})
	names := []string{}
	for _, in := range sorted[:min(maxQuotaHolders, len(sorted))] {
		names = append(names, in.Name)
	}
	return names
}
