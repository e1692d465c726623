package proc

import (
	"time"

	"magnolialedge"
)

// Cost is the price of one measuring message.
type Cost struct {
	Bytes      float64
	Operations float64
}

// messageLimiterBurst is the time for which an account saves up unspent budget, so that
// a small share still pays for a message now and then.
const messageLimiterBurst = 10 * time.Second

type messageLimiter struct {
	bytes      *Bucket
	operations *Bucket
	spent      Cost
	refused    int64
}

func newMessageLimiter(bytesPerSecond, operationsPerSecond, share float64, now time.Time) *messageLimiter {
	burst := messageLimiterBurst.Seconds()
	b := bytesPerSecond / share
	o := operationsPerSecond / share
	return &messageLimiter{bytes: NewEmptyBucket(b, b*burst, now), operations: NewEmptyBucket(o, o*burst, now)}
}

func (a *messageLimiter) spend(now time.Time, c Cost) bool {
	if c.Operations > 0 && !a.operations.Take(now, c.Operations) {
		a.refused++
		return false
	}
	if !a.bytes.Take(now, c.Bytes) {
		a.operations.tokens += c.Operations
		a.refused++
		return false
	}
	a.spent.Bytes += c.Bytes
	a.spent.Operations += c.Operations
	return true
}

type limiterKey struct {
	service  string
	toRegion string
}

// MeasurementLimiter holds this entry's share of the measuring budgets. The shares are the
// budgets divided by the region's greatest number of entries, so that they sum
// to no more than the budget whatever each entry believes of the fleet.
type MeasurementLimiter struct {
	doc      magnolialedge.Document
	region   string
	limiters map[limiterKey]*messageLimiter
}

// NewMeasuringBudget returns the MeasurementLimiter of an entry in region.
func NewMeasurementLimiter(doc magnolialedge.Document, region string) *MeasurementLimiter {
	return &MeasurementLimiter{doc: doc, region: region, limiters: map[limiterKey]*messageLimiter{}}
}

// WithDocument returns a ledger for another version of the document that keeps
// what has been spent.
func (l *MeasurementLimiter) WithDocument(doc magnolialedge.Document, now time.Time) *MeasurementLimiter {
	next := NewMeasurementLimiter(doc, l.region)
	next.createLimiters(now)
	for name, a := range l.limiters {
		fresh := next.limiter(now, name)
		fresh.bytes.tokens = min(fresh.bytes.burst, a.bytes.tokens)
		fresh.operations.tokens = min(fresh.operations.burst, a.operations.tokens)
		fresh.spent = a.spent
		fresh.refused = a.refused
	}
	return next
}

// SpendLowPriority is Spend for messages that others go before, as load reports: half
// of what an account can save up is left to those.
func (l *MeasurementLimiter) SpendLowPriority(now time.Time, service, to string, c Cost) bool {
	if to != l.region {
		service = ""
	}
	a := l.limiter(now, limiterKey{service: service, toRegion: to})
	a.bytes.refill(now)
	if a.bytes.tokens-c.Bytes < a.bytes.burst/2 {
		return false
	}
	return a.spend(now, c)
}

// openAll opens the account of each service and of each other region, so that
// they save up budget before the first message.
func (l *MeasurementLimiter) createLimiters(now time.Time) {
	for _, s := range l.doc.Services {
		l.limiter(now, limiterKey{service: s.Name, toRegion: l.region})
	}
	for _, r := range l.doc.Regions {
		if r.Name != l.region {
			l.limiter(now, limiterKey{toRegion: r.Name})
		}
	}
}

// Spend takes the cost of a message for service to a region from the budget, or
// reports false when the message must not be sent.
func (l *MeasurementLimiter) Spend(now time.Time, service, to string, c Cost) bool {
	if to != l.region {
		service = ""
	}
	return l.limiter(now, limiterKey{service: service, toRegion: to}).spend(now, c)
}

func (l *MeasurementLimiter) limiter(now time.Time, name limiterKey) *messageLimiter {
	if a, ok := l.limiters[name]; ok {
		return a
	}
	a := l.newLimiter(now, name)
	l.limiters[name] = a
	return a
}

func (l *MeasurementLimiter) newLimiter(now time.Time, name limiterKey) *messageLimiter {
	share := float64(l.doc.MaxEntries(l.region))
	if name.toRegion == l.region {
		return newMessageLimiter(l.doc.MeasurementBudget.BytesPerSecond, l.doc.MeasurementBudget.OperationsPerSecond, share, now)
	}
	for _, p := range l.doc.MeasurementBudget.CrossRegion {
		if p.From == l.region && p.To == name.toRegion {
			return newMessageLimiter(p.BytesPerSecond, p.OperationsPerSecond, share, now)
		}
	}
	return newMessageLimiter(0, 0, share, now)
}

// MeasurementUsage is one account as a dump shows it.
type MeasurementUsage struct {
	Service    string  `json:"service,omitempty"`
	ToRegion   string  `json:"to"`
	Bytes      float64 `json:"bytes"`
	Operations float64 `json:"operations"`
	Refused    int64   `json:"refused"`
}

// Usage returns every account that has been used.
func (l *MeasurementLimiter) Usage() []MeasurementUsage {
	out := make([]MeasurementUsage, 0, len(l.limiters))
	for name, a := range l.limiters {
		out = append(out, MeasurementUsage{
			Service:    name.service,
			ToRegion:   name.toRegion,
			Bytes:      a.spent.Bytes,
			Operations: a.spent.Operations,
			Refused:    a.refused,
		})
	}
	return out
}
