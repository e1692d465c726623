package node

import (
	"slices"

	"magnolialedge"
	"magnolialedge/io/event"
)

// mostToldChanges is the number of changes that come together up to which those
// of upstreams are logged one by one.
const maxLoggedChanges = 100

// news is a change of the store and what it means.
type update struct {
	magnolialedge.DiscoveryUpdate
	revision int64
}

// take brings changes of the store to those whom they concern.
func (n *Node) applyChanges(changes []magnolialedge.Item) {
	known := n.members.size()
	tell := len(changes) <= maxLoggedChanges
	if !tell {
		n.log.Log(event.ManyChanges, "items", len(changes))
	}
	for _, x := range sortRoutingLast(n.decodeUpdates(changes)) {
		n.applyUpdate(x, tell)
	}
	if now := n.members.size(); now != known {
		n.forwarder.SetEntryCount(now)
	}
}

// decode returns what the changes mean that don't concern entries.
func (n *Node) decodeUpdates(changes []magnolialedge.Item) []update {
	var out []update
	for _, c := range changes {
		if n.members.applyItem(c) {
			continue
		}
		fact, err := n.cfg.Decoder.Decode(c)
		if err != nil {
			n.log.Log(event.ItemUnusable, "key", c.Key, "revision", c.Revision, "err", err)
		}
		out = append(out, update{DiscoveryUpdate: fact, revision: c.Revision})
	}
	return out
}

// routingLast puts routes behind upstreams, since an entry that has routes is
// ready and refuses what it knows no upstream for.
func sortRoutingLast(all []update) []update {
	out := slices.Clone(all)
	slices.SortStableFunc(out, func(a, b update) int {
		switch {
		case a.Routing == nil && b.Routing != nil:
			return -1
		case a.Routing != nil && b.Routing == nil:
			return 1
		}
		return 0
	})
	return out
}

func (n *Node) applyUpdate(x update, tell bool) {
	if x.Routing != nil && n.forwarder.SetRouting(*x.Routing) {
		n.log.Log(event.RoutingInForce, "version", x.Routing.Version, "revision", x.revision, "routes", len(x.Routing.Routes))
	}
	if u := x.Upstream; u != nil {
		n.forwarder.Register(*u)
		if tell {
			n.log.Log(event.UpstreamRegistered, "upstream", u.ID, "service", u.Service, "address", u.Address, "draining", u.Draining, "revision", x.revision)
		}
	}
	if x.RemovedUpstreamID != "" {
		n.forwarder.Remove(x.RemovedUpstreamID)
		if tell {
			n.log.Log(event.UpstreamRemoved, "upstream", x.RemovedUpstreamID, "revision", x.revision)
		}
	}
}
