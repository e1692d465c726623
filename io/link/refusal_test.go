package link

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// refusal is a response that says that request id was not run.
func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// Guards against an earlier refusal that an upstream writes once more on a kept connection,
// and that is taken for the response to a later request, health check or large body.
func TestEarlierRefusalIsNotTakenForAnotherResponse(t *testing.T) {
	resp, _, err := roundTrip(scriptedConn(t, refusal("6")+ownResponse, false), getRequest())
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.Status)

	large := getRequest()
	large.Method, large.HasBody, large.Body = http.MethodPost, true, make([]byte, 4*maxCoalescedBodyBytes)
	resp, _, err = roundTrip(scriptedConn(t, refusal("6")+refusal("6")+ownResponse, false), large)
	require.NoError(t, err)
	require.False(t, resp.NotRun)

	withoutID := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	resp, sent, err := roundTrip(scriptedConn(t, withoutID+ownResponse, false), getRequest())
	require.Error(t, err)
	require.Nil(t, resp)
	require.True(t, sent.Written, "the request may have run")

	c := scriptedConn(t, refusal("6")+"HTTP/1.1 200 OK\r\nInstance: u\r\nContent-Length: 0\r\n\r\n", false)
	_, err = c.CheckHealth(context.Background(), "h", "/health")
	require.Error(t, err)
	require.False(t, c.isReusable())
}

// Guards against an earlier refusal of the same request, sent once more when its caller
// repeats it under the same id: it must not use the connection again.
func TestConnRemembersTheRequestsThatWereRefusedOnIt(t *testing.T) {
	c := scriptedConnThen(t, refusal("7"), func(c net.Conn) { time.Sleep(time.Second); _ = c.Close() })
	resp, _, err := roundTrip(c, getRequest())
	require.NoError(t, err)
	require.True(t, resp.NotRun)
	require.True(t, c.isReusable())
	require.True(t, c.HasRefused("7"))
	require.False(t, c.HasRefused("8"))
}
