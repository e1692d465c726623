package proc

import "time"

// LoadPollLimits bounds the readings of load that all entries together take of
// upstreams.
type LoadPollLimits struct {
	// PerUpstreamPerSecond is the bound for each upstream, a second, on average; 0 stands
	// for none.
	PerUpstreamPerSecond float64
}

const (
	// loadPollSkew is the number of even parts that one entry may use. Steering
	// gives the requests of a host and region to few entries, so that most ask
	// little.
	loadPollSkew = 3
	// loadPollBurst is the time over which an entry may save readings up.
	loadPollBurst = 4 * time.Second
)

// LoadPollBudget is the part of the bound that one entry may spend. The bound holds
// for all entries together as long as a third of them, as steering leaves it, does
// most of the asking. It isn't safe for concurrent use.
type LoadPollBudget struct {
	limits LoadPollLimits
	bucket *Bucket
}

// NewLoadPollBudget returns a LoadPollBudget that holds nothing yet.
func NewLoadPollBudget(l LoadPollLimits, now time.Time) *LoadPollBudget {
	return &LoadPollBudget{limits: l, bucket: NewEmptyBucket(0, 0, now)}
}

// Resize takes the numbers of entries and upstreams.
func (b *LoadPollBudget) Resize(now time.Time, entries, upstreams int) {
	part := min(1, loadPollSkew/float64(max(minAssumedEntries, entries)))
	rate := b.limits.PerUpstreamPerSecond * float64(upstreams) * part
	b.bucket.refill(now)
	b.bucket.tokensPerSecond = rate
	b.bucket.burst = max(1, rate*loadPollBurst.Seconds())
}

// Spend takes one reading if the budget allows it.
func (b *LoadPollBudget) Spend(now time.Time) bool {
	return b.limits.PerUpstreamPerSecond <= 0 || b.bucket.Take(now, 1)
}
