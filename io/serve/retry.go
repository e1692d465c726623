package serve

import (
	"time"

	"magnolialedge/core/pick"
	"magnolialedge/core/proc"
)

func (f *Forwarder) retryBudget(service string) *proc.RatioBudget {
	b, ok := f.retryBudgets[service]
	if !ok {
		b = f.cfg.Retries.NewRetryBudget(f.entryCount)
		f.retryBudgets[service] = b
	}
	return b
}

// countRequest counts a request of a caller towards the retry budget of its service.
func (f *Forwarder) countRequest(req pick.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudget(req.Service).Deposit()
	f.gateOf(req.Service).Record(time.Now(), rankOf(req))
}

func (f *Forwarder) withdrawRetry(req pick.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.withdrawRetryLocked(time.Now(), req)
}

// withdrawRetryLocked draws on the retry budget, and reports whether it allows a retry. If requests of several ranks arrive for the
// service, the last third of the budget is for the most urgent ones that can still meet
// their latency target. The caller holds f.mu.
func (f *Forwarder) withdrawRetryLocked(now time.Time, req pick.Request) bool {
	budget, gate := f.retryBudget(req.Service), f.gateOf(req.Service)
	if !f.hasAdmission() || !gate.HasSeveral(now) || (gate.IsMostUrgent(now, rankOf(req)) && f.fleet.CanMeetTarget(now, req)) {
		return budget.Withdraw()
	}
	return budget.WithdrawUnreserved()
}

func (f *Forwarder) refundRetry(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudget(service).Refund()
}
