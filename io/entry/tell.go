package entry

import (
	"context"
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
	told  map[string]time.Time
}

func newTeller(e *Entry) *teller {
	return &teller{entry: e, told: map[string]time.Time{}}
}

func (t *teller) tell(n call.News) {
	if n.Draining != "" && !t.first(n) {
		return
	}
	m := &peerpb.News{
		Fingerprint: n.Fingerprint,
		Losses:      int32(n.Losses),
		Service:     n.Service,
		Draining:    n.Draining,
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
	news := m.GetFingerprint() != 0 && t.entry.quarantine.Told(m.GetFingerprint(), int(m.GetLosses()))
	if m.GetDraining() != "" {
		news = t.first(call.News{Service: m.GetService(), Draining: m.GetDraining()}) || news
		if s, ok := t.entry.fleet.Service(m.GetService()); ok {
			s.DrainTarget(m.GetDraining())
		}
	}
	if news && m.GetRegion() != t.entry.self.Region {
		t.tellRegion(m)
	}
}

// first reports whether the drain of an upstream is news, and logs it.
func (t *teller) first(n call.News) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.told[n.Draining]) < tellAgain {
		return false
	}
	if t.told[n.Draining].IsZero() {
		t.entry.log.Log(event.UpstreamDraining, "service", n.Service, "upstream", n.Draining)
	}
	t.told[n.Draining] = now
	return true
}

func (t *teller) send(in magnolialedge.Instance, m *peerpb.News) {
	ctx, cancel := context.WithTimeout(t.entry.clients.With(context.Background()), tellTimeout)
	defer cancel()
	_, _ = t.entry.clients.To(in.Region, in.Peers).Tell(ctx, m)
}
