package acct

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// aheadTime is the time for which the unspent credits must suffice; it covers a round
	// trip to another region and the interval between two messages.
	aheadTime = 300 * time.Millisecond
	// blockTime is the time in addition to aheadTime for which a holder draws credits.
	blockTime = 300 * time.Millisecond
	// renewTime is the age from which unspent credits are renewed, at the latest.
	renewTime = 600 * time.Millisecond
	// rateTime is the time over which a holder averages the rate of requests.
	rateTime = 2 * time.Second
	// idleTime is the time without a request after which a holder returns its credits.
	idleTime = 10 * time.Second
	// aheadRetry is the time between two requests for credits ahead of need if the owner
	// granted fewer than the holder wants.
	aheadRetry = 200 * time.Millisecond
	// deniedRetry is that time if the owner granted none, as happens with many holders of an
	// account with a low limit.
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
	// Unavailable requests have waited too long for a reply.
	Unavailable
)

// Holder holds the credits that this entry has drawn from the owners of accounts. It is
// not safe for concurrent use.
type Holder struct {
	self     Run
	accounts map[string]*accountCredits
}

// accountCredits holds the credits of one account.
type accountCredits struct {
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
	// rate is the average number of requests per second at requestAt, the time of the last one.
	rate      float64
	requestAt time.Time
}

// NewHolder returns a Holder without credits.
func NewHolder(self Run) *Holder {
	return &Holder{self: self, accounts: map[string]*accountCredits{}}
}

// Take decides on a request. For a Refused one it returns the time after which there may
// be credits. A Waiting one counts until Resume or Abandon.
func (h *Holder) Take(now time.Time, account string) (Verdict, time.Duration) {
	c, ok := h.accounts[account]
	if !ok {
		c = &accountCredits{requestAt: now.Add(-rateTime)}
		h.accounts[account] = c
	}
	c.countRequest(now)
	c.waiting++
	return c.resume(now)
}

// Resume decides again on a request that waits.
func (h *Holder) Resume(now time.Time, account string) (Verdict, time.Duration) {
	c, ok := h.accounts[account]
	if !ok {
		return Waiting, 0
	}
	return c.resume(now)
}

// Abandon records that a request no longer waits.
func (h *Holder) Abandon(account string) {
	if c, ok := h.accounts[account]; ok {
		c.waiting--
	}
}

// resume decides on a request that counts as waiting.
func (c *accountCredits) resume(now time.Time) (Verdict, time.Duration) {
	if c.left > 0 && now.Before(c.expiresAt) {
		c.left--
		c.spent++
		c.waiting--
		return Admitted, 0
	}
	c.left = 0
	if until := c.exhaustedUntil.Sub(now); until > 0 {
		c.waiting--
		return Refused, until
	}
	return Waiting, 0
}

// countRequest adds a request to the average rate.
func (c *accountCredits) countRequest(now time.Time) {
	c.rate = c.rateAt(now) + 1/rateTime.Seconds()
	c.requestAt = now
}

// rateAt returns the average number of requests per second at now.
func (c *accountCredits) rateAt(now time.Time) float64 {
	return c.rate * math.Exp(-now.Sub(c.requestAt).Seconds()/rateTime.Seconds())
}

// IsDue reports whether the holder should ask the owner for credits: while requests wait,
// and ahead of need while requests arrive.
func (h *Holder) IsDue(now time.Time, account string) bool {
	c, ok := h.accounts[account]
	switch {
	case !ok || c.isPending:
		return false
	case c.waiting > 0:
		return true
	case c.left > 0 && now.Before(c.expiresAt):
		age := now.Sub(c.sentAt)
		hasSurplus := c.left > c.target(now) && age >= minAskInterval
		if hasSurplus || age >= renewTime {
			return true
		}
	}
	isActive := !now.Before(c.exhaustedUntil) && now.Sub(c.requestAt) <= idleTime
	return isActive && !now.Before(c.aheadAt) && c.isLow(now)
}

// HasWaiting reports whether requests of the account wait for a reply.
func (h *Holder) HasWaiting(account string) bool {
	c, ok := h.accounts[account]
	return ok && c.waiting > 0
}

// isLow reports whether the unspent credits do not suffice for aheadTime.
func (c *accountCredits) isLow(now time.Time) bool {
	return c.left < c.target(now) && c.left <= int(c.rateAt(now)*aheadTime.Seconds())
}

// target returns the number of unspent credits that the holder wants to have.
func (c *accountCredits) target(now time.Time) int {
	switch {
	case now.Sub(c.requestAt) > idleTime:
		return 0
	case c.share > 0:
		return int(min(c.share, c.rateAt(now)) * aheadScarce.Seconds())
	}
	return 1 + int(math.Round(c.rateAt(now)*(aheadTime+blockTime).Seconds()))
}

// Draw begins a request for credits of an account.
func (h *Holder) Draw(now time.Time, account string) Draw {
	c := h.accounts[account]
	if !now.Before(c.expiresAt) {
		c.left = 0
	}
	returned := max(0, c.left-c.waiting-c.target(now))
	c.left -= returned
	c.number++
	c.isPending, c.sentAt, c.spent = true, now, 0
	return Draw{
		Holder: h.self,
		Number: c.number,
		Left:   c.left,

		Returned: returned,
		Need:     c.waiting,
		Want:     c.waiting + max(0, c.target(now)-c.left),
		Rate:     c.rateAt(now),
	}
}

// Apply applies the reply to the request with the given number. A reply to a request that
// has ended is ignored.
func (h *Holder) Apply(now time.Time, account string, number int64, g Grant) bool {
	c, ok := h.accounts[account]
	if !ok || !c.isPending || c.number != number {
		return false
	}
	c.isPending = false
	c.left = min(c.left, max(0, g.Kept-c.spent)) + g.Granted
	c.expiresAt = c.sentAt.Add(g.Valid)
	c.share = g.Share
	if g.Granted > 0 {
		c.grantedAt = now
	}
	if c.left < c.waiting+c.target(now) {
		c.aheadAt = now.Add(aheadRetry)
		if g.Granted == 0 {
			c.aheadAt = now.Add(deniedRetry)
		}
	}
	if g.Exhausted > 0 {
		c.exhaustedUntil = now.Add(g.Exhausted)
	}
	return true
}

// Fail records that the request with the given number has ended without a reply.
func (h *Holder) Fail(account string, number int64) {
	if c, ok := h.accounts[account]; ok && c.number == number {
		c.isPending = false
	}
}

// Forget drops the accounts without requests for a long time.
func (h *Holder) Forget(now time.Time) {
	maps.DeleteFunc(h.accounts, func(_ string, c *accountCredits) bool {
		return c.waiting == 0 && !c.isPending && now.Sub(c.requestAt) > forgetTime
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
	c, ok := h.accounts[account]
	if !ok {
		return Standing{GrantAge: -1}
	}
	s := Standing{Left: c.left, Share: c.share, Rate: c.rateAt(now), GrantAge: -1}
	if !c.grantedAt.IsZero() {
		s.GrantAge = now.Sub(c.grantedAt)
	}
	if !now.Before(c.expiresAt) {
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
