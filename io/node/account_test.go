package node_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/platform/stand"
)

const (
	keyA = "key-of-a-7c1f0e"
	keyB = "key-of-b-93d2aa"
)

func accountJSON(name string, keys ...string) string {
	return fmt.Sprintf(`{"name":%q,"api-keys":["%s"],"priority":1}`, name, strings.Join(keys, `","`))
}

// newAccountCluster starts a cluster with an entry at 127.0.0.1 whose configuration has the
// accounts a and b.
func newAccountCluster(t *testing.T) *testCluster {
	tc := newTestCluster(t)
	tc.setAccounts(accountJSON("a", keyA) + "," + accountJSON("b", keyB))
	return tc
}

// setAccounts writes a configuration with the given accounts and waits until all entries
// have applied it.
func (tc *testCluster) setAccounts(accounts string) {
	tc.accounts = accounts
	tc.putConfig()
	for _, e := range tc.entries {
		require.Eventually(tc.t, func() bool {
			return strings.Contains(e.logs.String(), fmt.Sprintf("name=routingInForce version=%d ", tc.version))
		}, 2*time.Second, 5*time.Millisecond)
	}
}

// sendWithKeys sends a request with key headers to the first entry and returns the status
// and the request ID.
func (tc *testCluster) sendWithKeys(method, path string, keys ...string) (int, string) {
	id := tc.nextID()
	req, err := http.NewRequest(method, "http://"+tc.entries[0].settings.CallerAddress+path, nil)
	require.NoError(tc.t, err)
	req.Host = host
	req.Header = http.Header{"X-Request-Id": {id}, "X-Deadline-Ms": {"4000"}, "X-Tenant-Id": {"forged"}, "X-Api-Key": keys}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(tc.t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(tc.t, err)
	require.Equal(tc.t, id, resp.Header.Get("X-Request-Id"))
	return resp.StatusCode, id
}

// headerAt returns a header of a request at the upstream that received it.
func (tc *testCluster) headerAt(id, name string) string {
	text := ""
	for _, u := range tc.upstreams {
		text += u.HeaderOf(id, name)
	}
	return text
}

// requireServedFor checks that a request with a key is served for an account.
func (tc *testCluster) requireServedFor(account, key string) {
	status, id := tc.sendWithKeys("GET", "/reads/1", key)
	require.Equal(tc.t, http.StatusOK, status)
	require.Equal(tc.t, account, tc.headerAt(id, "X-Tenant-Id"))
	require.Empty(tc.t, tc.headerAt(id, "X-Api-Key"))
}

// requireUnauthorized checks that a request with the given key headers gets 401 and does
// not run.
func (tc *testCluster) requireUnauthorized(keys ...string) {
	status, id := tc.sendWithKeys("GET", "/reads/1", keys...)
	require.Equal(tc.t, http.StatusUnauthorized, status)
	require.Zero(tc.t, tc.runCount(id))
}

// Guards against keys that stay valid after a change, or are not valid after one.
func TestKeysFollowTheConfiguration(t *testing.T) {
	tc := newTestCluster(t)
	status, id := tc.sendWithKeys("GET", "/reads/1", keyA)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, keyA, tc.headerAt(id, "X-Api-Key"), "without accounts, headers pass as before")
	require.Equal(t, "forged", tc.headerAt(id, "X-Tenant-Id"))

	tc.setAccounts(accountJSON("a", keyA))
	tc.requireServedFor("a", keyA)
	tc.requireUnauthorized(keyB)
	tc.requireUnauthorized()
	tc.requireUnauthorized(keyA, keyA)
	tc.setAccounts(accountJSON("a", keyA) + "," + accountJSON("b", keyB))
	tc.requireServedFor("b", keyB)
	tc.setAccounts(accountJSON("a", keyB) + "," + accountJSON("b", keyA))
	tc.requireServedFor("b", keyA)
	tc.setAccounts(accountJSON("a", keyA, keyB) + "," + accountJSON("b", keyA))
	tc.requireUnauthorized(keyA)
	tc.requireServedFor("a", keyB)
	require.Contains(t, tc.entries[0].logs.String(), "name=accountKeyConflict version=11 account=a other=b")
	tc.setAccounts("")
	status, _ = tc.sendWithKeys("GET", "/reads/1")
	require.Equal(t, http.StatusOK, status)
}

// Guards against a request that runs although its key was removed while it waited: all
// slots are taken when it arrives.
func TestWaitingRequestDoesNotRunOnceItsKeyIsRemoved(t *testing.T) {
	tc := newAccountCluster(t)
	for _, u := range tc.upstreams {
		u.SetSlowdown(35)
	}
	type end struct {
		status int
		id     string
	}
	done := make(chan end, 8)
	for range 8 {
		go func() {
			status, id := tc.sendWithKeys("POST", "/writes/1", keyB)
			done <- end{status, id}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	waited := make(chan end, 1)
	go func() {
		status, id := tc.sendWithKeys("POST", "/writes/1", keyA)
		waited <- end{status, id}
	}()
	time.Sleep(50 * time.Millisecond)
	tc.setAccounts(accountJSON("a") + "," + accountJSON("b", keyB))
	e := <-waited
	require.Equal(t, http.StatusUnauthorized, e.status)
	require.Zero(t, tc.runCount(e.id))
	for range 8 {
		e := <-done
		require.Equal(t, e.status == http.StatusOK, tc.runCount(e.id) == 1, "requests in flight complete")
	}
}

// Guards against a helper that loses the account, and against keys sent to it.
func TestAccountOfARequestThatIsHandedOverReachesTheUpstream(t *testing.T) {
	tc := newAccountCluster(t)
	tc.addEntry("e2", "127.0.0.2")
	time.Sleep(500 * time.Millisecond)
	tc.entries[0].partition.Set(stand.PartitionReset)
	require.Eventually(t, func() bool {
		_, _ = tc.sendWithKeys("GET", "/reads/warm", keyA)
		return strings.Contains(tc.entries[0].logs.String(), "name=isolationChanged isolated=true")
	}, 3*time.Second, 10*time.Millisecond)
	tc.requireServedFor("a", keyA)
	tc.requireServedFor("b", keyB)
	tc.requireUnauthorized("other")
	require.Contains(t, tc.entries[1].logs.String(), "account=a handedBy=e1")
	tc.requireNoKeyShown()
}

// Guards against a request of an account at an entry of an earlier release, which would not
// name the account: the only helper is one, and counts the connections to it.
func TestRequestOfAnAccountIsNotHandedToAnEarlierRelease(t *testing.T) {
	tc := newAccountCluster(t)
	l, err := net.Listen("tcp", "127.0.0.9:0")
	require.NoError(t, err)
	defer l.Close()
	text := make(chan string, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(c).ReadString('\n')
			text <- line
			_ = c.Close()
		}
	}()
	old, err := json.Marshal(magnolialedge.Instance{Name: "old", Zone: "east-a", Region: "east", PeerAddress: l.Addr().String(), StartedAt: 1})
	require.NoError(t, err)
	tc.store.Put("members/old", old)
	time.Sleep(300 * time.Millisecond)
	tc.entries[0].partition.Set(stand.PartitionReset)
	for range 20 {
		status, _ := tc.sendWithKeys("GET", "/reads/1", keyA)
		require.Equal(t, http.StatusServiceUnavailable, status)
	}
	for len(text) > 0 {
		require.NotContains(t, <-text, "/v1/handover")
	}
}

// upgrade asks an entry for a connection for handovers from the given address, and returns
// the connection and the status.
func (tc *testCluster) upgrade(from string) (net.Conn, *bufio.Reader, int) {
	e := tc.entries[0]
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", net.JoinHostPort(e.settings.IP, fmt.Sprint(e.settings.FirstPort)))
	require.NoError(tc.t, err)
	tc.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "GET /v1/handover HTTP/1.1\r\nHost: e1\r\nConnection: Upgrade\r\nUpgrade: magnolialedge-handover\r\n\r\n")
	require.NoError(tc.t, err)
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(tc.t, err)
	return c, r, resp.StatusCode
}

// Guards against a program that hands over requests for any account, and against an entry
// that started a moment ago and is refused.
func TestHandoversAreAcceptedOnlyFromKnownEntries(t *testing.T) {
	tc := newTestCluster(t)
	early, r, status := tc.upgrade("127.0.0.76")
	require.Equal(t, http.StatusSwitchingProtocols, status, "without accounts, handovers are accepted as before")
	tc.setAccounts(accountJSON("a", keyA))
	_, err := io.WriteString(early, "GET /reads/1 HTTP/1.1\r\nHost: "+host+"\r\nX-Request-Id: early\r\n"+
		`Magnolialedge-Handover: {"from":"e9","service":"svc","kind":"safe","protocol":1,"account":"a"}`+"\r\n\r\n")
	require.NoError(t, err)
	refusal, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusForbidden, refusal.StatusCode, "a connection that is older than the accounts")
	require.Zero(t, tc.runCount("early"))
	for range 3 {
		_, _, status := tc.upgrade("127.0.0.77")
		require.Equal(t, http.StatusForbidden, status)
	}
	require.Equal(t, 2, strings.Count(tc.entries[0].logs.String(), "name=handoverRefused"), "one line for each peer")
	body, err := json.Marshal(magnolialedge.Instance{Name: "new", PeerAddress: "127.0.0.77:1", StartedAt: 5})
	require.NoError(t, err)
	e := tc.entries[0].settings
	resp, err := http.Post("http://"+net.JoinHostPort(e.IP, fmt.Sprint(e.FirstPort))+"/v1/member", "application/json", strings.NewReader(string(body)))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	_, _, status = tc.upgrade("127.0.0.77")
	require.Equal(t, http.StatusSwitchingProtocols, status)
}

// Guards against a request that an entry of an earlier release hands over, and that runs
// without a valid key or shows it to the upstream.
func TestRequestHandedOverByAnEarlierReleaseNeedsItsKey(t *testing.T) {
	tc := newAccountCluster(t)
	c, r, status := tc.upgrade("127.0.0.1")
	require.Equal(t, http.StatusSwitchingProtocols, status)
	for i, test := range []struct {
		fields, key, account string
		status               int
	}{
		{"", keyA, "a", http.StatusOK},
		{"", "other", "", http.StatusUnauthorized},
		{`,"account":"a"`, "other", "", http.StatusUnauthorized},
		{`,"account":"b","protocol":1`, keyA, "b", http.StatusOK},
		{`,"account":"c","protocol":1,"version":100`, keyA, "c", http.StatusOK},
		{`,"account":"c","protocol":1`, keyA, "", http.StatusUnauthorized},
		{`,"account":"a\r\nx: y","protocol":1`, keyA, "", http.StatusBadRequest},
	} {
		id := fmt.Sprint("handed-", i)
		_, err := io.WriteString(c, "GET /reads/1 HTTP/1.1\r\nHost: "+host+"\r\nX-Request-Id: "+id+"\r\nX-Api-Key: "+test.key+
			"\r\nMagnolialedge-Handover: {\"from\":\"e9\",\"route\":\"reads\",\"service\":\"svc\",\"kind\":\"safe\",\"maxAttempts\":2,\"ageMs\":1"+test.fields+"}\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.Equal(t, test.status, resp.StatusCode, id)
		require.Equal(t, test.account, tc.headerAt(id, "X-Tenant-Id"), id)
		require.Empty(t, tc.headerAt(id, "X-Api-Key"), id)
	}
}

// requireNoKeyShown checks all that the entries have written for operators.
func (tc *testCluster) requireNoKeyShown() {
	for _, e := range tc.entries {
		text := e.logs.String()
		for _, path := range []string{"/v1/dump", "/metrics"} {
			resp, err := http.Get("http://" + net.JoinHostPort(e.settings.IP, fmt.Sprint(e.metricsPort)) + path)
			require.NoError(tc.t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(tc.t, err)
			require.NoError(tc.t, resp.Body.Close())
			text += string(body)
		}
		require.Contains(tc.t, text, "name=accountsReplaced")
		require.Contains(tc.t, text, `"keyHashes":["`)
		for _, key := range []string{keyA, keyB} {
			require.NotContains(tc.t, text, key)
		}
	}
}

// Guards against keys in what operators see, also of failures: upstreams that fail in each
// way, callers that fail, an unusable configuration and a store that is down.
func TestNoKeyIsShownInCaseOfFailures(t *testing.T) {
	tc := newAccountCluster(t)
	tc.addEntry("e2", "127.0.0.2")
	for _, mode := range []stand.ResponseMode{stand.RespondError, stand.RejectRequest, stand.ResetAfterRun, stand.OmitSignature, stand.TruncateBody, stand.RespondNormally} {
		tc.setResponseMode(mode)
		for _, keys := range [][]string{{keyA}, {keyA, keyB}, {keyA + " "}, {keyB + keyA}} {
			_, _ = tc.sendWithKeys("GET", "/reads/"+fmt.Sprint(mode), keys...)
			_, _ = tc.sendWithKeys("POST", "/writes/"+fmt.Sprint(mode), keys...)
		}
	}
	for _, raw := range []string{
		"GET /reads/1 HTTP/1.1\r\nHost: " + host + "\r\nX-Api-Key: " + keyA + "\r\nbroken " + keyB + "\r\n\r\n",
		"GET /reads/1 HTTP/1.1\r\nHost: " + host + "\r\nX-Api-Key: " + keyA + strings.Repeat("x", 8<<10) + "\r\n\r\n",
		"POST /writes/1 HTTP/1.1\r\nHost: " + host + "\r\nX-Api-Key: " + keyA + "\r\nContent-Length: 10\r\n\r\n",
	} {
		c, err := net.Dial("tcp", tc.entries[0].settings.CallerAddress)
		require.NoError(t, err)
		_, err = io.WriteString(c, raw)
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
		require.NoError(t, c.Close())
	}
	for _, text := range []string{
		`{"version":"r99","tenants":[{"name":"a","api-keys":["` + keyA + `",7]}]}`,
		`{"version":"r99","tenants":[{"name":"a","api-keys":"` + keyA + `"}]}`,
		`{"version":"r99","tenants":[{"name":"a","api-keys":["` + keyA,
	} {
		tc.store.Put("op/config", []byte(text))
	}
	time.Sleep(200 * time.Millisecond)
	tc.requireNoKeyShown()
}
