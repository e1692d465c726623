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
	b := &RatioBudget{ratio: l.Ratio * retryRatioUsed, tokens: capacity, capacity: capacity}
	b.unreserved = b.unreservedCapacity()
	return b
}

// SetCapacity sets the maximum number of tokens and discards those above it.
func (b *RatioBudget) SetCapacity(tokens float64) {
	b.capacity = tokens
	b.tokens = min(b.tokens, tokens)
	b.unreserved = min(b.unreserved, b.unreservedCapacity())
}

// reservedShare is the fraction of a retry budget, both of its capacity and of its
// deposits, that WithdrawUnreserved leaves to others.
const reservedShare = 1.0 / 3

// WithdrawUnreserved is Withdraw for retries of less value: it leaves the last third of
// the budget. A budget of one token has no third to leave, so that such retries are also
// limited to two thirds of the deposits.
func (b *RatioBudget) WithdrawUnreserved() bool {
	if b.unreserved < 1 || b.tokens < 1+min(reservedShare*b.capacity, b.capacity-1) {
		return false
	}
	b.unreserved--
	return b.Withdraw()
}

func (b *RatioBudget) unreservedCapacity() float64 {
	return max(1, (1-reservedShare)*b.capacity)
}
