package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/core/acct"
	"magnolialedge/io/event"
)

const quotaAccount = "shop"

var quotaRouting = magnolialedge.RoutingConfig{Version: 1, Accounts: []magnolialedge.ClientAccount{
	{Name: quotaAccount, RatePerSecond: 100, Burst: 100}, {Name: "free"},
}}

// startCredits starts the peer listeners of n entries, with their credits.
func startCredits(t *testing.T, n int) []*credits {
	var members []magnolialedge.Instance
	var mu sync.Mutex
	list := func() []magnolialedge.Instance {
		mu.Lock()
		defer mu.Unlock()
		return members
	}
	var all []*credits
	for i := range n {
		run := acct.Run{Name: string(rune('a' + i)), StartedAt: 1}
		c := newCredits(time.Now(), run, quotaBound(Settings{}), list, creditClient{client: http.DefaultClient, self: run}, newCreditMetrics(prometheus.NewRegistry()), event.Logger{})
		h := &creditHandler{credits: c}
		e := echo.New()
		e.POST(creditPath, h.handleDraw)
		e.POST(votePath, h.handleVote)
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		mu.Lock()
		members = append(members, magnolialedge.Instance{Name: run.Name, StartedAt: 1, Protocol: 1, PeerAddress: strings.TrimPrefix(server.URL, "http://")})
		mu.Unlock()
		all = append(all, c)
	}
	for _, c := range all {
		c.setRouting(quotaRouting)
		go c.run(t.Context())
	}
	time.Sleep(acct.VoteLife)
	return all
}

// Guards against entries that together admit more than the limit, or less than most of it.
func TestEntriesTogetherKeepTheLimitOfAnAccount(t *testing.T) {
	t.Parallel()
	all := startCredits(t, 4)
	const duration = 2 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var group sync.WaitGroup
	admitted := make([]int, len(all))
	refused := make([]int, len(all))
	for i, c := range all {
		group.Go(func() {
			for ctx.Err() == nil {
				a := c.Admit(ctx, quotaAccount)
				switch a.Verdict {
				case acct.Admitted:
					admitted[i]++
				case acct.Refused:
					refused[i]++
					require.Positive(t, a.RetryAfter)
					require.NotEmpty(t, a.Owner)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
	sum := 0
	for i := range all {
		sum += admitted[i]
		require.Positive(t, refused[i])
	}
	require.GreaterOrEqual(t, float64(sum), 0.8*100*duration.Seconds())
	require.LessOrEqual(t, float64(sum), 100+100*duration.Seconds())
}

// Guards against waits and messages for accounts without a limit.
func TestAccountWithoutLimitIsAdmittedAtOnce(t *testing.T) {
	c := newCredits(time.Now(), acct.Run{Name: "a"}, quotaBound(Settings{}), nil, nil, newCreditMetrics(prometheus.NewRegistry()), event.Logger{})
	c.setRouting(quotaRouting)
	require.Equal(t, acct.Admitted, c.Admit(t.Context(), "free").Verdict)
}

// Guards against requests that wait for good when no owner replies.
func TestRequestWithoutAnOwnerEndsInTime(t *testing.T) {
	t.Parallel()
	c := newCredits(time.Now(), acct.Run{Name: "a"}, quotaBound(Settings{}), func() []magnolialedge.Instance {
		return []magnolialedge.Instance{{Name: "lost", Protocol: 1, PeerAddress: "127.0.0.1:1"}}
	}, creditClient{client: http.DefaultClient}, newCreditMetrics(prometheus.NewRegistry()), event.Logger{})
	c.setRouting(quotaRouting)
	go c.run(t.Context())
	start := time.Now()
	require.Equal(t, acct.Unavailable, c.Admit(t.Context(), quotaAccount).Verdict)
	require.Less(t, time.Since(start), 2*acct.AskTimeout)
}

// Guards against messages whose numbers would add credits or exhaust memory.
func TestInvalidCreditMessagesAreRefused(t *testing.T) {
	c := newCredits(time.Now(), acct.Run{Name: "a"}, quotaBound(Settings{}), func() []magnolialedge.Instance { return nil }, nil, newCreditMetrics(prometheus.NewRegistry()), event.Logger{})
	logs := &strings.Builder{}
	h := &creditHandler{credits: c, log: event.NewLogger(logs, "a")}
	e := echo.New()
	e.POST(creditPath, h.handleDraw)
	for body, want := range map[string]int{
		`{"from":"b","accounts":[{"account":"x","number":1,"want":1,"later":true}]}`: http.StatusOK,
		`{"accounts":[{"account":"x","number":1,"want":1}]}`:                         http.StatusBadRequest,
		`{"from":"b","accounts":[{"account":"x","number":0,"want":1}]}`:              http.StatusBadRequest,
		`{"from":"b","accounts":[{"account":"x","number":1,"want":-1}]}`:             http.StatusBadRequest,
		`{"from":"b","accounts":[{"account":"x","number":1,"rate":-1}]}`:             http.StatusBadRequest,
		`{"from":"` + strings.Repeat("b", maxPeerMessageBytes) + `"}`:                http.StatusBadRequest,
		`{`: http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, creditPath, strings.NewReader(body)))
		require.Equal(t, want, w.Code, "%.80s", body)
	}
	require.Equal(t, 1, strings.Count(logs.String(), "creditMessageInvalid"))
}

// The processor time of a message and its reply, at both ends together.
func BenchmarkDrawOverHTTP(b *testing.B) {
	self := acct.Run{Name: "a", StartedAt: 1}
	c := newCredits(time.Now(), self, quotaBound(Settings{}), func() []magnolialedge.Instance { return nil }, nil, newCreditMetrics(prometheus.NewRegistry()), event.Logger{})
	e := echo.New()
	e.POST(creditPath, (&creditHandler{credits: c}).handleDraw)
	server := httptest.NewServer(e)
	defer server.Close()
	to := magnolialedge.Instance{PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	m := acct.Message{Draws: []acct.AccountDraw{{Account: quotaAccount, Draw: acct.Draw{Number: 1, Want: 1}}, {Account: "free", Draw: acct.Draw{Number: 1, Want: 1}}}}
	var before, after syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before))
	for b.Loop() {
		_, err := creditClient{client: http.DefaultClient, self: self}.draw(b.Context(), to, m, 1)
		require.NoError(b, err)
	}
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))
	spent := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(spent)/float64(b.N), "cpu-ns/op")
}

// The target is 2 us for the quota of a request.
func BenchmarkAdmit(b *testing.B) {
	self := magnolialedge.Instance{Name: "a", Protocol: 1}
	c := newCredits(time.Now(), acct.Run{Name: "a"}, quotaBound(Settings{}), func() []magnolialedge.Instance { return []magnolialedge.Instance{self} }, nil, newCreditMetrics(prometheus.NewRegistry()), event.Logger{})
	routing := quotaRouting
	routing.Accounts = []magnolialedge.ClientAccount{{Name: quotaAccount, RatePerSecond: 1e7, Burst: 1e7}}
	c.setRouting(routing)
	go c.run(b.Context())
	time.Sleep(2 * acct.VoteLife)
	admitted := 0
	for b.Loop() {
		if c.Admit(b.Context(), quotaAccount).Verdict == acct.Admitted {
			admitted++
		}
	}
	b.ReportMetric(float64(admitted)/float64(b.N), "admitted/op")
}

// Guards against a request that is refused because no owner replies although the limit of
// its account was removed while it waited.
func TestRequestWaitingForCreditsIsAdmittedWhenItsLimitIsRemoved(t *testing.T) {
	c := newCredits(time.Now(), acct.Run{Name: "a", StartedAt: 1}, quotaBound(Settings{}), func() []magnolialedge.Instance { return nil }, nil, newCreditMetrics(prometheus.NewRegistry()), event.Logger{})
	c.setRouting(magnolialedge.RoutingConfig{Version: 1, Accounts: []magnolialedge.ClientAccount{{Name: "x", RatePerSecond: 5, Burst: 5}}})
	time.AfterFunc(20*time.Millisecond, func() { c.setRouting(magnolialedge.RoutingConfig{Version: 2}) })
	require.Equal(t, acct.Admitted, c.Admit(t.Context(), "x").Verdict)
}
