package acct

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// holderLife is the time after its last request for which a holder's rate counts.
	holderLife = 2 * time.Second
	// scarceLoad is the part of the limit from which the owner divides it among the
	// holders instead of granting what each asks for.
	scarceLoad = 0.9
	// reserveShare is the part of the burst that is not granted ahead of need, so that
	// holders without credits find some.
	reserveShare = 0.25
	// spareReserveShare is the part of the depth beyond the burst that is not granted ahead
	// of need.
	spareReserveShare = 0.5
	// depthShare is the part of the spare credits by which the bucket is deeper than the
	// burst. It makes up for the credits that are unspent at other holders.
	depthShare = 0.5
	// outstandingShare is the part of the burst that may be outstanding in addition to the
	// spare credits. The rest is for a new owner, which does not know what is outstanding.
	outstandingShare = 0.5
	// entitledTime is the time for which a holder accumulates credits of its share.
	entitledTime = 600 * time.Millisecond
	// aheadScarce is the time for which a holder receives credits ahead of need while the
	// limit is short.
	aheadScarce = 400 * time.Millisecond
	// aheadShare is the part of the outstanding credits that may be granted ahead of need.
	// Credits for requests that wait use the rest for a moment.
	aheadShare = 0.75
	// fairInterval is the time between two computations of the fair ratio.
	fairInterval = 50 * time.Millisecond
	// minExhausted and maxExhausted limit the time for which a holder does not ask again.
	minExhausted = 20 * time.Millisecond
	maxExhausted = 400 * time.Millisecond
	// asksPerCredit limits the messages of all holders of an account: with many of them, the
	// time is longer, up to LongestExhausted, so that about this many are sent for each credit.
	asksPerCredit = 2
	// minAskRate is the number of messages per second up to which the time is not made longer.
	minAskRate = 50
)

// LongestExhausted is the longest time for which an owner refuses credits.
const LongestExhausted = 2 * time.Second

// Buckets holds the token buckets of the accounts that this entry owns. It is not safe for
// concurrent use.
//
// The bucket of an account holds at most its burst, and the bucket and the outstanding
// credits together at most the burst plus the spare credits of the Bound. The requests
// of any window are among the credits that are outstanding or in the bucket at its
// beginning and those that the rate adds: at most burst + spare + rate x window.
type Buckets struct {
	bound    Bound
	accounts map[string]*bucket
}

// NewBuckets returns Buckets without accounts.
func NewBuckets(bound Bound) *Buckets {
	return &Buckets{bound: bound, accounts: map[string]*bucket{}}
}

// Grant decides on a request for credits. It returns false for one that is older than the
// last of its holder.
func (s *Buckets) Grant(now time.Time, account string, limit Limit, draw Draw) (Grant, bool) {
	b, ok := s.accounts[account]
	if !ok {
		b = newBucket(now, limit, s.bound)
		s.accounts[account] = b
	}
	b.setLimit(now, limit)
	return b.grant(now, draw)
}

// Drop forgets an account that another entry owns now.
func (s *Buckets) Drop(account string) {
	delete(s.accounts, account)
}

// Tokens returns the number of credits in the bucket of an account and of those that are
// outstanding, and false if this entry holds no bucket for it.
func (s *Buckets) Tokens(now time.Time, account string) (tokens, outstanding float64, ok bool) {
	b, ok := s.accounts[account]
	if !ok {
		return 0, 0, false
	}
	b.refill(now)
	return b.tokens, float64(b.outstanding), true
}

// bucket is the token bucket of one account.
type bucket struct {
	limit Limit
	bound Bound
	// startedAt is when this entry became the owner.
	startedAt  time.Time
	tokens     float64
	refilledAt time.Time
	// outstanding is the sum of the holders' unspent credits, as far as is known.
	outstanding int
	holders     map[Run]*holderState
	// fairRatio is the part of its requests for which each holder receives credits, or 0 if
	// there are enough for all.
	fairRatio float64
	fairAt    time.Time
}

// holderState is what the owner knows of one holder.
type holderState struct {
	// number is that of its last request, which was received at askedAt.
	number  int64
	askedAt time.Time
	// outstanding is the number of its unspent credits, which end at expiresAt.
	outstanding int
	expiresAt   time.Time
	// rate is the number of requests per second at the holder.
	rate float64
	// entitled is the number of credits that its share has accumulated.
	entitled float64
}

func newBucket(now time.Time, limit Limit, bound Bound) *bucket {
	return &bucket{limit: limit, bound: bound, startedAt: now, refilledAt: now, holders: map[Run]*holderState{}}
}

// setLimit applies a changed limit to the bucket.
func (b *bucket) setLimit(now time.Time, limit Limit) {
	b.refill(now)
	if limit == b.limit {
		return
	}
	b.limit = limit
	b.tokens = min(b.tokens, max(0, b.capacity(now)))
}

// capacity returns the largest number of tokens at present. Until the credits of an
// earlier owner have expired, the bucket and the credits of this one stay within the part of
// the burst that cannot be outstanding at the earlier one.
func (b *bucket) capacity(now time.Time) float64 {
	if now.Sub(b.startedAt) <= CreditLife {
		return b.limit.Burst*(1-outstandingShare) - float64(b.outstanding)
	}
	spare := b.bound.spare(b.limit)
	return min(b.limit.Burst+spare*depthShare, b.limit.Burst+spare-float64(b.outstanding))
}

// refill drops the credits that have expired and adds tokens.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	for run, h := range b.holders {
		if h.outstanding > 0 && !now.Before(h.expiresAt) {
			b.outstanding -= h.outstanding
			h.outstanding = 0
		}
		if now.Sub(h.askedAt) > holderLife {
			delete(b.holders, run)
		}
	}
	capacity := b.capacity(now)
	if b.tokens < capacity {
		b.tokens = min(capacity, b.tokens+elapsed.Seconds()*b.limit.Rate)
	}
}

// grant decides on a request for credits. It returns false for one that is older than the last
// of its holder.
func (b *bucket) grant(now time.Time, draw Draw) (Grant, bool) {
	h, ok := b.holders[draw.Holder]
	if !ok {
		h = &holderState{askedAt: now, entitled: 1}
		b.holders[draw.Holder] = h
	}
	if draw.Number <= h.number {
		return Grant{}, false
	}
	kept := b.keep(now, h, draw.Left, draw.Returned)
	elapsed := now.Sub(h.askedAt)
	h.number, h.rate, h.askedAt = draw.Number, draw.Rate, now
	g := Grant{Kept: kept, Valid: needLife}
	need, want := max(0, draw.Need), min(max(0, draw.Want, draw.Need), b.outstandingRoom())
	if g.Share = b.share(now, h); g.Share > 0 {
		g.Granted = b.grantShare(h, g.Share, elapsed, min(want, need+int(g.Share*aheadScarce.Seconds())))
	} else {
		g.Granted = b.grantWanted(need, want)
	}
	if g.Granted < need {
		g.Exhausted = b.exhaustedFor(h, g.Share)
	}
	if g.Kept > 0 || g.Granted > need {
		g.Valid = CreditLife
	}
	b.tokens -= float64(g.Granted)
	b.outstanding += g.Granted
	h.outstanding += g.Granted
	h.expiresAt = now.Add(g.Valid)
	return g, true
}

// keep records that a holder has left credits and gives others back, and returns how many
// stay valid: fewer if the limit was lowered below what is outstanding.
func (b *bucket) keep(now time.Time, h *holderState, left, returned int) int {
	kept := min(max(0, left), h.outstanding)
	returned = min(max(0, returned), h.outstanding-kept)
	b.outstanding += kept - h.outstanding
	b.tokens = max(b.tokens, min(b.tokens+float64(returned), b.capacity(now)))
	if excess := -b.capacity(now); excess > 0 {
		revoked := min(kept, int(math.Ceil(excess)))
		kept -= revoked
		b.outstanding -= revoked
	}
	h.outstanding = kept
	return kept
}

// grantWanted returns the number of credits for a holder while there is enough for all.
// Credits ahead of need leave a reserve.
func (b *bucket) grantWanted(need, want int) int {
	granted := min(need, want, int(b.tokens))
	reserve := b.limit.Burst*reserveShare + b.bound.spare(b.limit)*depthShare*spareReserveShare
	room := min(
		b.tokens-float64(granted)-reserve,
		aheadShare*b.outstandingLimit()-float64(b.outstanding+granted),
	)
	return granted + max(0, min(want-granted, int(math.Floor(room))))
}

// outstandingRoom returns the number of further credits that may be outstanding.
func (b *bucket) outstandingRoom() int {
	return max(0, int(b.outstandingLimit())-b.outstanding)
}

// outstandingLimit returns the largest number of credits that may be outstanding.
func (b *bucket) outstandingLimit() float64 {
	return max(1, b.bound.spare(b.limit)+b.limit.Burst*outstandingShare)
}

// grantShare returns the number of credits for a holder while all want more than there
// is: what its share has accumulated, and what the reserve leaves.
func (b *bucket) grantShare(h *holderState, share float64, elapsed time.Duration, want int) int {
	h.entitled = min(max(1, share*entitledTime.Seconds()), h.entitled+share*elapsed.Seconds())
	reserve := min(b.limit.Burst*reserveShare, b.limit.Burst-1)
	spare := max(0, b.tokens-reserve)
	granted := min(want, int(b.tokens), int(h.entitled+spare))
	h.entitled = max(0, h.entitled-float64(granted))
	return granted
}

// exhaustedFor returns the time until a holder should ask again.
func (b *bucket) exhaustedFor(h *holderState, share float64) time.Duration {
	seconds := (1 - b.tokens) / b.limit.Rate
	if share > 0 {
		seconds = max(seconds, (1-h.entitled)/share)
	}
	asks := max(minAskRate, asksPerCredit*b.limit.Rate)
	limit := min(LongestExhausted.Seconds(), max(maxExhausted.Seconds(), float64(len(b.holders))/asks))
	return time.Duration(min(limit, max(minExhausted.Seconds(), seconds)) * float64(time.Second))
}

// share returns the part of the rate that a holder may use, or 0 while there is enough
// for all.
func (b *bucket) share(now time.Time, h *holderState) float64 {
	if now.Sub(b.fairAt) >= fairInterval {
		b.fairAt = now
		b.fairRatio = b.computeFairRatio(now)
	}
	if b.tokens >= b.limit.Burst/2+1 {
		return 0
	}
	return b.fairRatio * h.rate
}

// computeFairRatio returns the part of its requests for which each holder receives
// credits, so that together they use the whole limit and all are served equally often. It
// returns 0 while they use less than scarceLoad of the limit.
func (b *bucket) computeFairRatio(now time.Time) float64 {
	sum := 0.0
	for _, h := range b.holders {
		if now.Sub(h.askedAt) <= holderLife {
			sum += h.rate
		}
	}
	if sum <= scarceLoad*b.limit.Rate {
		return 0
	}
	return b.limit.Rate / sum
}

// Accounts returns the names of the accounts that have a bucket here, in order.
func (s *Buckets) Accounts() []string {
	return slices.Sorted(maps.Keys(s.accounts))
}
