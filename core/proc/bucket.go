package proc

import "time"

// Bucket is a token bucket that refills with time.
type Bucket struct {
	tokensPerSecond float64
	burst           float64
	tokens          float64
	refilledAt      time.Time
}

// NewBucket returns a full Bucket that gains rate tokens a second up to burst.
func NewBucket(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{tokensPerSecond: rate, burst: burst, tokens: burst, refilledAt: now}
}

// NewEmptyBucket returns a Bucket that starts without tokens, so that no period
// since its start sees more than the rate allows.
func NewEmptyBucket(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{tokensPerSecond: rate, burst: burst, refilledAt: now}
}

// Take takes n tokens if there are as many. A time before the last one counts
// as the last one.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.refill(now)
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}

func (b *Bucket) refill(now time.Time) {
	passed := now.Sub(b.refilledAt)
	if passed <= 0 {
		return
	}
	b.tokens = min(b.burst, b.tokens+passed.Seconds()*b.tokensPerSecond)
	b.refilledAt = now
}

const (
	// initialRatioTokens is what a RatioBudget holds when it is new.
	initialRatioTokens = 10
	// maxRatioTokens is the most that a RatioBudget saves up.
	maxRatioTokens = 100
)

// RatioBudget allows extra attempts as a share of ordinary ones.
type RatioBudget struct {
	ratio    float64
	tokens   float64
	capacity float64
}

// NewRatioBudget returns a RatioBudget that allows percent extra attempts per
// hundred ordinary ones.
func NewRatioBudget(percent float64) *RatioBudget {
	return &RatioBudget{ratio: percent / 100, tokens: initialRatioTokens * min(1, percent), capacity: maxRatioTokens}
}

// Deposit counts one ordinary attempt.
func (b *RatioBudget) Deposit() {
	b.tokens = min(b.capacity, b.tokens+b.ratio)
}

// Withdraw takes one extra attempt if the budget allows it.
func (b *RatioBudget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
