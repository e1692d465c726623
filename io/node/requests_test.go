package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/io/node"
	"magnolialedge/platform/stand"
)

func TestRequestReachesAnUpstreamAndItsAnswerComesBack(t *testing.T) {
	w := newWorld(t)
	a, id := w.call("GET", "/reads/7?x=1%202", "")
	require.Equal(t, http.StatusOK, a.status)
	require.Contains(t, a.body, "GET /reads/7?x=1%202 0")
	require.NotEmpty(t, a.signature)
	require.Equal(t, id, a.id)
	a, _ = w.call("POST", "/writes/7", "hello")
	require.Contains(t, a.body, "POST /writes/7 5")
	a, _ = w.call("GET", "/nothing/7", "")
	require.Equal(t, http.StatusNotFound, a.status)
}

func TestRequestThatRunsOnceIsNotSentAgainAfterALostAnswer(t *testing.T) {
	w := newWorld(t)
	w.setManner(stand.ResetAfterRun)
	a, id := w.call("POST", "/writes/1", "x")
	require.Equal(t, http.StatusBadGateway, a.status)
	require.Equal(t, 1, w.runs(id))
}

func TestSafeRequestIsSentAgainAfterALostAnswer(t *testing.T) {
	w := newWorld(t)
	w.ups[0].SetResponseMode(stand.ResetAfterRun)
	for range 6 {
		a, id := w.call("GET", "/reads/1", "")
		require.Equal(t, http.StatusOK, a.status)
		require.LessOrEqual(t, w.runs(id), 2)
	}
}

func TestRefusalsArePromisesAndSayWhenToComeBack(t *testing.T) {
	w := newWorld(t)
	w.setManner(stand.RejectRequest)
	for _, method := range []string{"GET", "POST"} {
		path := map[string]string{"GET": "/reads/1", "POST": "/writes/1"}[method]
		begun := time.Now()
		a, id := w.call(method, path, map[string]string{"POST": "x"}[method])
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.NotEmpty(t, a.retryAfter)
		require.Zero(t, w.runs(id))
		require.Less(t, time.Since(begun), 900*time.Millisecond)
	}
}

func TestRefusedUnsafeRequestIsSentToAnotherUpstream(t *testing.T) {
	w := newWorld(t)
	w.ups[0].SetResponseMode(stand.RejectRequest)
	for range 6 {
		a, id := w.call("POST", "/writes/1", "x")
		require.Equal(t, http.StatusOK, a.status)
		require.Equal(t, 1, w.runs(id))
	}
}

func TestSuccessWithoutASignatureIsNoAnswer(t *testing.T) {
	w := newWorld(t)
	w.setManner(stand.OmitSignature)
	a, id := w.call("POST", "/writes/1", "x")
	require.Equal(t, http.StatusBadGateway, a.status)
	require.Equal(t, 1, w.runs(id))
}

func TestCutAnswerIsNeverTakenForWhole(t *testing.T) {
	w := newWorld(t)
	w.setManner(stand.TruncateBody)
	a, id := w.call("POST", "/writes/1", "x")
	require.Equal(t, http.StatusBadGateway, a.status)
	require.Equal(t, 1, w.runs(id))
}

func TestSecondAnswerReachesNobody(t *testing.T) {
	w := newWorld(t)
	w.setManner(stand.DuplicateResponse)
	for i := range 12 {
		path := fmt.Sprintf("/reads/%d", i)
		a, id := w.call("GET", path, "")
		require.Equal(t, http.StatusOK, a.status)
		require.Contains(t, a.body, path+" ")
		require.Equal(t, id, a.id)
	}
}

func TestRouteTimeoutIsKept(t *testing.T) {
	w := newWorld(t)
	w.setManner(stand.HangAfterRun)
	begun := time.Now()
	a, _ := w.call("POST", "/writes/1", "x")
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	require.InDelta(t, 1.0, time.Since(begun).Seconds(), 0.3)
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	w := newWorld(t)
	w.setManner(stand.HangAfterRun)
	c, err := net.Dial("tcp", w.entries[0].settings.CallerAddress)
	require.NoError(t, err)
	one := "GET /reads/%d HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: left-%d\r\nX-Deadline-Ms: 2000\r\n\r\n"
	for i := range 3 {
		_, err = fmt.Fprintf(c, one, i, i)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return w.runs("left-0") > 0 }, time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	left := func() int { return w.ups[0].CancelledRequests() + w.ups[1].CancelledRequests() }
	require.Eventually(t, func() bool { return left() >= 3 }, 500*time.Millisecond, time.Millisecond)
}

func TestPipelinedRequestsRunTogetherAndAreAnsweredInOrder(t *testing.T) {
	w := newWorld(t)
	w.ups[0].SetSlowdown(8)
	w.ups[1].SetSlowdown(8)
	c, err := net.Dial("tcp", w.entries[0].settings.CallerAddress)
	require.NoError(t, err)
	defer c.Close()
	var text strings.Builder
	for i := range 5 {
		fmt.Fprintf(&text, "GET /reads/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: p%d\r\nX-Deadline-Ms: 2000\r\n\r\n", i, host, i)
	}
	begun := time.Now()
	_, err = io.WriteString(c, text.String())
	require.NoError(t, err)
	r := bufio.NewReader(c)
	for i := range 5 {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Contains(t, string(body), fmt.Sprintf("/reads/%d ", i))
	}
	require.Less(t, time.Since(begun), 700*time.Millisecond)
}

func TestLimitsOnCallers(t *testing.T) {
	w := newWorld(t)
	address := w.entries[0].settings.CallerAddress
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"a head that is too large", "GET /reads/1 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", 431},
		{"a body that is too large", "POST /writes/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100001\r\n\r\n", 413},
		{"a head that doesn't end", "GET /reads/1 HTTP/1.1\r\nHost: ", 408},
		{"a malformed head", "nonsense\r\n\r\n", 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, c.text)
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, c.status, resp.StatusCode)
			require.True(t, resp.Close)
		})
	}
}

func TestChunkedBodyIsPassedOnWhole(t *testing.T) {
	w := newWorld(t)
	conn, err := net.Dial("tcp", w.entries[0].settings.CallerAddress)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /writes/1 HTTP/1.1\r\nHost: "+host+"\r\nX-Request-Id: c\r\nX-Deadline-Ms: 900\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "POST /writes/1 11")
}

func TestLargeBodyThatIsAnsweredEarlyLeavesNoBytesBehind(t *testing.T) {
	w := newWorld(t)
	w.setManner(stand.RejectRequest)
	big := strings.Repeat("x", 90_000)
	for range 3 {
		a, _ := w.call("POST", "/writes/1", big)
		require.Equal(t, http.StatusServiceUnavailable, a.status)
	}
	w.setManner(stand.RespondNormally)
	require.Eventually(t, func() bool {
		a, _ := w.call("POST", "/writes/1", big)
		return a.status == http.StatusOK && strings.Contains(a.body, "90000")
	}, 2*time.Second, 20*time.Millisecond)
}

func TestUpstreamThatHangsDoesNotHoldSafeRequests(t *testing.T) {
	w := newWorld(t)
	w.ups[0].SetResponseMode(stand.HangAfterRun)
	for range 4 {
		begun := time.Now()
		a, _ := w.call("GET", "/reads/1", "")
		require.Equal(t, http.StatusOK, a.status)
		require.Less(t, time.Since(begun), 900*time.Millisecond)
	}
}

func TestAddressThatAnotherUpstreamTookOverRunsNothing(t *testing.T) {
	w := newWorld(t)
	other := w.addUpstreamOf("u3", "other")
	w.store.Put("servers/ghost", []byte(fmt.Sprintf(`{"service":"svc","address":%q,"zone":"east-a","version":"v1","slots":4,"state":"ready","cold-left-ms":0,"seq":1,"born":1}`, other.Address())))
	time.Sleep(200 * time.Millisecond)
	for range 8 {
		a, _ := w.call("POST", "/writes/1", "x")
		require.Equal(t, http.StatusOK, a.status)
	}
	require.Empty(t, other.Runs())
}

func TestManyCallersGetTheirOwnAnswers(t *testing.T) {
	w := newWorld(t)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	errs := make(chan error, 16)
	for i := range 16 {
		go func() {
			for j := range 20 {
				path := fmt.Sprintf("/reads/%d-%d", i, j)
				a, err := callAt(context.Background(), client, w.entries[0].settings.CallerAddress, "GET", path, "", fmt.Sprintf("many-%d-%d", i, j))
				if err == nil && a.status == http.StatusOK && !strings.Contains(a.body, path+" ") {
					err = fmt.Errorf("asked for %s and got %s", path, a.body)
				}
				if err != nil {
					errs <- err
					return
				}
			}
			errs <- nil
		}()
	}
	for range 16 {
		require.NoError(t, <-errs)
	}
}

// TestReadingsStayInTheirBudget sends far more requests than readings are allowed.
func TestReadingsStayInTheirBudget(t *testing.T) {
	const perSec = 8
	w := newWorld(t)
	e := w.addEntryWith("e2", "127.0.0.2", func(s *node.Settings) { s.MaxProbesPerSec = perSec })
	before := w.ups[0].HealthChecks() + w.ups[1].HealthChecks()
	begun := time.Now()
	for time.Since(begun) < 3*time.Second {
		a, err := callAt(context.Background(), http.DefaultClient, e.settings.CallerAddress, "GET", "/reads/1", "", w.nextID())
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.status)
	}
	taken := w.ups[0].HealthChecks() + w.ups[1].HealthChecks() - before
	require.LessOrEqual(t, taken, 2*perSec*3)
}
