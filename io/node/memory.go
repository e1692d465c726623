package node

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"magnolialedge/io/event"
	"magnolialedge/io/limit"
	"magnolialedge/io/pause"
)

const (
	// heldMemoryRatio is the fraction of memory that may be held on behalf of requests, for
	// all holders together. The rest is for garbage, connections, items and logs.
	heldMemoryRatio = 0.35
	// bodyMemoryRatio is the fraction of memory that request bodies may use.
	// While a body is being read, up to twice its size is in use.
	bodyMemoryRatio = 0.2
	// handedMemoryRatio is the fraction that the bodies of requests that other entries
	// hand over may use.
	handedMemoryRatio = 0.1
	// responseMemoryRatio is the fraction that the beginnings of long responses may use.
	responseMemoryRatio = 0.1
	// shortageReportInterval is the time between two checks for reservations that failed.
	shortageReportInterval = time.Second
)

// memory holds the limits on what the entry holds in memory on behalf of requests.
type memory struct {
	bodies    *limit.Holder
	handed    *limit.Holder
	responses *limit.Holder
}

// newMemory returns the limits of an entry with the given memory; 0 means none.
func newMemory(megabytes int) memory {
	share := func(ratio float64) int64 { return int64(float64(megabytes) * (1 << 20) * ratio) }
	budget := limit.NewBudget(share(heldMemoryRatio))
	return memory{
		bodies:    limit.NewHolder(limit.HolderConfig{Name: "requestBodies", Budget: budget, MaxBytes: share(bodyMemoryRatio)}),
		handed:    limit.NewHolder(limit.HolderConfig{Name: "handedBodies", Budget: budget, MaxBytes: share(handedMemoryRatio)}),
		responses: limit.NewHolder(limit.HolderConfig{Name: "responses", Budget: budget, MaxBytes: share(responseMemoryRatio)}),
	}
}

func (m memory) holders() []*limit.Holder {
	return []*limit.Holder{m.bodies, m.handed, m.responses}
}

// heldBytes returns the bytes that are held, by holder.
func (m memory) heldBytes() map[string]int64 {
	out := map[string]int64{}
	for _, h := range m.holders() {
		out[h.Name()] = h.HeldBytes()
	}
	return out
}

// registerGauges registers a gauge of the held bytes for each holder.
func (m memory) registerGauges(r *prometheus.Registry) {
	for _, h := range m.holders() {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "magnolialedge", Name: "held_bytes", Help: "Bytes that are held on behalf of requests.",
			ConstLabels: prometheus.Labels{"holder": h.Name()},
		}, func() float64 { return float64(h.HeldBytes()) }))
	}
}

// reportShortages logs the holders whose reservations failed since the last check.
func (n *Node) reportShortages(ctx context.Context) {
	seen := map[string]int64{}
	for ctx.Err() == nil {
		pause.Sleep(ctx, shortageReportInterval)
		for _, h := range n.memory.holders() {
			if refusals := h.Refusals(); refusals > seen[h.Name()] {
				n.log.Log(event.MemoryShort, "holder", h.Name(), "refusals", refusals-seen[h.Name()], "heldBytes", h.HeldBytes())
				seen[h.Name()] = refusals
			}
		}
	}
}
