package proc

// RetryLimits limits the retries of one service by all entries together, per
// period.
type RetryLimits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of retries allowed per period in addition.
	Extra float64
}

const (
	// retryRatioUsed is the fraction of RetryLimits.Ratio that the entries
	// use. The rest covers minRetryCapacity, which rounds the capacity of
	// an entry up to one retry because a fraction of a retry cannot be
	// sent.
	retryRatioUsed = 0.7
	// minRetryCapacity is the minimum capacity of the budget of an entry,
	// in retries.
	minRetryCapacity = 1
	// maxRetryCapacity is the maximum capacity of the budget of an entry,
	// in retries.
	maxRetryCapacity = 6
	// minAssumedEntries is the number of entries assumed while fewer are
	// known.
	minAssumedEntries = 8
)

// CapacityPerEntry returns the capacity of the budget of each of the given
// number of entries, in retries. It is limited so that all entries can use
// their whole capacity within the same period.
func (l RetryLimits) CapacityPerEntry(entries int) float64 {
	capacity := l.Extra / float64(max(minAssumedEntries, entries))
	return min(maxRetryCapacity, max(minRetryCapacity, capacity))
}

// NewRetryBudget returns the retry budget of one entry when the given number of
// entries share the limits.
func (l RetryLimits) NewRetryBudget(entries int) *RatioBudget {
	capacity := l.CapacityPerEntry(entries)
	return &RatioBudget{ratio: l.Ratio * retryRatioUsed, tokens: capacity, capacity: capacity}
}

// SetCapacity sets the maximum number of tokens and discards those above it.
func (b *RatioBudget) SetCapacity(tokens float64) {
	b.capacity = tokens
	b.tokens = min(b.tokens, tokens)
}
