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

// ledgerBurst is the time for which an account saves up unspent budget, so that
// a small share still pays for a message now and then.
const ledgerBurst = 10 * time.Second

type account struct {
	bytes      *Bucket
	operations *Bucket
	spent      Cost
	refused    int64
}

func newAccount(bytesPerSecond, operationsPerSecond, share float64, now time.Time) *account {
	burst := ledgerBurst.Seconds()
	b := bytesPerSecond / share
	o := operationsPerSecond / share
	return &account{bytes: NewEmptyBucket(b, b*burst, now), operations: NewEmptyBucket(o, o*burst, now)}
}

func (a *account) spend(now time.Time, c Cost) bool {
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

type accountName struct {
	service string
	to      string
}

// Ledger holds this entry's share of the measuring budgets. The shares are the
// budgets divided by the region's greatest number of entries, so that they sum
// to no more than the budget whatever each entry believes of the fleet.
type Ledger struct {
	doc      magnolialedge.Document
	region   string
	accounts map[accountName]*account
}

// NewLedger returns the Ledger of an entry in region.
func NewLedger(doc magnolialedge.Document, region string) *Ledger {
	return &Ledger{doc: doc, region: region, accounts: map[accountName]*account{}}
}

// WithDocument returns a ledger for another version of the document that keeps
// what has been spent.
func (l *Ledger) WithDocument(doc magnolialedge.Document, now time.Time) *Ledger {
	next := NewLedger(doc, l.region)
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

// SpendSpare is Spend for messages that others go before, as load reports: half
// of what an account can save up is left to those.
func (l *Ledger) SpendSpare(now time.Time, service, to string, c Cost) bool {
	if to != l.region {
		service = ""
	}
	a := l.account(now, accountName{service: service, to: to})
	a.bytes.refill(now)
	if a.bytes.tokens-c.Bytes < a.bytes.burst/2 {
		return false
	}
	return a.spend(now, c)
}

// openAll opens the account of each service and of each other region, so that
// they save up budget before the first message.
func (l *Ledger) openAll(now time.Time) {
	for _, s := range l.doc.Services {
		l.account(now, accountName{service: s.Name, to: l.region})
	}
	for _, r := range l.doc.Regions {
		if r.Name != l.region {
			l.account(now, accountName{to: r.Name})
		}
	}
}

// Spend takes the cost of a message for service to a region from the budget, or
// reports false when the message must not be sent.
func (l *Ledger) Spend(now time.Time, service, to string, c Cost) bool {
	if to != l.region {
		service = ""
	}
	return l.account(now, accountName{service: service, to: to}).spend(now, c)
}

func (l *Ledger) account(now time.Time, name accountName) *account {
	if a, ok := l.accounts[name]; ok {
		return a
	}
	a := l.open(now, name)
	l.accounts[name] = a
	return a
}

func (l *Ledger) open(now time.Time, name accountName) *account {
	share := float64(l.doc.MaxEntries(l.region))
	if name.to == l.region {
		return newAccount(l.doc.MeasurementBudget.BytesPerSecond, l.doc.MeasurementBudget.OperationsPerSecond, share, now)
	}
	for _, p := range l.doc.MeasurementBudget.CrossRegion {
		if p.From == l.region && p.To == name.to {
			return newAccount(p.BytesPerSecond, p.OperationsPerSecond, share, now)
		}
	}
	return newAccount(0, 0, share, now)
}

// LedgerLine is one account as a dump shows it.
type LedgerLine struct {
	Service    string  `json:"service,omitempty"`
	To         string  `json:"to"`
	Bytes      float64 `json:"bytes"`
	Operations float64 `json:"operations"`
	Refused    int64   `json:"refused"`
}

// Lines returns every account that has been used.
func (l *Ledger) Lines() []LedgerLine {
	out := make([]LedgerLine, 0, len(l.accounts))
	for name, a := range l.accounts {
		out = append(out, LedgerLine{
			Service:    name.service,
			To:         name.to,
			Bytes:      a.spent.Bytes,
			Operations: a.spent.Operations,
			Refused:    a.refused,
		})
	}
	return out
}
