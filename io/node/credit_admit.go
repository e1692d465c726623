package node

import (
	"context"
	"time"

	"magnolialedge/core/acct"
	"magnolialedge/io/event"
)

// Admit implements serve.AccountQuotas.
func (c *credits) Admit(ctx context.Context, account string) acct.Admission {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, ok := c.limits[account]
	if !ok {
		return acct.Admission{Verdict: acct.Admitted}
	}
	verdict, retryAfter := c.holder.Take(now, account)
	if verdict == acct.Waiting {
		verdict, retryAfter = c.await(ctx, account)
		now = time.Now()
	} else if c.holder.IsDue(now, account) {
		c.signal()
	}
	if verdict == acct.Admitted {
		return acct.Admission{Verdict: verdict}
	}
	a := acct.Admission{Verdict: verdict, RetryAfter: retryAfter, Limit: limit, Owner: c.owners[account], Standing: c.holder.Standing(now, account)}
	c.recordRefusal(now, account, a)
	return a
}

// await waits until a reply decides on a request, for AskTimeout at most. The caller holds
// c.mu, which is released meanwhile.
func (c *credits) await(ctx context.Context, account string) (acct.Verdict, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, acct.AskTimeout)
	defer cancel()
	start := time.Now()
	c.waiting++
	defer func() {
		c.waiting--
		c.metrics.wait.Observe(time.Since(start).Seconds())
	}()
	for {
		ch, ok := c.replied[account]
		if !ok {
			ch = make(chan struct{})
			c.replied[account] = ch
		}
		c.signal()
		c.mu.Unlock()
		select {
		case <-ch:
		case <-ctx.Done():
		}
		c.mu.Lock()
		if _, ok := c.limits[account]; !ok {
			c.holder.Abandon(account)
			return acct.Admitted, 0
		}
		if verdict, retryAfter := c.holder.Resume(time.Now(), account); verdict != acct.Waiting {
			return verdict, retryAfter
		}
		if ctx.Err() != nil {
			c.holder.Abandon(account)
			return acct.Unavailable, 0
		}
	}
}

// recordRefusal counts a refused request, and logs at most one per account and
// exhaustedLogInterval. The caller holds c.mu.
func (c *credits) recordRefusal(now time.Time, account string, a acct.Admission) {
	if a.Verdict == acct.Unavailable {
		c.metrics.requests.WithLabelValues("unavailable").Inc()
	} else {
		c.metrics.requests.WithLabelValues("overQuota").Inc()
	}
	if now.Sub(c.exhaustedLoggedAt[account]) < exhaustedLogInterval {
		return
	}
	c.exhaustedLoggedAt[account] = now
	e := event.QuotaExhausted
	if a.Verdict == acct.Unavailable {
		e = event.QuotaOwnerUnreachable
	}
	c.log.Log(e, "account", account, "owner", a.Owner, "limit", a.Limit.Rate, "share", a.Standing.Share, "use", a.Standing.Rate, "grantAgeMs", a.Standing.GrantAgeMs())
}
