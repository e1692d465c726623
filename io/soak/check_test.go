package soak

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	platform "magnolialedge/platform/stand"
)

// baseTime is the zero of the times in tests.
var baseTime = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// at returns the time that many seconds after baseTime.
func at(seconds float64) time.Time {
	return baseTime.Add(time.Duration(seconds * float64(time.Second)))
}

func emptyCluster() *cluster {
	return &cluster{disturbances: newDisturbances(), reserved: map[any]bool{}}
}

// successfulRequest returns a non-idempotent request with its correct response.
func successfulRequest() outcome {
	return outcome{
		request: platform.Request{ID: "7", Method: http.MethodPost, Path: "/writes/7", Body: []byte("7")},
		entry:   "e", start: at(10), end: at(10.1),
		response: platform.Response{Status: http.StatusOK, ID: "7", IsSigned: true, Body: "u POST /writes/7 1"},
	}
}

// executedTimes returns the deliveries of that request, executed the given number
// of times.
func executedTimes(times int) deliveries {
	d := deliveries{}
	for range times {
		d["7"] = append(d["7"], delivery{platform.Arrival{ID: "7", At: at(10), Ran: true}, &upstream{id: "u"}})
	}
	return d
}

func TestIncorrectOutcomesAreBreaches(t *testing.T) {
	rejected := platform.Response{Status: http.StatusServiceUnavailable, ID: "7", RetryAfter: "1"}
	for name, tc := range map[string]struct {
		change     func(*outcome)
		executions int
		breach     bool
	}{
		"correct response":                {func(*outcome) {}, 1, false},
		"executed twice":                  {func(*outcome) {}, 2, true},
		"idempotent, executed twice":      {func(o *outcome) { o.idempotent = true }, 2, false},
		"not executed":                    {func(*outcome) {}, 0, true},
		"unsigned response":               {func(o *outcome) { o.response.IsSigned = false }, 1, true},
		"ID of another request":           {func(o *outcome) { o.response.ID = "8" }, 1, true},
		"body of another request":         {func(o *outcome) { o.response.Body = "u POST /writes/8 1" }, 1, true},
		"rejected":                        {func(o *outcome) { o.response = rejected }, 0, false},
		"rejected but executed":           {func(o *outcome) { o.response = rejected }, 1, true},
		"rejected without Retry-After":    {func(o *outcome) { o.response = rejected; o.response.RetryAfter = "" }, 0, true},
		"connection lost":                 {func(o *outcome) { o.err = errors.New("reset") }, 1, true},
		"connection closed by the caller": {func(o *outcome) { o.err = errors.New("reset"); o.canceled = true }, 1, false},
		"no response within the timeout":  {func(o *outcome) { o.err = errors.New("timeout"); o.end = o.start.Add(2 * time.Second) }, 1, true},
		"error response of an upstream":   {func(o *outcome) { o.response.Status = http.StatusInternalServerError }, 1, false},
	} {
		cl := emptyCluster()
		o := successfulRequest()
		tc.change(&o)
		cl.checkOutcomes([]outcome{o}, executedTimes(tc.executions))
		require.Equal(t, tc.breach, len(cl.breaches) > 0, "%s: %v", name, cl.breaches)
	}
}

// A request may lose its connection while its entry is disturbed and for
// settleTime afterwards, and not later.
func TestLostConnectionToDisturbedEntryIsNoBreach(t *testing.T) {
	cl := emptyCluster()
	cl.disturbances.spans["e"] = []*timeSpan{{from: at(7), to: at(8)}}
	o := successfulRequest()
	o.err = errors.New("reset")
	cl.checkOutcomes([]outcome{o}, executedTimes(1))
	require.Empty(t, cl.breaches)
	cl.disturbances.spans["e"][0].to = at(5)
	cl.checkOutcomes([]outcome{o}, executedTimes(1))
	require.Len(t, cl.breaches, 1)
}

func TestLateRequestToDrainingUpstreamIsBreach(t *testing.T) {
	for drainStart, breaches := range map[float64]int{9: 0, 8: 0, 6.5: 1} {
		cl := emptyCluster()
		d := deliveries{"7": {{platform.Arrival{ID: "7", At: at(10)}, &upstream{id: "u", drains: []timeSpan{{from: at(drainStart), to: at(12)}}}}}}
		cl.checkDrains(cl.sendersByRequest([]outcome{successfulRequest()}), d)
		require.Len(t, cl.breaches, breaches, "drain from %v", drainStart)
	}
}

func TestRequestsBeyondLimitAreBreach(t *testing.T) {
	for n, breaches := range map[int]int{11: 0, 12: 1} {
		cl := emptyCluster()
		u := &upstream{id: "u"}
		var times []time.Time
		for i := range n {
			times = append(times, at(10+float64(i)/4))
		}
		cl.checkLimit(u, limitSpan{timeSpan: timeSpan{from: at(5), to: at(20)}, perSecond: 1}, times)
		require.Len(t, cl.breaches, breaches)
	}
}

func TestRequestsDespiteNoticeAreBreach(t *testing.T) {
	for _, tc := range []struct {
		times []time.Time
		// before is the number of leading requests whose responses have no notice.
		before   int
		breaches int
	}{
		{[]time.Time{at(10), at(10.4), at(10.6), at(11)}, 0, 0},
		{[]time.Time{at(10), at(10.6), at(11), at(11.5)}, 0, 1},
		{[]time.Time{at(10), at(10.6), at(11), at(12.1), at(13)}, 0, 0},
		{[]time.Time{at(10), at(10.6), at(11), at(11.5)}, 1, 0},
		{[]time.Time{at(9.5), at(10), at(10.6), at(11), at(11.5)}, 1, 1},
	} {
		cl := emptyCluster()
		var sent []platform.Arrival
		for i, x := range tc.times {
			sent = append(sent, platform.Arrival{At: x, IsNotified: i >= tc.before})
		}
		cl.checkNotice(&upstream{id: "u"}, noticeSpan{timeSpan: timeSpan{from: at(9), to: at(15)}, wait: 2 * time.Second}, "e", sent)
		require.Len(t, cl.breaches, tc.breaches)
	}
}

// Guards against a request that is taken for one whose response had a notice because its body
// arrived after the notice began.
func TestRequestWhoseBodyArrivesDuringANoticeIsNotNotified(t *testing.T) {
	u := platform.NewUpstream(platform.UpstreamConfig{ID: "u", Slots: 4})
	defer u.Close()
	send := func(body io.Reader, id string) {
		req, err := http.NewRequest(http.MethodPost, "http://"+u.Address()+"/", body)
		require.NoError(t, err)
		req.Header.Set("X-Request-Id", id)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, resp.Header.Get("Retry-After") != "", u.Arrivals()[len(u.Arrivals())-1].IsNotified, id)
	}
	body, w := io.Pipe()
	go func() {
		_, _ = io.WriteString(w, "x")
		time.Sleep(100 * time.Millisecond)
		u.SetRetryAfter("1")
		u.SetResponseMode(platform.RejectRequest)
		_ = w.Close()
	}()
	send(body, "before")
	send(strings.NewReader("x"), "after")
	require.False(t, u.Arrivals()[0].IsNotified)
	require.True(t, u.Arrivals()[1].IsNotified)
}

func TestRetriesBeyondBudgetAreBreach(t *testing.T) {
	for retries, breaches := range map[int]int{retryExtra: 0, retryExtra + 1: 1} {
		cl := emptyCluster()
		cl.checkRetries(nil, executedTimes(retries+1))
		require.Len(t, cl.breaches, breaches)
	}
}

// A version is reported as overdue once. A lower version is only reported within one
// run of the entry, because a restarted entry may start with an older one.
func TestOverdueAndRevertedVersionsAreBreaches(t *testing.T) {
	e := &entry{}
	e.settings.Name = "e"
	cl := emptyCluster()
	cl.configVersions = []configVersion{{number: 1, at: at(0)}, {number: 2, at: at(10)}}
	var last observedVersion
	cl.checkVersion(e, 1, at(11), &last, 1)
	require.Empty(t, cl.breaches)
	cl.checkVersion(e, 1, at(13.1), &last, 1)
	require.Len(t, cl.breaches, 1)
	cl.checkVersion(e, 2, at(13.2), &last, 1)
	cl.checkVersion(e, 1, at(13.3), &last, 1)
	require.Len(t, cl.breaches, 2)
	cl.checkVersion(e, 1, at(13.4), &last, 2)
	require.Len(t, cl.breaches, 2)
}
