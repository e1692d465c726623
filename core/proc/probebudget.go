package proc

import (
	"math"
	"time"
)

// ProbeLimits limits the load probes that all entries together send to
// upstreams.
type ProbeLimits struct {
	// PerUpstreamPerSecond is the average number of probes allowed per
	// upstream and second; 0 means no limit.
	PerUpstreamPerSecond float64
}

const (
	// probeBudgetSkew is the multiple of an even share that one entry may
	// use. Steering sends the requests of a host and region to few entries,
	// so most entries send few probes.
	probeBudgetSkew = 3
	// probeBudgetBurst is the time for which an entry accumulates unused
	// probes.
	probeBudgetBurst = 4 * time.Second
)

// ProbeBudget limits the load probes of one entry. All entries together stay
// within ProbeLimits as long as at most a third of them use their whole budget,
// as is the case with steering. ProbeBudget is not safe for concurrent use.
type ProbeBudget struct {
	limits ProbeLimits
	bucket *Bucket
}

// NewProbeBudget returns an empty ProbeBudget. Resize sets its rate.
func NewProbeBudget(l ProbeLimits, now time.Time) *ProbeBudget {
	return &ProbeBudget{limits: l, bucket: NewEmptyBucket(0, 0, now)}
}

// Resize sets the rate for the given numbers of entries and upstreams.
func (b *ProbeBudget) Resize(now time.Time, entries, upstreams int) {
	share := min(1, probeBudgetSkew/float64(max(minAssumedEntries, entries)))
	rate := b.limits.PerUpstreamPerSecond * float64(upstreams) * share
	b.bucket.refill(now)
	b.bucket.tokensPerSecond = rate
	b.bucket.burst = max(1, rate*probeBudgetBurst.Seconds())
}

// Spend consumes one probe and reports whether the budget allowed it.
func (b *ProbeBudget) Spend(now time.Time) bool {
	return b.limits.PerUpstreamPerSecond <= 0 || b.bucket.Take(now, 1)
}

// Available returns the number of probes that the budget allows now.
func (b *ProbeBudget) Available(now time.Time) int {
	if b.limits.PerUpstreamPerSecond <= 0 {
		return math.MaxInt
	}
	b.bucket.refill(now)
	return int(b.bucket.tokens)
}
