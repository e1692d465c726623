package proc

// RetryLimits states how many retries of one service all entries together may
// spend.
type RetryLimits struct {
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// Extra is the number of retries in each period that need not be earned.
	Extra float64
}

const (
	// retryRatioUsed is the part of the earned retries that is used. The rest
	// covers entries that hold a whole retry because a part of one is of no use.
	retryRatioUsed = 0.7
	// minRetryCapacity is the least that an entry saves up, in retries.
	minRetryCapacity = 1
	// maxRetryCapacity is the most that an entry saves up, in retries.
	maxRetryCapacity = 6
	// minAssumedEntries is the number of entries that is assumed until as many are
	// known.
	minAssumedEntries = 8
)

// CapacityPerEntry returns what each of so many entries may save up, so that all of them
// may spend their savings in the same period.
func (l RetryLimits) CapacityPerEntry(entries int) float64 {
	each := l.Extra / float64(max(minAssumedEntries, entries))
	return min(maxRetryCapacity, max(minRetryCapacity, each))
}

// NewRetryBudget returns the part of a service's budget that one of so many
// entries spends.
func (l RetryLimits) NewRetryBudget(entries int) *RatioBudget {
	savings := l.CapacityPerEntry(entries)
	return &RatioBudget{ratio: l.Ratio * retryRatioUsed, tokens: savings, capacity: savings}
}

// SetCapacity changes what is saved up at most.
func (b *RatioBudget) SetCapacity(limit float64) {
	b.capacity = limit
	b.tokens = min(b.tokens, limit)
}
