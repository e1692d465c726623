package acct

// OtherLabel is the label of the accounts without one of their own.
const OtherLabel = "other"

// Usage decides which accounts have a label of their own in metrics: a limited number of
// those with most requests so far. Each request counts under one label, and the count of
// OtherLabel never decreases.
type Usage struct {
	maxLabels int
	// requests holds the number of requests by account.
	requests map[string]uint64
	// labeled holds the requests counted under the label of each account that has one.
	labeled map[string]uint64
	// least is at most the smallest number of requests of an account with a label.
	least uint64
}

// NewUsage returns a Usage that gives labels to maxLabels accounts.
func NewUsage(maxLabels int) *Usage {
	return &Usage{maxLabels: maxLabels, requests: map[string]uint64{}, labeled: map[string]uint64{}}
}

// UsageChange is how a request counts.
type UsageChange struct {
	// Label is the label under which the request counts.
	Label string
	// Evicted is the account that loses its label, or empty. Its Moved requests count under
	// OtherLabel from now on.
	Evicted string
	Moved   uint64
}

// Add counts a request of an account.
func (u *Usage) Add(account string) UsageChange {
	u.requests[account]++
	if _, ok := u.labeled[account]; ok {
		u.labeled[account]++
		return UsageChange{Label: account}
	}
	if len(u.labeled) < u.maxLabels {
		u.labeled[account] = 1
		return UsageChange{Label: account}
	}
	if u.requests[account] <= u.least {
		return UsageChange{Label: OtherLabel}
	}
	smallest := u.smallest()
	u.least = u.requests[smallest]
	if u.requests[account] <= u.least {
		return UsageChange{Label: OtherLabel}
	}
	c := UsageChange{Label: account, Evicted: smallest, Moved: u.labeled[smallest]}
	delete(u.labeled, smallest)
	u.labeled[account] = 1
	return c
}

// smallest returns the account with a label that has fewest requests.
func (u *Usage) smallest() string {
	name, isFound := "", false
	for account := range u.labeled {
		if !isFound || u.requests[account] < u.requests[name] {
			name, isFound = account, true
		}
	}
	return name
}

// Retain forgets the accounts without a label that keep does not accept.
func (u *Usage) Retain(keep func(account string) bool) {
	for account := range u.requests {
		if _, ok := u.labeled[account]; !ok && !keep(account) {
			delete(u.requests, account)
		}
	}
}

// Requests returns the number of requests of an account.
func (u *Usage) Requests(account string) uint64 {
	return u.requests[account]
}
