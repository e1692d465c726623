package node

import (
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// accountLimitDump describes a client account with a limit in the state dump.
type accountLimitDump struct {
	Account string  `json:"account"`
	Limit   float64 `json:"ratePerSecond"`
	Burst   float64 `json:"burst"`
	// Owner is the entry that last granted credits to this one.
	Owner string `json:"owner,omitempty"`
	// Credits is the number of unspent credits here, and Use the requests a second.
	Credits int     `json:"credits"`
	Use     float64 `json:"use"`
	// Share is the rate that the owner allots to this entry while the limit is short.
	Share float64 `json:"share,omitempty"`
	// GrantAgeMs is the time since the last grant, or -1.
	GrantAgeMs int64 `json:"grantAgeMs"`
	// Bucket is set at the owner.
	Bucket *bucketDump `json:"bucket,omitempty"`
}

// bucketDump describes the bucket of an account at its owner.
type bucketDump struct {
	Tokens      float64 `json:"tokens"`
	Outstanding float64 `json:"outstanding"`
}

// dump returns the accounts with a limit that have had requests here or that this entry
// owns, in order.
func (c *credits) dump(now time.Time) []accountLimitDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	buckets := map[string]*bucketDump{}
	for _, o := range c.granter.Owned(now) {
		buckets[o.Account] = &bucketDump{Tokens: o.Tokens, Outstanding: o.Outstanding}
	}
	out := []accountLimitDump{}
	for _, name := range slices.Sorted(maps.Keys(c.limits)) {
		limit, standing := c.limits[name], c.holder.Standing(now, name)
		d := accountLimitDump{
			Account: name, Limit: limit.Rate, Burst: limit.Burst, Owner: c.owners[name],
			Credits: standing.Left, Use: standing.Rate, Share: standing.Share, GrantAgeMs: standing.GrantAgeMs(), Bucket: buckets[name],
		}
		if d.Owner != "" || d.Bucket != nil || standing.Rate > 0 {
			out = append(out, d)
		}
	}
	return out
}

// registerGauges registers gauges for the accounts that this entry grants credits for and
// for its own credits.
func (c *credits) registerGauges(r prometheus.Registerer) {
	gauges := []struct {
		name, help string
		value      func() float64
	}{
		{"quota_accounts_owned", "Client accounts whose bucket this entry holds.", func() float64 { return float64(c.ownedCount()) }},
		{"quota_credits_unspent", "Unspent credits of all client accounts at this entry.", func() float64 { return float64(c.unspent(time.Now())) }},
	}
	for _, g := range gauges {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "magnolialedge", Name: g.name, Help: g.help}, g.value))
	}
}

func (c *credits) ownedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.granter.Owned(time.Now()))
}

func (c *credits) unspent(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, account := range c.holder.Accounts() {
		n += c.holder.Standing(now, account).Left
	}
	return n
}
