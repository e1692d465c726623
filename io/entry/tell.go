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
	// tellAgain is the time after which a draining upstream is told of again.
	tellAgain = 5 * time.Second
	// tellTimeout bounds the telling of one peer.
	tellTimeout = time.Second
	// tellOverhead is the size in bytes of a message's headers in both
	// directions, the secret included.
	tellOverhead = 420
)

// teller passes news on to peers within the measuring budget.
type teller struct {
	entry *Entry
	mu    sync.Mutex
	told  map[string]drain
}

// drain is what was told of a draining upstream.
type drain struct {
	service string
	at      time.Time
}

func newTeller(e *Entry) *teller {
	return &teller{entry: e, told: map[string]drain{}}
}

func (t *teller) tell(n call.PeerUpdate) {
	if n.DrainingAddress != "" && !t.first(n) {
		return
	}
	m := &peerpb.News{
		Fingerprint: n.Fingerprint,
		Losses:      int32(n.Losses),
		Service:     n.Service,
		Draining:    n.DrainingAddress,
		Region:      t.entry.self.Region,
	}
	t.tellRegion(m)
	t.tellElsewhere(m)
}

// tellRegion tells the other entries of this region.
func (t *teller) tellRegion(m *peerpb.News) {
	for _, in := range t.entry.others() {
		if in.Region == t.entry.self.Region {
			t.spendAndSend(in, m)
		}
	}
}

// tellElsewhere tells one entry of each other region, which tells the rest.
func (t *teller) tellElsewhere(m *peerpb.News) {
	seen := map[string]bool{t.entry.self.Region: true}
	for _, in := range t.entry.others() {
		if !seen[in.Region] {
			seen[in.Region] = true
			t.spendAndSend(in, m)
		}
	}
}

func (t *teller) spendAndSend(in magnolialedge.Instance, m *peerpb.News) {
	cost := core.Cost{Bytes: float64(proto.Size(m) + tellOverhead), Operations: 1}
	if t.entry.fleet.Spend(m.GetService(), in.Region, cost) {
		go t.send(in, m)
	}
}

// heard takes news from a peer, and passes on in this region what came from
// another and wasn't known.
func (t *teller) heard(m *peerpb.News) {
	news := m.GetFingerprint() != 0 && t.entry.quarantine.MergePeerLosses(m.GetFingerprint(), int(m.GetLosses()))
	if m.GetDraining() != "" {
		news = t.first(call.PeerUpdate{Service: m.GetService(), DrainingAddress: m.GetDraining()}) || news
		if s, ok := t.entry.fleet.Service(m.GetService()); ok {
			s.MarkDraining(m.GetDraining())
		}
	}
	if news && m.GetRegion() != t.entry.self.Region {
		t.tellRegion(m)
	}
}

// first reports whether the drain of an upstream is news, and logs it.
func (t *teller) first(n call.PeerUpdate) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	before, known := t.told[n.DrainingAddress]
	if known && now.Sub(before.at) < tellAgain {
		return false
	}
	if !known {
		t.entry.log.Log(event.UpstreamDraining, "service", n.Service, "upstream", n.DrainingAddress)
	}
	t.told[n.DrainingAddress] = drain{service: n.Service, at: now}
	return true
}

// drains returns the drains known of late.
func (t *teller) drains() *peerpb.Drains {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := &peerpb.Drains{}
	for address, d := range t.told {
		if time.Since(d.at) > core.DrainTTL {
			delete(t.told, address)
			continue
		}
		out.Drains = append(out.Drains, &peerpb.News{Service: d.service, Draining: address, Region: t.entry.self.Region})
	}
	return out
}

// mostRecalled is the number of peers that an entry asks for drains when it
// starts, the oldest first, because they have seen the most.
const mostRecalled = 3

// recall learns from peers, before this entry serves, which upstreams drain.
func (t *teller) recall(ctx context.Context) {
	list, err := t.entry.platform.Instances(ctx)
	if err != nil {
		return
	}
	t.entry.fleet.SetInstances(list)
	oldest := t.entry.others()
	slices.SortFunc(oldest, func(a, b magnolialedge.Instance) int { return cmp.Compare(a.StartedAt, b.StartedAt) })
	answered := 0
	for _, in := range oldest {
		if answered == mostRecalled {
			return
		}
		if t.recallFrom(ctx, in) {
			answered++
		}
	}
}

func (t *teller) recallFrom(ctx context.Context, in magnolialedge.Instance) bool {
	ctx, cancel := context.WithTimeout(t.entry.clients.WithSecret(ctx), tellTimeout)
	defer cancel()
	drains, err := t.entry.clients.ClientFor(in.Region, in.PeerAddress).Recall(ctx, &peerpb.Nothing{})
	if err != nil {
		return false
	}
	for _, m := range drains.GetDrains() {
		t.first(call.PeerUpdate{Service: m.GetService(), DrainingAddress: m.GetDraining()})
		t.entry.fleet.MarkDrainingAtStart(m.GetService(), m.GetDraining())
	}
	return true
}

func (t *teller) send(in magnolialedge.Instance, m *peerpb.News) {
	ctx, cancel := context.WithTimeout(t.entry.clients.WithSecret(context.Background()), tellTimeout)
	defer cancel()
	_, _ = t.entry.clients.ClientFor(in.Region, in.PeerAddress).Tell(ctx, m)
}
