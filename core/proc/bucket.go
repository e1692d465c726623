package proc

import "time"

// Bucket is a token bucket.
type Bucket struct {
	tokensPerSecond float64
	burst           float64
	tokens          float64
	refilledAt      time.Time
}

// NewBucket returns a full Bucket that gains rate tokens per second and holds
// at most burst tokens.
func NewBucket(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{tokensPerSecond: rate, burst: burst, tokens: burst, refilledAt: now}
}

// NewEmptyBucket returns a Bucket that starts without tokens, so that the
// average number of tokens taken per second since its start never exceeds rate.
func NewEmptyBucket(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{tokensPerSecond: rate, burst: burst, refilledAt: now}
}

// Take removes n tokens if as many are available, and reports whether it did.
// If now is before the time of an earlier call, no tokens are added first.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.refill(now)
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.tokensPerSecond)
	b.refilledAt = now
}

const (
	// initialRatioTokens is the number of tokens in a new RatioBudget of at
	// least one percent.
	initialRatioTokens = 10
	// maxRatioTokens is the capacity of a RatioBudget in tokens.
	maxRatioTokens = 100
)

// RatioBudget limits additional attempts, such as retries and hedges, to a
// ratio of regular requests.
type RatioBudget struct {
	ratio    float64
	tokens   float64
	capacity float64
	// unreserved is the number of tokens that WithdrawUnreserved may still take.
	unreserved float64
}

// NewRatioBudget returns a RatioBudget that allows percent additional attempts
// per hundred deposits.
func NewRatioBudget(percent float64) *RatioBudget {
	return &RatioBudget{ratio: percent / 100, tokens: initialRatioTokens * min(1, percent), capacity: maxRatioTokens}
}

// Deposit adds the tokens for one regular request.
func (b *RatioBudget) Deposit() {
	b.tokens = min(b.capacity, b.tokens+b.ratio)
	b.unreserved = min(b.unreservedCapacity(), b.unreserved+(1-reservedShare)*b.ratio)
}

// Withdraw removes one token if one is available, and reports whether it did.
func (b *RatioBudget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns the token of an attempt that Withdraw allowed and that was not made.
func (b *RatioBudget) Refund() {
	b.tokens = min(b.capacity, b.tokens+1)
	b.unreserved = min(b.unreservedCapacity(), b.unreserved+1)
}
