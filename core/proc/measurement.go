package proc

import (
	"time"

	"magnolialedge"
)

// Cost is the cost of one measurement message.
type Cost struct {
	Bytes      float64
	Operations float64
}

// messageLimiterBurst is the time for which a limiter accumulates unused
// budget, so that a rate lower than one message per second still allows
// occasional messages.
const messageLimiterBurst = 10 * time.Second

// messageLimiter limits the messages of one service within the region, or those
// of all services to another region.
type messageLimiter struct {
	bytes      *Bucket
	operations *Bucket
	spent      Cost
	refused    int64
}

// newMessageLimiter returns a messageLimiter with the given rates divided by
// maxEntries.
func newMessageLimiter(bytesPerSecond, operationsPerSecond, maxEntries float64, now time.Time) *messageLimiter {
	burst := messageLimiterBurst.Seconds()
	bytes := bytesPerSecond / maxEntries
	operations := operationsPerSecond / maxEntries
	return &messageLimiter{bytes: NewEmptyBucket(bytes, bytes*burst, now), operations: NewEmptyBucket(operations, operations*burst, now)}
}

// spend consumes c and reports whether both buckets allowed it.
func (m *messageLimiter) spend(now time.Time, c Cost) bool {
	if c.Operations > 0 && !m.operations.Take(now, c.Operations) {
		m.refused++
		return false
	}
	if !m.bytes.Take(now, c.Bytes) {
		m.operations.tokens += c.Operations
		m.refused++
		return false
	}
	m.spent.Bytes += c.Bytes
	m.spent.Operations += c.Operations
	return true
}

// limiterKey identifies a messageLimiter. service is empty for another region.
type limiterKey struct {
	service  string
	toRegion string
}

// MeasurementLimiter limits the probes, load reports and peer messages of one
// entry. Each entry gets the budgets of the document divided by the maximum
// number of entries in its region, so that all entries together stay within the
// budgets even if their lists of entries differ. It is not safe for concurrent
// use.
type MeasurementLimiter struct {
	doc      magnolialedge.Document
	region   string
	limiters map[limiterKey]*messageLimiter
}

// NewMeasurementLimiter returns the MeasurementLimiter of an entry in region.
func NewMeasurementLimiter(doc magnolialedge.Document, region string) *MeasurementLimiter {
	return &MeasurementLimiter{doc: doc, region: region, limiters: map[limiterKey]*messageLimiter{}}
}

// WithDocument returns a MeasurementLimiter for another version of the
// document. It keeps the remaining budget and the usage.
func (l *MeasurementLimiter) WithDocument(doc magnolialedge.Document, now time.Time) *MeasurementLimiter {
	next := NewMeasurementLimiter(doc, l.region)
	next.createLimiters(now)
	for key, m := range l.limiters {
		fresh := next.limiter(now, key)
		fresh.bytes.tokens = min(fresh.bytes.burst, m.bytes.tokens)
		fresh.operations.tokens = min(fresh.operations.burst, m.operations.tokens)
		fresh.spent = m.spent
		fresh.refused = m.refused
	}
	return next
}

// SpendLowPriority is Spend for messages of low priority, such as load reports.
// It leaves half of the burst capacity in bytes to other messages.
func (l *MeasurementLimiter) SpendLowPriority(now time.Time, service, to string, c Cost) bool {
	if to != l.region {
		service = ""
	}
	m := l.limiter(now, limiterKey{service: service, toRegion: to})
	m.bytes.refill(now)
	if m.bytes.tokens-c.Bytes < m.bytes.burst/2 {
		return false
	}
	return m.spend(now, c)
}

// createLimiters creates the limiter of each service and of each other region,
// so that they accumulate budget before the first message.
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

// Spend consumes the cost of a message for service to region to. It returns
// false if the budget is exceeded and the message must not be sent.
func (l *MeasurementLimiter) Spend(now time.Time, service, to string, c Cost) bool {
	if to != l.region {
		service = ""
	}
	return l.limiter(now, limiterKey{service: service, toRegion: to}).spend(now, c)
}

// limiter returns the limiter for key and creates it if necessary.
func (l *MeasurementLimiter) limiter(now time.Time, key limiterKey) *messageLimiter {
	if m, ok := l.limiters[key]; ok {
		return m
	}
	m := l.newLimiter(now, key)
	l.limiters[key] = m
	return m
}

// newLimiter returns a limiter with the rates that the document allows for key.
// A pair of regions that the document does not list is allowed no messages.
func (l *MeasurementLimiter) newLimiter(now time.Time, key limiterKey) *messageLimiter {
	maxEntries := float64(l.doc.MaxEntries(l.region))
	if key.toRegion == l.region {
		return newMessageLimiter(l.doc.MeasurementBudget.BytesPerSecond, l.doc.MeasurementBudget.OperationsPerSecond, maxEntries, now)
	}
	for _, p := range l.doc.MeasurementBudget.CrossRegion {
		if p.From == l.region && p.To == key.toRegion {
			return newMessageLimiter(p.BytesPerSecond, p.OperationsPerSecond, maxEntries, now)
		}
	}
	return newMessageLimiter(0, 0, maxEntries, now)
}

// MeasurementUsage is the usage of one limiter as shown in a dump.
type MeasurementUsage struct {
	Service    string  `json:"service,omitempty"`
	ToRegion   string  `json:"to"`
	Bytes      float64 `json:"bytes"`
	Operations float64 `json:"operations"`
	Refused    int64   `json:"refused"`
}

// Usage returns the usage of every limiter.
func (l *MeasurementLimiter) Usage() []MeasurementUsage {
	out := make([]MeasurementUsage, 0, len(l.limiters))
	for key, m := range l.limiters {
		out = append(out, MeasurementUsage{
			Service:    key.service,
			ToRegion:   key.toRegion,
			Bytes:      m.spent.Bytes,
			Operations: m.spent.Operations,
			Refused:    m.refused,
		})
	}
	return out
}
