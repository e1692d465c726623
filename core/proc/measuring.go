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

// measuringBurst is the time for which an account saves up unspent budget, so that
// a small share still pays for a message now and then.
const measuringBurst = 10 * time.Second

type measuringAccount struct {
	bytes      *Bucket
	operations *Bucket
	spent      Cost
	refused    int64
}

func newMeasuringAccount(bytesPerSecond, operationsPerSecond, share float64, now time.Time) *measuringAccount {
	burst := measuringBurst.Seconds()
	b := bytesPerSecond / share
	o := operationsPerSecond / share
	return &measuringAccount{bytes: NewEmptyBucket(b, b*burst, now), operations: NewEmptyBucket(o, o*burst, now)}
}

func (a *measuringAccount) spend(now time.Time, c Cost) bool {
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

type accountKey struct {
	service  string
	toRegion string
}

// MeasuringBudget holds this entry's share of the measuring budgets. The shares are the
// budgets divided by the region's greatest number of entries, so that they sum
// to no more than the budget whatever each entry believes of the fleet.
type MeasuringBudget struct {
	doc      magnolialedge.Document
	region   string
	accounts map[accountKey]*measuringAccount
}

// NewMeasuringBudget returns the MeasuringBudget of an entry in region.
func NewMeasuringBudget(doc magnolialedge.Document, region string) *MeasuringBudget {
	return &MeasuringBudget{doc: doc, region: region, accounts: map[accountKey]*measuringAccount{}}
}

// WithDocument returns a ledger for another version of the document that keeps
// what has been spent.
func (l *MeasuringBudget) WithDocument(doc magnolialedge.Document, now time.Time) *MeasuringBudget {
	next := NewMeasuringBudget(doc, l.region)
	next.openAll(now)
	for name, a := range l.accounts {
		fresh := next.account(now, name)
		fresh.bytes.tokens = min(fresh.bytes.burst, a.bytes.tokens)
		fresh.operations.tokens = min(fresh.operations.burst, a.operations.tokens)
		fresh.spent = a.spent
		fresh.refused = a.refused
	}
	return next
}

// SpendLowPriority is Spend for messages that others go before, as load reports: half
// of what an account can save up is left to those.
func (l *MeasuringBudget) SpendLowPriority(now time.Time, service, to string, c Cost) bool {
	if to != l.region {
		service = ""
	}
	a := l.account(now, accountKey{service: service, toRegion: to})
	a.bytes.refill(now)
	if a.bytes.tokens-c.Bytes < a.bytes.burst/2 {
		return false
	}
	return a.spend(now, c)
}

// openAll opens the account of each service and of each other region, so that
// they save up budget before the first message.
func (l *MeasuringBudget) openAll(now time.Time) {
	for _, s := range l.doc.Services {
		l.account(now, accountKey{service: s.Name, toRegion: l.region})
	}
	for _, r := range l.doc.Regions {
		if r.Name != l.region {
			l.account(now, accountKey{toRegion: r.Name})
		}
	}
}

// Spend takes the cost of a message for service to a region from the budget, or
// reports false when the message must not be sent.
func (l *MeasuringBudget) Spend(now time.Time, service, to string, c Cost) bool {
	if to != l.region {
		service = ""
	}
	return l.account(now, accountKey{service: service, toRegion: to}).spend(now, c)
}

func (l *MeasuringBudget) account(now time.Time, name accountKey) *measuringAccount {
	if a, ok := l.accounts[name]; ok {
		return a
	}
	a := l.open(now, name)
	l.accounts[name] = a
	return a
}

func (l *MeasuringBudget) open(now time.Time, name accountKey) *measuringAccount {
	share := float64(l.doc.MaxEntries(l.region))
	if name.toRegion == l.region {
		return newMeasuringAccount(l.doc.MeasurementBudget.BytesPerSecond, l.doc.MeasurementBudget.OperationsPerSecond, share, now)
	}
	for _, p := range l.doc.MeasurementBudget.CrossRegion {
		if p.From == l.region && p.To == name.toRegion {
			return newMeasuringAccount(p.BytesPerSecond, p.OperationsPerSecond, share, now)
		}
	}
	return newMeasuringAccount(0, 0, share, now)
}

// MeasuringUsage is one account as a dump shows it.
type MeasuringUsage struct {
	Service    string  `json:"service,omitempty"`
	ToRegion   string  `json:"to"`
	Bytes      float64 `json:"bytes"`
	Operations float64 `json:"operations"`
	Refused    int64   `json:"refused"`
}

// Usage returns every account that has been used.
func (l *MeasuringBudget) Usage() []MeasuringUsage {
	out := make([]MeasuringUsage, 0, len(l.accounts))
	for name, a := range l.accounts {
		out = append(out, MeasuringUsage{
			Service:    name.service,
			ToRegion:   name.toRegion,
			Bytes:      a.spent.Bytes,
			Operations: a.spent.Operations,
			Refused:    a.refused,
		})
	}
	return out
}
