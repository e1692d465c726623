package serve

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/core/acct"
	"magnolialedge/core/pick"
	"magnolialedge/io/event"
	"magnolialedge/io/front"
)

var accountHeaders = magnolialedge.HeaderProtocol{APIKey: "X-Key", Account: "X-Account", RequestID: "X-Request-Id"}

func newAccountForwarder(accounts ...magnolialedge.ClientAccount) *Forwarder {
	f := NewForwarder(Config{Headers: accountHeaders, Log: event.Logger{}, Fleet: pick.NewFleet(pick.Config{})})
	f.SetRouting(accountRouting(1, accounts...))
	return f
}

func accountRouting(version int64, accounts ...magnolialedge.ClientAccount) magnolialedge.RoutingConfig {
	return magnolialedge.RoutingConfig{
		Version: version,
		Routes: []magnolialedge.Route{
			{Name: "open", Host: "h", Prefix: "/open/", AuthExempt: true},
			{Name: "all", Host: "h", Prefix: "/", AllowedRegions: []string{"east", "west"}},
		},
		Accounts: accounts,
	}
}

func account(name string, keys ...magnolialedge.Secret) magnolialedge.ClientAccount {
	return magnolialedge.ClientAccount{Name: name, Keys: keys, Priority: 3, AllowedRegions: []string{"west"}}
}

// parseRequest returns the request with the given header lines as a caller's connection
// yields it.
func parseRequest(t testing.TB, path string, lines ...string) (*front.Request, error) {
	text := "GET " + path + " HTTP/1.1\r\nHost: h\r\n"
	for _, l := range lines {
		text += l + "\r\n"
	}
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text + "\r\n")))
	if err != nil {
		return nil, err
	}
	return &front.Request{Method: r.Method, Host: r.Host, Path: r.URL.Path, Target: path, Header: r.Header}, nil
}

// Guards against requests that run without a valid key, and against valid ones that are
// refused.
func TestOnlyOneValidKeyHeaderIsAccepted(t *testing.T) {
	f := newAccountForwarder(account("a", "k1", "both"), account("b", "k2", "both"), account("none"))
	for name, c := range map[string]struct {
		path    string
		headers []string
		account string
		fault   keyFault
	}{
		"valid":            {"/x", []string{"X-Key: k1"}, "a", ""},
		"other account":    {"/x", []string{"X-Key: k2"}, "b", ""},
		"other spelling":   {"/x", []string{"x-kEY: k1"}, "a", ""},
		"space around":     {"/x", []string{"X-Key:  k1\t "}, "a", ""},
		"none":             {"/x", nil, "", keyMissing},
		"empty":            {"/x", []string{"X-Key:"}, "", keyMalformed},
		"blanks only":      {"/x", []string{"X-Key:   "}, "", keyMalformed},
		"blank inside":     {"/x", []string{"X-Key: k1 k1"}, "", keyMalformed},
		"tab inside":       {"/x", []string{"X-Key: k1\tk1"}, "", keyMalformed},
		"list":             {"/x", []string{"X-Key: k1,k2"}, "", keyUnknown},
		"scheme":           {"/x", []string{"X-Key: Bearer k1"}, "", keyMalformed},
		"8 KB":             {"/x", []string{"X-Key: " + strings.Repeat("k", 8<<10)}, "", keyMalformed},
		"unknown":          {"/x", []string{"X-Key: k9"}, "", keyUnknown},
		"prefix":           {"/x", []string{"X-Key: k"}, "", keyUnknown},
		"upper case":       {"/x", []string{"X-Key: K1"}, "", keyUnknown},
		"two equal":        {"/x", []string{"X-Key: k1", "X-Key: k1"}, "", keyRepeated},
		"two spellings":    {"/x", []string{"X-Key: k1", "x-key: k2"}, "", keyRepeated},
		"one empty":        {"/x", []string{"X-Key: k1", "X-Key:"}, "", keyRepeated},
		"other header":     {"/x", []string{"Authorization: k1"}, "", keyMissing},
		"underscore":       {"/x", []string{"X_Key: k1"}, "", keyMissing},
		"blank after name": {"/x", []string{"X-Key : k1"}, "", keyMissing},
		"account header":   {"/x", []string{"X-Account: a"}, "", keyMissing},
		"of two accounts":  {"/x", []string{"X-Key: both"}, "", keyConflicting},
		"named by Connect": {"/x", []string{"Connection: X-Key", "X-Key: k1"}, "a", ""},
		"exempt":           {"/open/x", nil, "", ""},
		"exempt, with key": {"/open/x", []string{"X-Key: k1"}, "", ""},
		"exempt, bad key":  {"/open/x", []string{"X-Key: k9", "X-Key: k9"}, "", ""},
	} {
		r, err := parseRequest(t, c.path, c.headers...)
		require.NoError(t, err, name)
		x := f.newExchange(r)
		require.Equal(t, c.fault == "", x.authenticate(), name)
		require.Equal(t, c.fault, x.identity.fault, name)
		require.Equal(t, c.account, x.pickReq.Account, name)
		if c.account != "" {
			require.Equal(t, 3, x.pickReq.AccountPriority, name)
			require.Equal(t, []string{"west"}, x.pickReq.Regions, name)
		}
	}
}

// Guards against keys and forged account names that are passed on.
func TestAccountHeadersArePassedOnOnlyWithoutAccounts(t *testing.T) {
	headers := []string{"X-Key: k1", "x-account: forged", "X_Account: forged", "X-Account : forged", "X-Key : k1", "Connection: X-Account", "X-Other: v"}
	for _, path := range []string{"/x", "/open/x"} {
		r, err := parseRequest(t, path, headers...)
		require.NoError(t, err)
		x := newAccountForwarder(account("a", "k1")).newExchange(r)
		require.True(t, x.authenticate())
		sent, handed := x.upstreamRequest().Header, x.handoverRequest(x.pickReq.Regions, x.version).Header
		want := http.Header{"X-Other": {"v"}}
		if path == "/x" {
			want.Set("X-Account", "a")
		}
		require.Equal(t, want, sent)
		handed.Del(handoverHeader)
		require.Equal(t, http.Header{"X-Other": {"v"}}, handed)
		require.Equal(t, "k1", r.Header.Get("X-Key"), "the request itself stays as it was")
	}
}

// Without accounts, each decision must be as in a release that does not know them.
func TestWithoutAccountsEverythingPasses(t *testing.T) {
	for _, headers := range [][]string{nil, {"X-Key: k1"}, {"X-Key: k1", "X-Key: k2"}, {"X-Key:"}, {"X-Account: a", "X_Account: b"}} {
		r, err := parseRequest(t, "/x", headers...)
		require.NoError(t, err)
		x := newAccountForwarder().newExchange(r)
		before := x.pickReq
		require.True(t, x.authenticate())
		require.Equal(t, r.Header, x.upstreamRequest().Header)
		require.Empty(t, x.pickReq.Account)
		x.pickReq.Regions = before.Regions
		require.Equal(t, before, x.pickReq)
	}
}

// Guards against a request that waits and is sent although its key was removed or given to
// another account.
func TestWaitingRequestIsCheckedAgainInALaterVersion(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		next    []magnolialedge.ClientAccount
		account string
		fault   keyFault
	}{
		"unchanged":        {"/x", []magnolialedge.ClientAccount{account("a", "k1")}, "a", ""},
		"key removed":      {"/x", []magnolialedge.ClientAccount{account("a")}, "", keyUnknown},
		"account removed":  {"/x", []magnolialedge.ClientAccount{account("b", "k2")}, "", keyUnknown},
		"key moved":        {"/x", []magnolialedge.ClientAccount{account("a"), account("b", "k1")}, "b", keyMoved},
		"key in two":       {"/x", []magnolialedge.ClientAccount{account("a", "k1"), account("b", "k1")}, "", keyConflicting},
		"accounts removed": {"/x", nil, "", ""},
		"exempt":           {"/open/x", []magnolialedge.ClientAccount{account("b", "k2")}, "", ""},
	} {
		f := newAccountForwarder(account("a", "k1"))
		r, err := parseRequest(t, c.path, "X-Key: k1")
		require.NoError(t, err)
		x := f.newExchange(r)
		require.True(t, x.authenticate())
		require.True(t, f.SetRouting(accountRouting(2, c.next...)))
		require.Equal(t, c.fault, x.currentIdentity().fault, name)
		require.Equal(t, c.fault == "", x.reauthenticate(), name)
		require.Equal(t, c.account, x.pickReq.Account, name)
		require.Empty(t, x.forwardedRequest().Header, "the key is not sent although %s", name)
		require.Equal(t, c.fault == "", x.reauthenticate(), "%s: the result stays", name)
	}
}

// Guards against keys that stay in memory as plain text, or show in what is printed.
func TestForwarderHoldsNoKey(t *testing.T) {
	f := newAccountForwarder(account("a", "k1"))
	for _, a := range f.routes.Config().Accounts {
		require.Empty(t, a.Keys)
	}
	require.True(t, f.SetRouting(accountRouting(2, account("a", "k2"))))
	require.False(t, f.SetRouting(accountRouting(1, account("a", "k1"))), "an older version has no effect")
	r, err := parseRequest(t, "/x", "X-Key: k1")
	require.NoError(t, err)
	require.Equal(t, keyUnknown, f.identify(r, nil).fault)
}

// Guards against keys in the log line of a panic.
func TestPanicShowsNoKey(t *testing.T) {
	var log strings.Builder
	f := NewForwarder(Config{Headers: accountHeaders, Fleet: pick.NewFleet(pick.Config{}), Log: event.NewLogger(&log, "e1"), Metrics: NewMetrics(prometheus.NewRegistry())})
	f.SetRouting(accountRouting(1, account("a", "secret-key-1")))
	for _, key := range []string{"secret-key-1", "secret-key-2"} {
		r, err := parseRequest(t, "/x", "X-Key: "+key)
		require.NoError(t, err)
		x := f.newExchange(r)
		resp := x.serve(func() *front.Response {
			x.authenticate()
			panic(errors.Newf("%v", f.routes.Config()))
		})
		require.Equal(t, http.StatusInternalServerError, resp.Status)
	}
	require.Equal(t, 2, strings.Count(log.String(), "name=requestPanicked"))
	require.NotContains(t, log.String(), "secret-key")
}

func TestHandedRequestIsIdentifiedByTheEntryThatReceivedIt(t *testing.T) {
	f := newAccountForwarder(account("a", "k1"), account("b", "k2"))
	r, err := parseRequest(t, "/x", "X-Key: k2")
	require.NoError(t, err)
	for name, c := range map[string]struct {
		handover handover
		account  string
		fault    keyFault
	}{
		"account":            {handover{Version: 1, Protocol: 1, Account: "a", AccountPriority: 7}, "a", ""},
		"no account":         {handover{Version: 1, Protocol: 1}, "", ""},
		"newer account":      {handover{Version: 2, Protocol: 1, Account: "c"}, "c", ""},
		"removed account":    {handover{Version: 1, Protocol: 1, Account: "c"}, "", accountRemoved},
		"earlier release":    {handover{Version: 1}, "b", ""},
		"forged, no version": {handover{Version: 1, Account: "a"}, "b", ""},
	} {
		x := f.newHandedExchange(r, c.handover)
		require.Equal(t, c.fault == "", x.authenticate(), name)
		require.Equal(t, c.fault, x.identity.fault, name)
		require.Equal(t, c.account, x.pickReq.Account, name)
		require.Empty(t, x.forwardedRequest().Header["X-Key"], name)
	}
	r, err = parseRequest(t, "/x")
	require.NoError(t, err)
	require.Equal(t, keyMissing, f.identify(r, &handover{}).fault)
}

func FuzzFindAccount(f *testing.F) {
	f.Add("k1", "")
	f.Add("", "k1")
	f.Add("k1\x00", "k1")
	f.Add(strings.Repeat("k", 300), " ")
	f.Fuzz(func(t *testing.T, first, second string) {
		table := acct.NewTable(acct.TableConfig{Accounts: []magnolialedge.ClientAccount{account("a", magnolialedge.Secret(first))}})
		got, fault := findAccount(table, []string{first, second})
		require.Nil(t, got)
		require.Equal(t, keyRepeated, fault)
		got, fault = findAccount(table, []string{second})
		require.Equal(t, got == nil, fault != "")
		require.False(t, got != nil && (first != second || len(second) > acct.MaxKeyBytes || strings.ContainsAny(second, " \t\r\n\x00")))
		_, fault = findAccount(table, []string{first})
		require.Equal(t, acct.IsKey(first), fault == "")
	})
}

// The key and the account of a request must cost under 2 us.
func BenchmarkAuthenticate(b *testing.B) {
	for name, accounts := range map[string]int{"none": 0, "79": 79, "10000": 10_000} {
		b.Run(name, func(b *testing.B) {
			var list []magnolialedge.ClientAccount
			for i := range accounts {
				list = append(list, account("account-"+strconv.Itoa(i), magnolialedge.Secret("key-"+strconv.Itoa(i))))
			}
			f := newAccountForwarder(list...)
			r, err := parseRequest(b, "/x", "X-Key: key-7")
			require.NoError(b, err)
			x := f.newExchange(r)
			b.ReportAllocs()
			for b.Loop() {
				x.authenticate()
			}
		})
	}
}
