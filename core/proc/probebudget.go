package proc

import "time"

// ProbeLimits bounds the readings of load that all entries together take of
// upstreams.
type ProbeLimits struct {
	// PerUpstreamPerSecond is the bound for each upstream, a second, on average; 0 stands
	// for none.
	PerUpstreamPerSecond float64
}

const (
	// probeBudgetSkew is the number of even parts that one entry may use. Steering
	// gives the requests of a host and region to few entries, so that most ask
	// little.
	probeBudgetSkew = 3
	// probeBudgetBurst is the time over which an entry may save readings up.
	probeBudgetBurst = 4 * time.Second
)

// ProbeBudget is the part of the bound that one entry may spend. The bound holds
// for all entries together as long as a third of them, as steering leaves it, does
// most of the asking. It isn't safe for concurrent use.
type ProbeBudget struct {
	limits ProbeLimits
	bucket *Bucket
}

// NewLoadPollBudget returns a ProbeBudget that holds nothing yet.
func NewProbeBudget(l ProbeLimits, now time.Time) *ProbeBudget {
	return &ProbeBudget{limits: l, bucket: NewEmptyBucket(0, 0, now)}
}

// Resize takes the numbers of entries and upstreams.
func (b *ProbeBudget) Resize(now time.Time, entries, upstreams int) {
	part := min(1, probeBudgetSkew/float64(max(minAssumedEntries, entries)))
	rate := b.limits.PerUpstreamPerSecond * float64(upstreams) * part
	b.bucket.refill(now)
	b.bucket.tokensPerSecond = rate
	b.bucket.burst = max(1, rate*probeBudgetBurst.Seconds())
}

// Spend takes one reading if the budget allows it.
func (b *ProbeBudget) Spend(now time.Time) bool {
	return b.limits.PerUpstreamPerSecond <= 0 || b.bucket.Take(now, 1)
}
