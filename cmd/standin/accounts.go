package main

import (
	"fmt"

	"magnolialedge/platform/stand"
)

// accountOptions add client accounts to the configuration of the entries.
type accountOptions struct {
	Accounts    int     `help:"Number of client accounts, one of which each request must belong to; 0 for none."`
	AccountRate float64 `help:"Requests per second that each account may send to all entries together; 0 for no limit."`
}

// list returns the accounts. The burst of each is one second's worth of its rate.
func (o *accountOptions) list() []stand.Account {
	var out []stand.Account
	for i := range o.Accounts {
		out = append(out, stand.Account{Name: fmt.Sprintf("account-%d", i), Keys: []string{o.key(i)}, RatePerSecond: o.AccountRate, Burst: o.AccountRate})
	}
	return out
}

// key returns the key of request number i, or "" if there are no accounts.
func (o *accountOptions) key(i int) string {
	if o.Accounts == 0 {
		return ""
	}
	return fmt.Sprintf("sample-key-%d", i%o.Accounts)
}
