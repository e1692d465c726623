package serve

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/stop"
	"magnolialedge/io/front"
)

// errLeaving means that the request was not sent because it may last longer than this entry.
var errLeaving = errors.New("this entry is stopping")

// BeginStop makes the forwarder begin no more work than s permits. Requests that it does not permit
// are refused, those that wait in a queue when the open period ends.
func (f *Forwarder) BeginStop(s stop.Schedule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = s
	time.AfterFunc(time.Until(s.OpenUntil()), f.wakeUnpermitted)
}

// wakeUnpermitted wakes the waiting requests that may no longer be sent.
func (f *Forwarder) wakeUnpermitted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, q := range f.queues {
		q.WakeUnpermitted(now, f.stopping)
	}
}

// maySend reports whether the request may be sent to an upstream or to another entry now, as
// far as a stop of this entry permits it.
func (x *exchange) maySend() bool {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	return x.maySendLocked(time.Now())
}

// maySendLocked is maySend; the caller holds f.mu.
func (x *exchange) maySendLocked(now time.Time) bool {
	f := x.f
	return f.stopping.Permits(now, stop.Work{Deadline: x.deadline, Expected: time.Duration(f.fleet.ServiceTimeNanos(x.pickReq))})
}

// RejectEarly implements front.Handler. It rejects a request that may not be sent because this
// entry stops, so that its caller does not upload a body in vain. It does not choose a service,
// since the request would count twice in the weights of its route.
func (f *Forwarder) RejectEarly(r *front.Request) *front.Response {
	x := &exchange{f: f, req: r, id: r.Header.Get(f.cfg.Headers.RequestID)}
	if !x.findRoute() {
		return nil
	}
	x.setTimes(r.Arrived)
	if x.maySend() {
		return nil
	}
	resp := x.rejectLeaving(context.Background())
	x.report(resp)
	return resp
}

// findRoute sets the route of a request that arrives while this entry stops, without its service.
// It reports whether there is one.
func (x *exchange) findRoute() bool {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	if !x.f.isStopping() || x.f.routes == nil {
		return false
	}
	x.match.Route, x.hasRoute = x.f.routes.Route(x.req.Host, x.req.Path)
	return x.hasRoute
}

// isStopping reports whether this entry was told to stop. The caller holds f.mu.
func (f *Forwarder) isStopping() bool {
	return !f.stopping.OpenUntil().IsZero()
}

// rejectLeaving returns the response to a request that may not be sent because this entry
// stops.
func (x *exchange) rejectLeaving(ctx context.Context) *front.Response {
	if x.mayHaveRun || x.fallback != nil {
		return x.fail(ctx, magnolialedge.KindUpstreamLost)
	}
	return x.reject(magnolialedge.KindLeaving, magnolialedge.ErrorResponseFor(magnolialedge.KindLeaving).RetryAfter)
}
