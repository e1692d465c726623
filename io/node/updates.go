package node

import (
	"cmp"
	"slices"
	"time"

	"magnolialedge"
	"magnolialedge/core/proc"
	"magnolialedge/core/route"
	"magnolialedge/io/event"
	"magnolialedge/io/mirror"
)

// maxLoggedChanges is the number of changes in one batch up to which changes of
// upstreams are logged one by one.
const maxLoggedChanges = 100

// update is a decoded change of the store.
type update struct {
	magnolialedge.DiscoveryUpdate
	revision int64
}

// applyChanges applies a batch of store changes to the members and the forwarder.
func (n *Node) applyChanges(changes []magnolialedge.Item, d mirror.Delivery) {
	before := n.members.size()
	logUpstreams := len(changes) <= maxLoggedChanges
	if !logUpstreams {
		n.log.Log(event.ManyChanges, "items", len(changes))
	}
	for _, u := range sortRoutingLast(n.decodeUpdates(changes)) {
		n.applyUpdate(u, d, logUpstreams)
	}
	if after := n.members.size(); after != before {
		n.forwarder.SetEntryCount(after)
		n.forwarder.SetTransferCosts(n.transferCosts())
	}
	n.detectCommonStart(time.Now())
}

// commonStartTime is the time after the start of most entries during which requests wait only
// as long as they can meet their latency target. After a short outage, it takes that long
// until the callers that return at once have been served.
const commonStartTime = 10 * time.Second

// detectCommonStart prepares for callers that return at once if most entries have started
// together.
func (n *Node) detectCommonStart(now time.Time) {
	until := n.start.Add(commonStartTime)
	if n.hasCommonStart || now.After(until) || !n.forwarder.IsReady() {
		return
	}
	entries := n.members.list()
	n.hasCommonStart = proc.StartedTogether(n.self(), entries)
	if n.hasCommonStart && n.forwarder.SetStrictUntil(until) {
		n.log.Log(event.StartedTogether, "entries", len(entries), "untilMs", until.Sub(now).Milliseconds())
	}
}

// generation returns the order of an item's value among all values of its key.
func (n *Node) generation(item magnolialedge.Item) magnolialedge.Generation {
	if in, ok := memberOf(item); ok {
		return memberGeneration(in)
	}
	return n.cfg.Decoder.Generation(item)
}

// decodeUpdates applies the changes that concern entries and returns the others
// decoded.
func (n *Node) decodeUpdates(changes []magnolialedge.Item) []update {
	var out []update
	for _, item := range changes {
		if n.members.applyItem(item) {
			continue
		}
		decoded, err := n.cfg.Decoder.Decode(item)
		if err != nil {
			n.log.Log(event.ItemUnusable, "key", item.Key, "revision", item.Revision, "err", err)
		}
		out = append(out, update{DiscoveryUpdate: decoded, revision: item.Revision})
	}
	return out
}

// sortRoutingLast moves routing behind upstreams, because an entry with routing
// is ready and rejects requests for which it has no upstream yet. It moves evacuations
// before upstreams, so that no request is sent to an upstream that registers in an
// evacuated zone.
func sortRoutingLast(updates []update) []update {
	out := slices.Clone(updates)
	slices.SortStableFunc(out, func(a, b update) int { return cmp.Compare(a.rank(), b.rank()) })
	return out
}

// rank orders the updates of a batch.
func (u update) rank() int {
	switch {
	case u.Evacuation != nil:
		return 0
	case u.Routing != nil:
		return 2
	}
	return 1
}

func (n *Node) applyUpdate(u update, d mirror.Delivery, logUpstreams bool) {
	if u.Evacuation != nil {
		n.applyEvacuation(*u.Evacuation, u.revision)
	}
	if u.Routing != nil {
		n.applyRouting(*u.Routing, u.revision, d)
	}
	if upstream := u.Upstream; upstream != nil {
		n.forwarder.Register(*upstream)
		if logUpstreams {
			n.log.Log(event.UpstreamRegistered, "upstream", upstream.ID, "service", upstream.Service, "address", upstream.Address, "draining", upstream.Draining, "revision", u.revision)
		}
	}
	if u.RemovedUpstreamID != "" {
		n.forwarder.Remove(u.RemovedUpstreamID)
		if logUpstreams {
			n.log.Log(event.UpstreamRemoved, "upstream", u.RemovedUpstreamID, "revision", u.revision)
		}
	}
}

// applyRouting puts a version of the routes in force. One that contradicts itself is not
// applied, so that the routes before it stay in force and a corrected one may have the same
// version.
func (n *Node) applyRouting(c magnolialedge.RoutingConfig, revision int64, d mirror.Delivery) {
	if err := route.Check(c); err != nil {
		n.log.Log(event.VersionRejected, "version", c.Version, "revision", revision, "inForce", n.forwarder.Version(), "err", err)
		return
	}
	if !n.forwarder.SetRouting(c) {
		return
	}
	n.quotas.setRouting(c)
	n.credits.setRouting(c)
	n.log.Log(event.RoutingInForce, "version", c.Version, "revision", revision, "routes", len(c.Routes), "source", cmp.Or(d.Source, "store"), "ageMs", d.Age.Milliseconds(), "silentMs", d.Silence.Milliseconds(), "hops", d.Hops)
}
