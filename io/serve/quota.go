package serve

import (
	"context"

	"magnolialedge"
	"magnolialedge/core/acct"
	"magnolialedge/io/front"
)

// AccountQuotas keeps the limits of the client accounts at all entries together.
type AccountQuotas interface {
	// Admit decides on a request of an account. It may wait for another entry.
	Admit(ctx context.Context, account string) acct.Admission
}

// admitQuota returns the refusal of a request that exceeds the limit of its account, or
// nil. A request that another entry handed over was counted there.
func (x *exchange) admitQuota(ctx context.Context) *front.Response {
	if x.f.cfg.Quotas == nil || x.pickReq.Account == "" || x.handover != nil {
		return nil
	}
	a := x.f.cfg.Quotas.Admit(ctx, x.pickReq.Account)
	switch a.Verdict {
	case acct.Admitted:
		return nil
	case acct.Refused:
		x.refusal = &a
		return x.reject(magnolialedge.KindOverQuota, a.RetryAfter)
	}
	x.refusal = &a
	return x.reject(magnolialedge.KindNotReady, magnolialedge.ErrorResponseFor(magnolialedge.KindNotReady).RetryAfter)
}

// quotaFields returns the log fields with the decision on the account's limit by which the
// request was refused, or none.
func (x *exchange) quotaFields() []any {
	a := x.refusal
	if a == nil {
		return nil
	}
	return []any{
		"account", x.pickReq.Account,
		"accountLimit", a.Limit.Rate,
		"accountOwner", a.Owner,
		"accountShare", a.Standing.Share,
		"accountUse", a.Standing.Rate,
		"grantAgeMs", a.Standing.GrantAgeMs(),
	}
}
