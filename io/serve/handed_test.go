package serve

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/core/pick"
)

// Guards against an entry that gets no requests of a service for a while because it declined one
// for a reason that concerns this one only.
func TestReasonsForWhichAnEntryGetsNoFurtherRequests(t *testing.T) {
	for _, c := range []struct {
		reason magnolialedge.ErrorKind
		tried  []string
		want   bool
	}{
		{"", nil, false},
		{magnolialedge.KindBadRequest, nil, false},
		{magnolialedge.KindNoUpstream, nil, true},
		{magnolialedge.KindNoUpstream, []string{"u1"}, false},
		{magnolialedge.KindOverloaded, []string{"u1"}, true},
		{magnolialedge.KindLeaving, nil, true},
		{magnolialedge.KindForbidden, nil, true},
	} {
		x := &exchange{pickReq: pick.Request{Tried: c.tried}}
		require.Equal(t, c.want, x.isDeclinedForOthers(c.reason), "%+v", c)
	}
}

// Guards against a request that no other entry accepts because of the attempts before it, and
// against more attempts at both entries together than the route allows.
func TestHandoversAreAcceptedWhateverTheAttemptsBefore(t *testing.T) {
	for _, kind := range []magnolialedge.RouteKind{magnolialedge.RouteSafe, magnolialedge.RouteNonIdempotent, magnolialedge.RouteUpload} {
		for _, maxAttempts := range []int{0, 1, 2, 3} {
			for sent := range max(1, maxAttempts) {
				x := &exchange{sentAttempts: sent, pickReq: pick.Request{Idempotent: kind.IsIdempotent()}}
				x.match.MaxAttempts = maxAttempts
				h := handover{From: "e1", Service: "s", Kind: kind}
				h.MaxAttempts, h.Attempts = x.handedAttempts()
				require.NoError(t, h.check(), "%s: %d of %d", kind, sent, maxAttempts)
				require.Equal(t, max(1, maxAttempts)-sent, h.MaxAttempts-h.Attempts, "%s: %d of %d", kind, sent, maxAttempts)
			}
		}
	}
}

func FuzzParseHandover(f *testing.F) {
	f.Add(`{"from":"e1","route":"r","service":"s","kind":"safe","maxAttempts":2,"tried":["u1"],"ageMs":3}`)
	f.Add(`{"from":"e1","service":"s","kind":"nonIdempotent","attempts":1}`)
	f.Add(`{"from":"e1","service":"s","kind":"upload","ageMs":-1}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, value string) {
		h, err := parseHandover(http.Header{handoverHeader: {value}})
		if err != nil {
			return
		}
		require.NotEmpty(t, h.From)
		require.NotEmpty(t, h.Service)
		require.GreaterOrEqual(t, h.AgeMs, int64(0))
		require.LessOrEqual(t, h.AgeMs, defaultTimeout.Milliseconds())
		require.LessOrEqual(t, len(h.Tried), maxHandoverAttempts)
		require.False(t, h.Attempts > 0 && !h.Kind.IsIdempotent())
	})
}
