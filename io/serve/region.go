package serve

import (
	"time"

	"magnolialedge"
	"magnolialedge/core/pick"
)

// regionProtocol is the first version of the messages between entries that has allowed
// regions.
const regionProtocol = 1

// SetEvacuated begins or ends the evacuation of an availability zone, and reports whether this
// is a change. Requests in flight at the upstreams of the zone are completed; waiting requests
// are examined again.
func (f *Forwarder) SetEvacuated(zone string, active bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.fleet.SetEvacuated(zone, active) {
		return false
	}
	if active {
		f.reach.ForgetZone(zone)
	}
	f.resizeProbeBudget()
	now := time.Now()
	for _, q := range f.queues {
		q.WakeUnservable(now, f.fleet)
		q.Dispatch(now, f.fleet)
	}
	return true
}

// isEvacuated reports whether an availability zone is evacuated.
func (f *Forwarder) isEvacuated(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet.IsEvacuated(zone)
}

// wakeForRouting wakes all waiting requests if routes restrict regions or there are client
// accounts, since another version may refuse them. The caller holds f.mu.
func (f *Forwarder) wakeForRouting(previous, current magnolialedge.RoutingConfig) {
	if !hasRestrictions(previous) && !hasRestrictions(current) {
		return
	}
	for _, q := range f.queues {
		q.WakeAll()
	}
}

func hasRestrictions(c magnolialedge.RoutingConfig) bool {
	if len(c.Accounts) > 0 {
		return true
	}
	for _, r := range c.Routes {
		if len(r.AllowedRegions) > 0 {
			return true
		}
	}
	return false
}

// allowedRegions returns the allowed regions of a request of a route: those that both the route
// and the client account permit. The caller holds f.mu.
func (x *exchange) allowedRegions(r magnolialedge.Route) []string {
	return magnolialedge.CommonRegions(r.AllowedRegions, x.accountRegions())
}

// accountRegions returns the allowed regions of the client account in the version of the
// routes in force. The caller holds f.mu.
func (x *exchange) accountRegions() []string {
	if x.identity.account == nil || x.f.accounts == nil {
		return nil
	}
	if current := x.f.accounts.Account(x.identity.account.Name); current != nil {
		return current.AllowedRegions
	}
	return x.identity.account.AllowedRegions
}

// hasNoAllowedRegion reports whether the restrictions of a request exclude all regions.
func hasNoAllowedRegion(req pick.Request) bool {
	return req.Regions != nil && len(req.Regions) == 0
}

// refresh checks the request again if a newer version of the routes than that by which it was
// checked last is in force. It returns the kind of the error if the request may not be served
// by that version, or "".
func (x *exchange) refresh() magnolialedge.ErrorKind {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.pickReq, x.version = x.refreshed()
	if hasNoAllowedRegion(x.pickReq) {
		return magnolialedge.KindNoAllowedRegion
	}
	return ""
}

// refreshed returns the request as the version of the routes in force restricts it, and the
// version. A request without a route in that version keeps its restrictions. The caller holds
// f.mu.
func (x *exchange) refreshed() (pick.Request, int64) {
	req := x.pickReq
	if x.f.routes == nil || x.f.routes.Config().Version <= x.version {
		return req, x.version
	}
	if r, ok := x.f.routes.Route(x.req.Host, x.req.Path); ok {
		req.Regions = x.allowedRegions(r)
		if x.handover != nil {
			req.Regions = narrowed(x.handover.AllowedRegions, req.Regions)
		}
	}
	return req, x.f.routes.Config().Version
}

// narrowed returns the regions that a handed request may use if the entry that received it
// allows handed, and this entry own. Either is nil if there is no restriction.
func narrowed(handed, own []string) []string {
	if hasNoAllowedRegion(pick.Request{Regions: own}) {
		return own
	}
	return magnolialedge.CommonRegions(handed, own)
}

// isStillPermitted reports whether the request may be sent to an upstream that was picked for
// it. A zone may have been evacuated, or the routes changed, while a connection was opened.
func (x *exchange) isStillPermitted(p *placement) bool {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	req, _ := x.refreshed()
	return x.f.fleet.Permits(p.Registration, req)
}

// mayBeHandedTo returns the condition for the entries to which a request with the given
// restrictions may be handed.
func mayBeHandedTo(regions []string) func(magnolialedge.Instance) bool {
	return func(in magnolialedge.Instance) bool {
		return regions == nil || (in.Protocol >= regionProtocol && magnolialedge.PermitsRegion(regions, in.Region))
	}
}
