package acct

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// blockTime is the time for which a holder draws credits ahead.
	blockTime = 300 * time.Millisecond
	// aheadTime is the time for which the unspent credits must suffice; it covers a round
	// trip to another region and the interval between two messages.
	aheadTime = 300 * time.Millisecond
	// renewTime is the age from which unspent credits are renewed, at the latest.
	renewTime = 600 * time.Millisecond
	// rateTime is the time over which a holder averages the rate of requests.
	rateTime = 2 * time.Second
	// idleTime is the time without a request after which a holder returns its credits.
	idleTime = 10 * time.Second
	// aheadRetry is the time between two requests for credits ahead of need if the owner
	// granted fewer than the holder wants.
	aheadRetry = 200 * time.Millisecond
	// deniedRetry is the same if it granted none, as to many holders of a small account.
	deniedRetry = 500 * time.Millisecond
	// forgetTime is the time without a request after which a holder forgets an account.
	forgetTime = time.Minute
)

// Verdict is what a Holder decides on a request.
type Verdict int

const (
	// Admitted requests have spent a credit.
	Admitted Verdict = iota
	// Refused requests exceed the limit.
	Refused
	// Waiting requests need a reply of the owner.
	Waiting
	// Unavailable requests have waited for a reply in vain.
	Unavailable
)

// Holder holds the credits that this entry has drawn from the owners of accounts. It is
// not safe for concurrent use.
type Holder struct {
	self     Run
	accounts map[string]*purse
}

// purse holds the credits of one account.
type purse struct {
	left      int
	expiresAt time.Time
	// number is that of the last request for credits, isPending is set until it has ended,
	// and sentAt and spent are its time and the credits spent since.
	number    int64
	isPending bool
	sentAt    time.Time
	spent     int
	// waiting is the number of requests that wait for a reply.
	waiting        int
	exhaustedUntil time.Time
	// aheadAt is the time of the next request for credits ahead of need.
	aheadAt   time.Time
	grantedAt time.Time
	share     float64
	rate      float64
	requestAt time.Time
}

// NewHolder returns a Holder without credits.
func NewHolder(self Run) *Holder {
	return &Holder{self: self, accounts: map[string]*purse{}}
}

// Take decides on a request. For a Refused one it returns the time after which there may
// be credits. A Waiting one counts until Resume or Abandon.
func (h *Holder) Take(now time.Time, account string) (Verdict, time.Duration) {
	p, ok := h.accounts[account]
	if !ok {
		p = &purse{requestAt: now.Add(-rateTime)}
		h.accounts[account] = p
	}
	p.countRequest(now)
	p.waiting++
	return p.resume(now)
}

// Resume decides again on a request that waits.
func (h *Holder) Resume(now time.Time, account string) (Verdict, time.Duration) {
	p, ok := h.accounts[account]
	if !ok {
		return Waiting, 0
	}
	return p.resume(now)
}

// Abandon records that a request no longer waits.
func (h *Holder) Abandon(account string) {
	if p, ok := h.accounts[account]; ok {
		p.waiting--
	}
}

func (p *purse) resume(now time.Time) (Verdict, time.Duration) {
	if p.left > 0 && now.Before(p.expiresAt) {
		p.left--
		p.spent++
		p.waiting--
		return Admitted, 0
	}
	p.left = 0
	if until := p.exhaustedUntil.Sub(now); until > 0 {
		p.waiting--
		return Refused, until
	}
	return Waiting, 0
}

// countRequest adds a request to the average rate.
func (p *purse) countRequest(now time.Time) {
	p.rate = p.rateAt(now) + 1/rateTime.Seconds()
	p.requestAt = now
}

func (p *purse) rateAt(now time.Time) float64 {
	return p.rate * math.Exp(-now.Sub(p.requestAt).Seconds()/rateTime.Seconds())
}

// IsDue reports whether the holder should ask the owner for credits: while requests wait,
// and ahead of need while requests arrive.
func (h *Holder) IsDue(now time.Time, account string) bool {
	p, ok := h.accounts[account]
	switch {
	case !ok || p.isPending:
		return false
	case p.waiting > 0:
		return true
	case p.left > 0 && now.Before(p.expiresAt):
		age := now.Sub(p.sentAt)
		hasSurplus := p.left > p.target(now) && age >= minAskInterval
		if hasSurplus || age >= renewTime {
			return true
		}
	}
	isActive := !now.Before(p.exhaustedUntil) && now.Sub(p.requestAt) <= idleTime
	return isActive && !now.Before(p.aheadAt) && p.isLow(now)
}

// HasWaiting reports whether requests of the account wait for a reply.
func (h *Holder) HasWaiting(account string) bool {
	p, ok := h.accounts[account]
	return ok && p.waiting > 0
}

// isLow reports whether the unspent credits do not suffice for aheadTime.
func (p *purse) isLow(now time.Time) bool {
	return p.left < p.target(now) && p.left <= int(p.rateAt(now)*aheadTime.Seconds())
}

// target returns the number of unspent credits that the holder wants to have.
func (p *purse) target(now time.Time) int {
	switch {
	case now.Sub(p.requestAt) > idleTime:
		return 0
	case p.share > 0:
		return int(min(p.share, p.rateAt(now)) * aheadScarce.Seconds())
	}
	return 1 + int(math.Round(p.rateAt(now)*(aheadTime+blockTime).Seconds()))
}

// Draw begins a request for credits of an account.
func (h *Holder) Draw(now time.Time, account string) Draw {
	p := h.accounts[account]
	if !now.Before(p.expiresAt) {
		p.left = 0
	}
	returned := max(0, p.left-p.waiting-p.target(now))
	p.left -= returned
	p.number++
	p.isPending, p.sentAt, p.spent = true, now, 0
	return Draw{
		Holder: h.self,
		Number: p.number,
		Left:   p.left,

		Returned: returned,
		Need:     p.waiting,
		Want:     p.waiting + max(0, p.target(now)-p.left),
		Rate:     p.rateAt(now),
	}
}

// Apply applies the reply to the request with the given number. A reply to a request that
// has ended is ignored.
func (h *Holder) Apply(now time.Time, account string, number int64, g Grant) bool {
	p, ok := h.accounts[account]
	if !ok || !p.isPending || p.number != number {
		return false
	}
	p.isPending = false
	p.left = min(p.left, max(0, g.Kept-p.spent)) + g.Granted
	p.expiresAt = p.sentAt.Add(g.Valid)
	p.share = g.Share
	if g.Granted > 0 {
		p.grantedAt = now
	}
	if p.left < p.waiting+p.target(now) {
		p.aheadAt = now.Add(aheadRetry)
		if g.Granted == 0 {
			p.aheadAt = now.Add(deniedRetry)
		}
	}
	if g.Exhausted > 0 {
		p.exhaustedUntil = now.Add(g.Exhausted)
	}
	return true
}

// Fail records that the request with the given number has ended without a reply.
func (h *Holder) Fail(account string, number int64) {
	if p, ok := h.accounts[account]; ok && p.number == number {
		p.isPending = false
	}
}

// Forget drops the accounts without requests for a long time.
func (h *Holder) Forget(now time.Time) {
	maps.DeleteFunc(h.accounts, func(_ string, p *purse) bool {
		return p.waiting == 0 && !p.isPending && now.Sub(p.requestAt) > forgetTime
	})
}

// Accounts returns the names of the accounts with requests, in order.
func (h *Holder) Accounts() []string {
	return slices.Sorted(maps.Keys(h.accounts))
}

// Standing describes the credits of an account at this entry.
type Standing struct {
	Left int
	// Share is the rate that the owner allots to this entry while the limit is short, or 0.
	Share float64
	// Rate is the number of requests per second at this entry.
	Rate float64
	// GrantAge is the time since the last credits were granted, or negative if none were.
	GrantAge time.Duration
}

// Standing returns the credits of an account.
func (h *Holder) Standing(now time.Time, account string) Standing {
	p, ok := h.accounts[account]
	if !ok {
		return Standing{GrantAge: -1}
	}
	s := Standing{Left: p.left, Share: p.share, Rate: p.rateAt(now), GrantAge: -1}
	if !p.grantedAt.IsZero() {
		s.GrantAge = now.Sub(p.grantedAt)
	}
	if !now.Before(p.expiresAt) {
		s.Left = 0
	}
	return s
}

// GrantAgeMs returns GrantAge in milliseconds, or -1 if no credits were granted.
func (s Standing) GrantAgeMs() int64 {
	if s.GrantAge < 0 {
		return -1
	}
	return s.GrantAge.Milliseconds()
}
