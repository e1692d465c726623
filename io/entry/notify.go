package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"magnolialedge"
	core "magnolialedge/core/proc"
	"magnolialedge/io/call"
	"magnolialedge/io/event"
	"magnolialedge/io/peer/peerpb"
)

const (
	// drainRepeatInterval is the time after which a drain is reported to peers again.
	drainRepeatInterval = 5 * time.Second
	// notifyTimeout limits a call to one peer.
	notifyTimeout = time.Second
	// messageOverheadBytes is the size of a message's headers in both directions,
	// including the secret.
	messageOverheadBytes = 420
)

// notifier sends updates about requests and upstreams to peers, within the measurement
// budget.
type notifier struct {
	entry  *Entry
	mu     sync.Mutex
	drains map[string]drain
}

// drain is the last report about a draining upstream.
type drain struct {
	service    string
	recordedAt time.Time
}

func newNotifier(e *Entry) *notifier {
	return &notifier{entry: e, drains: map[string]drain{}}
}

// notify sends an update to the peers, unless it is a drain that was reported within
// drainRepeatInterval.
func (n *notifier) notify(u call.PeerUpdate) {
	if u.DrainingAddress != "" && !n.recordDrain(u) {
		return
	}
	m := &peerpb.News{
		Fingerprint: u.Fingerprint,
		Losses:      int32(u.Losses),
		Service:     u.Service,
		Draining:    u.DrainingAddress,
		Region:      n.entry.self.Region,
	}
	n.notifyRegion(m)
	n.notifyOtherRegions(m)
}

// notifyRegion sends an update to the other entries of this region.
func (n *notifier) notifyRegion(m *peerpb.News) {
	for _, in := range n.entry.otherEntries() {
		if in.Region == n.entry.self.Region {
			n.sendWithinBudget(in, m)
		}
	}
}

// notifyOtherRegions sends an update to one entry of each other region, which forwards it
// within its region.
func (n *notifier) notifyOtherRegions(m *peerpb.News) {
	notified := map[string]bool{n.entry.self.Region: true}
	for _, in := range n.entry.otherEntries() {
		if !notified[in.Region] {
			notified[in.Region] = true
			n.sendWithinBudget(in, m)
		}
	}
}

// sendWithinBudget sends an update to a peer, or drops it if the measurement budget is
// exhausted.
func (n *notifier) sendWithinBudget(in magnolialedge.Instance, m *peerpb.News) {
	cost := core.Cost{Bytes: float64(proto.Size(m) + messageOverheadBytes), Operations: 1}
	if n.entry.fleet.Spend(m.GetService(), in.Region, cost) {
		go n.send(in, m)
	}
}

// handleUpdate applies an update from a peer. If the update is new and comes from another
// region, it is forwarded to the entries of this region.
func (n *notifier) handleUpdate(m *peerpb.News) {
	isNew := m.GetFingerprint() != 0 && n.entry.quarantine.RecordPeerLosses(m.GetFingerprint(), int(m.GetLosses()))
	if m.GetDraining() != "" {
		isNew = n.recordDrain(call.PeerUpdate{Service: m.GetService(), DrainingAddress: m.GetDraining()}) || isNew
		if s, ok := n.entry.fleet.Service(m.GetService()); ok {
			s.MarkDraining(m.GetDraining())
		}
	}
	if isNew && m.GetRegion() != n.entry.self.Region {
		n.notifyRegion(m)
	}
}

// recordDrain records that an upstream is draining, and logs it the first time. It returns
// false if the drain was already recorded within drainRepeatInterval.
func (n *notifier) recordDrain(u call.PeerUpdate) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	last, known := n.drains[u.DrainingAddress]
	if known && now.Sub(last.recordedAt) < drainRepeatInterval {
		return false
	}
	if !known {
		n.entry.log.Log(event.UpstreamDraining, "service", u.Service, "upstream", u.DrainingAddress)
	}
	n.drains[u.DrainingAddress] = drain{service: u.Service, recordedAt: now}
	return true
}

// recentDrains returns the drains recorded within core.DrainTTL, and deletes older ones.
func (n *notifier) recentDrains() *peerpb.Drains {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := &peerpb.Drains{}
	for address, d := range n.drains {
		if time.Since(d.recordedAt) > core.DrainTTL {
			delete(n.drains, address)
			continue
		}
		out.Drains = append(out.Drains, &peerpb.News{Service: d.service, Draining: address, Region: n.entry.self.Region})
	}
	return out
}

// maxDrainSources limits the peers that a starting entry fetches drains from. The entry asks
// the oldest peers first, because they have recorded the most drains.
const maxDrainSources = 3

// fetchDrains fetches the draining upstreams from peers. It runs before the entry loads its
// configuration, so that the entry sends no request to an upstream that is draining.
func (n *notifier) fetchDrains(ctx context.Context) {
	list, err := n.entry.platform.Instances(ctx)
	if err != nil {
		return
	}
	n.entry.fleet.SetInstances(list)
	oldest := n.entry.otherEntries()
	slices.SortFunc(oldest, func(a, b magnolialedge.Instance) int { return cmp.Compare(a.StartedAt, b.StartedAt) })
	responded := 0
	for _, in := range oldest {
		if responded == maxDrainSources {
			return
		}
		if n.fetchDrainsFrom(ctx, in) {
			responded++
		}
	}
}

func (n *notifier) fetchDrainsFrom(ctx context.Context, in magnolialedge.Instance) bool {
	ctx, cancel := context.WithTimeout(n.entry.clients.WithSecret(ctx), notifyTimeout)
	defer cancel()
	drains, err := n.entry.clients.ClientFor(in.Region, in.PeerAddress).Recall(ctx, &peerpb.Nothing{})
	if err != nil {
		return false
	}
	for _, m := range drains.GetDrains() {
		n.recordDrain(call.PeerUpdate{Service: m.GetService(), DrainingAddress: m.GetDraining()})
		n.entry.fleet.MarkDrainingAtStart(m.GetService(), m.GetDraining())
	}
	return true
}

func (n *notifier) send(in magnolialedge.Instance, m *peerpb.News) {
	ctx, cancel := context.WithTimeout(n.entry.clients.WithSecret(context.Background()), notifyTimeout)
	defer cancel()
	_, _ = n.entry.clients.ClientFor(in.Region, in.PeerAddress).Tell(ctx, m)
}
