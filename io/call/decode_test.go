package call

import (
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/core/proc"
)

func FuzzParseLoad(f *testing.F) {
	f.Add("inFlight=3 queued=1 draining")
	f.Add("inFlight=-1")
	f.Add("inFlight=99999999")
	f.Fuzz(func(t *testing.T, text string) {
		load := parseLoad(text)
		if load == nil {
			return
		}
		require.GreaterOrEqual(t, load.InFlight, 0)
		require.GreaterOrEqual(t, load.Queued, 0)
	})
}

func FuzzParseClaim(f *testing.F) {
	f.Add([]byte(`{"owner":{"peer":"a","generation":1,"seq":2}}`))
	f.Add([]byte(``))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := proc.ParseClaim(data)
		if err != nil {
			return
		}
		out, err := c.Encode()
		require.NoError(t, err)
		again, err := proc.ParseClaim(out)
		require.NoError(t, err)
		require.Equal(t, c, again)
	})
}

func TestEveryErrorKindHasAResponse(t *testing.T) {
	for _, kind := range magnolialedge.ErrorKinds() {
		resp := magnolialedge.ErrorResponseFor(kind)
		require.NotZero(t, resp.Status, kind)
		require.NotEmpty(t, resp.Outcome, kind)
		if resp.Status >= 500 {
			require.NotZero(t, resp.RetryAfter, kind)
		}
	}
}
