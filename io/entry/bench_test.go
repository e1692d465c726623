package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/io/stand"
)

// BenchmarkCall compares a request through an entry with the same request sent directly.
// Allocations include those of the client and the upstream, which run in the same process;
// the difference between the two results is due to the entry.
func BenchmarkCall(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	defer upstream.Close()
	s, err := stand.StartSystem(stand.SystemConfig{
		Document:         singleServiceDocument(magnolialedge.KeyLookupStore, upstream.Listener.Addr().String()),
		EntriesPerRegion: 1,
		KeepTargets:      true,
		Seed:             1,
	})
	require.NoError(b, err)
	defer s.Close()
	for name, url := range map[string]string{
		"direct":  upstream.URL + "/a",
		"through": "http://" + s.Entries[0].Self().CallerAddress + "/s/echo/a",
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				resp, err := http.Get(url)
				require.NoError(b, err)
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				require.Equal(b, http.StatusOK, resp.StatusCode)
			}
		})
	}
}
