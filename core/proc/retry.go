package proc

// RetryLimits states how many retries of one service all entries together may
// spend.
type RetryLimits struct {
	// Share is the number of retries that each request earns.
	Share float64
	// Extra is the number of retries in each period that need not be earned.
	Extra float64
}

const (
	// retryShareUsed is the part of the earned retries that is used. The rest
	// covers entries that hold a whole retry because a part of one is of no use.
	retryShareUsed = 0.7
	// leastRetrySavings is the least that an entry saves up, in retries.
	leastRetrySavings = 1
	// mostRetrySavings is the most that an entry saves up, in retries.
	mostRetrySavings = 6
	// leastEntries is the number of entries that is assumed until as many are
	// known.
	leastEntries = 8
)

// Savings returns what each of so many entries may save up, so that all of them
// may spend their savings in the same period.
func (l RetryLimits) Savings(entries int) float64 {
	each := l.Extra / float64(max(leastEntries, entries))
	return min(mostRetrySavings, max(leastRetrySavings, each))
}

// NewRetryBudget returns the part of a service's budget that one of so many
// entries spends.
func (l RetryLimits) NewRetryBudget(entries int) *ShareBudget {
	savings := l.Savings(entries)
	return &ShareBudget{share: l.Share * retryShareUsed, tokens: savings, limit: savings}
}

// SetLimit changes what is saved up at most.
func (b *ShareBudget) SetLimit(limit float64) {
	b.limit = limit
	b.tokens = min(b.tokens, limit)
}
