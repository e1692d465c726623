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
	m := &peerpb.News{Fingerprint: n.Fingerprint, Losses: int32(n.Losses), Service: n.Service, Draining: n.Draining}
	cost := core.Cost{Bytes: float64(proto.Size(m) + tellOverhead), Operations: 1}
	for _, in := range t.entry.others() {
		if t.entry.fleet.Spend(n.Service, in.Region, cost) {
			go t.send(in, m)
		}
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
