package mirror

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/io/event"
)

// A source sends messages that cannot be decoded. The stream ends, the entry goes on
// and follows the next source.
func TestMalformedStreamMessagesEndOnlyTheStream(t *testing.T) {
	for _, text := range []string{
		"not JSON\n",
		"{\"snapshot\":true,\"items\":7}\n",
		"{\"snapshot\":true,\"packed\":\"bm90IGd6aXA=\",\"revision\":1}\n",
		"{\"snapshot\":true,\"revision\":-9223372036854775808,\"ageMs\":-9223372036854775808}\n",
		"null\n",
		"{\"items\":[null,{}],\"revision\":1}\n",
	} {
		t.Run(text, func(t *testing.T) {
			bad := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }))
			defer bad.Close()
			store := newFakeStore()
			store.set("a", false)
			good := NewFollower(Config{Store: store, OnChange: ignoreChanges, Sources: noSources, Dialer: httpPeers{}, Log: event.Logger{}})
			go good.Run(t.Context())
			srv := httptest.NewServer(good)
			defer srv.CloseClientConnections()
			f := NewFollower(Config{Store: newFakeStore(), OnChange: ignoreChanges, Dialer: httpPeers{},
				Sources: func() []string { return []string{bad.Listener.Addr().String(), srv.Listener.Addr().String()} }, Log: event.Logger{}})
			go f.Run(t.Context())
			require.Eventually(t, func() bool { return f.Size() > 0 && f.Revision() >= 2 }, 5*time.Second, 10*time.Millisecond)
		})
	}
}
