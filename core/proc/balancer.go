package proc

import (
	"math/rand/v2"
	"slices"
	"time"

	"magnolialedge"
)

const (
	// limitFactor is the number of requests in flight per slot that one entry
	// allows itself at an upstream.
	limitFactor = 1
	// failurePenalty is the multiple of the mean latency that a failed attempt
	// counts as, so that fast errors attract no work.
	failurePenalty = 10
	// spreadWeight makes an upstream with fewer requests in flight better even
	// while it has free slots.
	spreadWeight = 0.1
	// bytesPerMB converts the document's price of cross-region bytes.
	bytesPerMB = 1 << 20
	// priceFreeBytes is the size assumed of a request whose size isn't known.
	priceFreeBytes = 4 << 10
)

// BalancerConfig constructs a Balancer.
type BalancerConfig struct {
	Document magnolialedge.Document
	Service  magnolialedge.Service
	Region   string
	// Share is the number of entries that the service's traffic in the region
	// is steered to.
	Share int
	Seed  uint64
	Now   time.Time
}

// Balancer picks the upstream with the shortest estimated completion time.
type Balancer struct {
	ups     []upstream
	share   int
	priceNs float64
	mean    float64
	rand    *rand.Rand
}

// NewBalancer returns a Balancer over the targets of cfg.Service.
func NewBalancer(cfg BalancerConfig) *Balancer {
	b := &Balancer{
		share:   max(1, cfg.Share),
		priceNs: cfg.Document.CrossRegionMsPerMB * float64(time.Millisecond) / bytesPerMB,
		mean:    float64(initialLatency),
		rand:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
	}
	for _, t := range cfg.Service.Targets {
		b.ups = append(b.ups, newUpstream(cfg, t))
	}
	return b
}

func newUpstream(cfg BalancerConfig, t magnolialedge.Target) upstream {
	u := upstream{target: t, addedAt: cfg.Now}
	u.remote = cfg.Document.RegionOf(t.Zone) != cfg.Region
	if u.remote {
		u.trip = initialCrossRegionTrip
	}
	return u
}

// Inherit takes over what old has learned of the targets that both have, so
// that a change of configuration doesn't make them new. Targets that old had
// from its own start don't warm up again.
func (b *Balancer) Inherit(old *Balancer) {
	b.mean = old.mean
	for i := range b.ups {
		known := old.find(b.ups[i].target.Address)
		if known == nil {
			continue
		}
		target := b.ups[i].target
		remote := b.ups[i].remote
		b.ups[i] = *known
		b.ups[i].target = target
		b.ups[i].remote = remote
	}
}

// SkipWarmUp treats every target as warm. It serves the first configuration of
// an entry, whose upstreams have been running before.
func (b *Balancer) SkipWarmUp() {
	for i := range b.ups {
		b.ups[i].addedAt = time.Time{}
	}
}

// SetShare sets the number of entries that share the service in the region.
func (b *Balancer) SetShare(share int) {
	b.share = max(1, share)
}

// Pick implements magnolialedge.Picker.
func (b *Balancer) Pick(now time.Time, req magnolialedge.PickRequest) (magnolialedge.Pick, bool) {
	best := -1
	bestCost := 0.0
	ties := 0
	for i := range b.ups {
		if !b.allowed(now, i, req) {
			continue
		}
		cost := b.cost(now, &b.ups[i], req.BodyBytes)
		switch {
		case best < 0 || cost < bestCost:
			best, bestCost, ties = i, cost, 1
		case cost == bestCost:
			ties++
			if b.rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return magnolialedge.Pick{}, false
	}
	b.ups[best].inFlight++
	return magnolialedge.Pick{Address: b.ups[best].target.Address}, true
}

func (b *Balancer) allowed(now time.Time, i int, req magnolialedge.PickRequest) bool {
	u := &b.ups[i]
	if u.draining(now) || slices.Contains(req.Exclude, u.target.Address) {
		return false
	}
	switch u.health.At(now) {
	case Ejected:
		return false
	case Probation:
		return req.AllowProbation && u.inFlight == 0
	}
	if req.IdleOnly && u.inFlight >= u.target.Slots {
		return false
	}
	return u.inFlight < u.limit(now, limitFactor)
}

// cost returns the estimated completion time in nanoseconds.
func (b *Balancer) cost(now time.Time, u *upstream, bodyBytes int64) float64 {
	latency := u.latencyAt(now, b.mean)
	load := float64(u.inFlight) + u.hidden(now, b.share)
	slots := float64(max(1, u.target.Slots))
	wait := latency * max(0, load+1-slots) / slots
	cost := float64(u.trip) + latency*(1+spreadWeight*load/slots) + wait
	if u.remote {
		cost += b.priceNs * float64(max(bodyBytes, priceFreeBytes))
	}
	return cost
}

// Done implements magnolialedge.Picker.
func (b *Balancer) Done(now time.Time, a magnolialedge.AttemptResult) {
	u := b.find(a.Address)
	if u == nil {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	switch {
	case a.Cancelled:
		b.cancelled(now, u, a.Duration)
	case a.Shed:
		u.sample(now, u.trip+time.Duration(2*b.mean), b.mean)
	case a.Failed:
		u.sample(now, max(a.Duration, time.Duration(failurePenalty*b.mean)), b.mean)
		u.health.Fail(now, b.mayEject(now))
	default:
		u.sample(now, a.Duration, b.mean)
		b.mean += (u.latency - b.mean) * latencyGain / float64(len(b.ups))
		if u.health.OK() {
			u.addedAt = now
		}
	}
}

// cancelled learns from an attempt that was ended early: the upstream needs at
// least that long.
func (b *Balancer) cancelled(now time.Time, u *upstream, took time.Duration) {
	if float64(took-u.trip) > u.latencyAt(now, b.mean) {
		u.sample(now, took, b.mean)
	}
}

// mayEject caps ejections at half of the targets that aren't draining.
func (b *Balancer) mayEject(now time.Time) bool {
	out, all := 0, 0
	for i := range b.ups {
		if b.ups[i].draining(now) {
			continue
		}
		all++
		if b.ups[i].health.At(now) != Healthy {
			out++
		}
	}
	return 2*(out+1) <= all
}

// Report implements magnolialedge.Picker.
func (b *Balancer) Report(now time.Time, address string, load magnolialedge.LoadReport) {
	u := b.find(address)
	if u == nil {
		return
	}
	u.reportAt = now
	u.reportLoad = load.InFlight + load.Queued
	if load.Draining {
		u.drainUntil = now.Add(DrainHold)
	}
}

// Trip takes the round trip that a new connection to a target showed.
func (b *Balancer) Trip(address string, trip time.Duration) {
	if u := b.find(address); u != nil {
		u.trip = trip
	}
}

// find returns the target at address, or nil when the document has it no more.
func (b *Balancer) find(address string) *upstream {
	for i := range b.ups {
		if b.ups[i].target.Address == address {
			return &b.ups[i]
		}
	}
	return nil
}

// Capacity returns the slots of the targets that may take req now or when they
// have room.
func (b *Balancer) Capacity(now time.Time, req magnolialedge.PickRequest) int {
	n := 0
	for i := range b.ups {
		u := &b.ups[i]
		fit := !u.draining(now) && u.health.At(now) == Healthy
		if fit && !slices.Contains(req.Exclude, u.target.Address) {
			n += u.target.Slots
		}
	}
	return n
}

// Mean returns the mean time of service over the targets.
func (b *Balancer) Mean() time.Duration {
	return time.Duration(b.mean)
}

// UpstreamState is one target as a dump shows it.
type UpstreamState struct {
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	InFlight  int     `json:"inFlight"`
	LatencyMs float64 `json:"latencyMs"`
	TripMs    float64 `json:"tripMs"`
	State     string  `json:"state"`
}

// State returns every target as a dump shows it.
func (b *Balancer) State(now time.Time) []UpstreamState {
	out := make([]UpstreamState, 0, len(b.ups))
	for i := range b.ups {
		u := &b.ups[i]
		out = append(out, UpstreamState{
			Address:   u.target.Address,
			Zone:      u.target.Zone,
			InFlight:  u.inFlight,
			LatencyMs: u.latencyAt(now, b.mean) / float64(time.Millisecond),
			TripMs:    float64(u.trip) / float64(time.Millisecond),
			State:     u.stateName(now),
		})
	}
	return out
}

func (u *upstream) stateName(now time.Time) string {
	if u.draining(now) {
		return "draining"
	}
	switch u.health.At(now) {
	case Ejected:
		return "ejected"
	case Probation:
		return "probation"
	}
	return "active"
}
