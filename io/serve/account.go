package serve

import (
	"crypto/rand"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/acct"
	"magnolialedge/io/event"
	"magnolialedge/io/front"
)

const (
	// accountProtocol is the first version of the messages between entries that has client
	// accounts.
	accountProtocol = 1
	// maxAccountLabels limits the accounts that have a label of their own in metrics.
	maxAccountLabels = 100
	// maxLoggedConflicts limits the log lines about the key conflicts of one version.
	maxLoggedConflicts = 20
)

// errUnauthorized means that a request was not sent because its key is no longer valid.
var errUnauthorized = errors.New("the key of the request is no longer valid")

// keyFault is the reason for which a request has no client account although it needs one.
type keyFault string

const (
	keyMissing     keyFault = "missing"
	keyRepeated    keyFault = "repeated"
	keyMalformed   keyFault = "malformed"
	keyUnknown     keyFault = "unknown"
	keyConflicting keyFault = "conflicting"
	// keyMoved means that the key of a waiting request belongs to another account now.
	keyMoved keyFault = "moved"
	// accountRemoved means that the account of a request that another entry handed over no
	// longer exists.
	accountRemoved keyFault = "accountRemoved"
)

// identity is what is known of the client of a request.
type identity struct {
	// version is the version of the routes for which the client was identified.
	version int64
	// hasAccounts is set if this entry or the one that handed the request over has client
	// accounts, so that the headers about them are not passed on.
	hasAccounts bool
	// account is the client account without its keys, or nil.
	account *magnolialedge.ClientAccount
	fault   keyFault
}

// accountName returns the name of the client account, or "".
func (i identity) accountName() string {
	if i.account == nil {
		return ""
	}
	return i.account.Name
}

// updated returns the identity of a request that was identified before as i, and is
// identified as next in a later version. A key that has moved to another account is refused.
func (i identity) updated(next identity) identity {
	if next.fault == "" && i.account != nil && next.account != nil && i.account.Name != next.account.Name {
		next.fault = keyMoved
	}
	next.hasAccounts = next.hasAccounts || i.hasAccounts
	return next
}

func newHashKey() acct.HashKey {
	var k acct.HashKey
	// Read never returns an error.
	_, _ = rand.Read(k[:])
	return k
}

// newAccounts returns the table of the client accounts of a configuration, or nil if it has
// none or is not newer than the one in effect. The caller does not hold f.mu, since the table
// of 10,000 keys takes several milliseconds.
func (f *Forwarder) newAccounts(r magnolialedge.RoutingConfig) *acct.Table {
	f.mu.Lock()
	isNewer, previous := f.isNewer(r.Version), f.accounts
	f.mu.Unlock()
	if !isNewer || len(r.Accounts) == 0 {
		return nil
	}
	return acct.NewTable(acct.TableConfig{Accounts: r.Accounts, HashKey: f.hashKey, Previous: previous})
}

// logAccounts logs a table of client accounts that took effect; it may be nil.
func (f *Forwarder) logAccounts(version int64, t *acct.Table) {
	if t == nil {
		return
	}
	conflicts := t.Conflicts()
	f.cfg.Log.Log(event.AccountsReplaced, "version", version, "accounts", len(t.Accounts()), "keys", t.TotalKeys(), "conflicts", len(conflicts))
	for _, c := range conflicts[:min(maxLoggedConflicts, len(conflicts))] {
		f.cfg.Log.Log(event.AccountKeyConflict, "version", version, "account", c.First, "other", c.Second)
	}
}

// HasAccounts reports whether the configuration in effect has client accounts.
func (f *Forwarder) HasAccounts() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accounts != nil
}

// accountRules is how a version of the routes identifies the clients of a route.
type accountRules struct {
	version int64
	// accounts is nil if the version has no client accounts.
	accounts *acct.Table
	isExempt bool
}

func (f *Forwarder) accountRulesFor(r *front.Request) accountRules {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.routes == nil || f.accounts == nil {
		return accountRules{version: f.versionLocked()}
	}
	return accountRules{version: f.versionLocked(), accounts: f.accounts, isExempt: f.routes.IsAuthExempt(r.Host, r.Path)}
}

// identify returns the identity of a caller's request, or of one that another entry handed
// over if h is not nil.
func (f *Forwarder) identify(r *front.Request, h *handover) identity {
	rules := f.accountRulesFor(r)
	id := identity{version: rules.version, hasAccounts: rules.accounts != nil}
	switch {
	case h != nil && h.Protocol >= accountProtocol:
		return id.handedOver(rules.accounts, *h)
	case rules.accounts == nil || rules.isExempt:
		return id
	}
	id.account, id.fault = findAccount(rules.accounts, r.Header[http.CanonicalHeaderKey(f.cfg.Headers.APIKey)])
	return id
}

// handedOver returns the identity of a request that another entry identified. It is refused
// if this entry knows that the account was removed.
func (i identity) handedOver(accounts *acct.Table, h handover) identity {
	if h.Account == "" {
		return i
	}
	i.hasAccounts = true
	i.account = &magnolialedge.ClientAccount{Name: h.Account, Priority: h.AccountPriority}
	if accounts != nil && i.version >= h.Version && accounts.Account(h.Account) == nil {
		i.account, i.fault = nil, accountRemoved
	}
	return i
}

// findAccount returns the account of the values of the key header, or the reason why there
// is none.
func findAccount(accounts *acct.Table, values []string) (*magnolialedge.ClientAccount, keyFault) {
	switch {
	case len(values) == 0:
		return nil, keyMissing
	case len(values) > 1:
		return nil, keyRepeated
	case !acct.IsKey(values[0]):
		return nil, keyMalformed
	}
	account, _, result := accounts.Find(values[0])
	switch result {
	case acct.Found:
		return account, ""
	case acct.Conflicting:
		return nil, keyConflicting
	}
	return nil, keyUnknown
}

// authenticate identifies the client of the request, and reports whether the request may
// run.
func (x *exchange) authenticate() bool {
	x.setIdentity(x.f.identify(x.req, x.handover))
	return x.identity.fault == ""
}

// reauthenticate is authenticate for a request that may have waited, if the version of the
// routes has changed since it was identified.
func (x *exchange) reauthenticate() bool {
	id := x.currentIdentity()
	if id.version != x.identity.version {
		x.setIdentity(id)
	}
	return id.fault == ""
}

// currentIdentity returns the identity of the request in the version in effect. Concurrent
// attempts may call it.
func (x *exchange) currentIdentity() identity {
	if x.f.Version() == x.identity.version {
		return x.identity
	}
	return x.identity.updated(x.f.identify(x.req, x.handover))
}

func (x *exchange) setIdentity(id identity) {
	x.identity = id
	account := magnolialedge.ClientAccount{}
	if id.account != nil {
		account = *id.account
	}
	x.pickReq.Account = account.Name
	x.pickReq.AccountPriority = account.Priority
	if x.handover == nil || x.handover.Protocol < accountProtocol {
		x.f.mu.Lock()
		defer x.f.mu.Unlock()
		x.pickReq.Regions = x.allowedRegions(x.match.Route)
	}
}

// removeAccountHeaders deletes the headers about client accounts from h. Names with
// underscores or followed by a blank are deleted too, since some servers read them as the
// same names.
func (x *exchange) removeAccountHeaders(h http.Header) {
	for name := range h {
		if isSameHeader(name, x.f.cfg.Headers.APIKey) || isSameHeader(name, x.f.cfg.Headers.Account) {
			delete(h, name)
		}
	}
}

func isSameHeader(name, want string) bool {
	name = strings.TrimSpace(name)
	return len(name) == len(want) && strings.EqualFold(strings.ReplaceAll(name, "_", "-"), want)
}

// countAccount counts a caller's request for its account.
func (f *Forwarder) countAccount(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.accountUsage.Add(name)
	requests := f.cfg.Metrics.AccountRequests
	if c.Evicted != "" {
		requests.DeleteLabelValues(c.Evicted)
		requests.WithLabelValues(acct.OtherLabel).Add(float64(c.Moved))
	}
	requests.WithLabelValues(c.Label).Inc()
}

// AccountState describes a client account for operators.
type AccountState struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	// RatePerSecond and Burst are the limit of the account; a rate of 0 means none.
	RatePerSecond  float64  `json:"ratePerSecond"`
	Burst          float64  `json:"burst"`
	AllowedRegions []string `json:"allowedRegions,omitempty"`
	// KeyHashes holds the first digits of the hashes of the keys, which differ from entry to
	// entry.
	KeyHashes []string `json:"keyHashes"`
	// Requests is the number of requests that callers sent to this entry.
	Requests uint64 `json:"requests"`
}

// AccountStates returns the client accounts in effect.
func (f *Forwarder) AccountStates() []AccountState {
	f.mu.Lock()
	accounts := f.accounts
	f.mu.Unlock()
	if accounts == nil {
		return nil
	}
	hashes := accounts.Hashes()
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []AccountState{}
	for _, a := range accounts.Accounts() {
		s := AccountState{Name: a.Name, Priority: a.Priority, RatePerSecond: a.RatePerSecond, Burst: a.Burst, AllowedRegions: a.AllowedRegions, KeyHashes: []string{}, Requests: f.accountUsage.Requests(a.Name)}
		for _, h := range hashes[a.Name] {
			s.KeyHashes = append(s.KeyHashes, h.String())
		}
		out = append(out, s)
	}
	return out
}
