package serve

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/core/acct"
	"magnolialedge/core/pick"
	"magnolialedge/io/front"
)

// fixedQuota decides the same on each request and counts them.
type fixedQuota struct {
	acct.Admission
	asked int
}

func (q *fixedQuota) Admit(context.Context, string) acct.Admission {
	q.asked++
	return q.Admission
}

// Guards against refusals without the owner's time, and against requests that count again
// at the entry to which they are handed over.
func TestRefusalByQuotaHasTheOwnersRetryAfter(t *testing.T) {
	q := &fixedQuota{Admission: acct.Admission{Verdict: acct.Refused, RetryAfter: 250 * time.Millisecond}}
	x := &exchange{f: NewForwarder(Config{Quotas: q}), req: &front.Request{}, pickReq: pick.Request{Account: "shop"}}
	resp := x.admitQuota(t.Context())
	require.Equal(t, http.StatusTooManyRequests, resp.Status)
	require.Equal(t, "0.250", resp.Header.Get("Retry-After"))
	q.Verdict = acct.Unavailable
	resp = x.admitQuota(t.Context())
	require.Equal(t, http.StatusServiceUnavailable, resp.Status)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	q.Verdict = acct.Admitted
	require.Nil(t, x.admitQuota(t.Context()))
	x.handover = &handover{}
	require.Nil(t, x.admitQuota(t.Context()))
	require.Equal(t, 3, q.asked)
}
