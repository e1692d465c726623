package proc

import "time"

// Bucket is a token bucket that refills with time.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     time.Time
}

// NewBucket returns a full Bucket that gains rate tokens a second up to burst.
func NewBucket(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: burst, at: now}
}

// NewEmptyBucket returns a Bucket that starts without tokens, so that no period
// since its start sees more than the rate allows.
func NewEmptyBucket(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, at: now}
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
	passed := now.Sub(b.at)
	if passed <= 0 {
		return
	}
	b.tokens = min(b.burst, b.tokens+passed.Seconds()*b.rate)
	b.at = now
}

const (
	// shareReserve is what a ShareBudget holds when it is new.
	shareReserve = 10
	// shareLimit is the most that a ShareBudget saves up.
	shareLimit = 100
)

// ShareBudget allows extra attempts as a share of ordinary ones.
type ShareBudget struct {
	share  float64
	tokens float64
	limit  float64
}

// NewShareBudget returns a ShareBudget that allows percent extra attempts per
// hundred ordinary ones.
func NewShareBudget(percent float64) *ShareBudget {
	return &ShareBudget{share: percent / 100, tokens: shareReserve * min(1, percent), limit: shareLimit}
}

// Earn counts one ordinary attempt.
func (b *ShareBudget) Earn() {
	b.tokens = min(b.limit, b.tokens+b.share)
}

// Spend takes one extra attempt if the budget allows it.
func (b *ShareBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
