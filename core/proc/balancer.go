package proc

import (
	"math/rand/v2"
	"slices"
	"time"

	"magnolialedge"
)

const (
	// inFlightPerSlot is the number of requests in flight per slot that one entry
	// allows itself at an upstream.
	inFlightPerSlot = 1
	// failureLatencyFactor is the multiple of the mean latency that a failed attempt
	// counts as, so that fast errors attract no work.
	failureLatencyFactor = 10
	// loadPenaltyWeight makes an upstream with fewer requests in flight better even
	// while it has free slots.
	loadPenaltyWeight = 0.1
	// bytesPerMB converts the document's price of cross-region bytes.
	bytesPerMB = 1 << 20
	// assumedBodyBytes is the size assumed of a request whose size isn't known.
	assumedBodyBytes = 4 << 10
)

// BalancerConfig constructs a Balancer.
type BalancerConfig struct {
	Document magnolialedge.Document
	Service  magnolialedge.Service
	Region   string
	// EntryCount is the number of entries that the service's traffic in the region
	// is steered to.
	EntryCount int
	Seed       uint64
	Now        time.Time
}

// Balancer picks the upstream with the shortest estimated completion time.
type Balancer struct {
	upstreams            []upstream
	entryCount           int
	crossRegionNsPerByte float64
	meanLatencyNs        float64
	rand                 *rand.Rand
}

// NewBalancer returns a Balancer over the targets of cfg.Service.
func NewBalancer(cfg BalancerConfig) *Balancer {
	b := &Balancer{
		entryCount:           max(1, cfg.EntryCount),
		crossRegionNsPerByte: cfg.Document.CrossRegionMsPerMB * float64(time.Millisecond) / bytesPerMB,
		meanLatencyNs:        float64(initialLatency),
		rand:                 rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
	}
	for _, t := range cfg.Service.Targets {
		b.upstreams = append(b.upstreams, newUpstream(cfg, t))
	}
	return b
}

func newUpstream(cfg BalancerConfig, t magnolialedge.Target) upstream {
	u := upstream{target: t, addedAt: cfg.Now}
	u.isRemote = cfg.Document.RegionOf(t.Zone) != cfg.Region
	if u.isRemote {
		u.roundTrip = initialCrossRegionRoundTrip
	}
	return u
}

// CopyStateFrom takes over what old has learned of the targets that both have, so
// that a change of configuration doesn't make them new. Targets that old had
// from its own start don't warm up again.
func (b *Balancer) CopyStateFrom(old *Balancer) {
	b.meanLatencyNs = old.meanLatencyNs
	for i := range b.upstreams {
		known := old.find(b.upstreams[i].target.Address)
		if known == nil {
			continue
		}
		target := b.upstreams[i].target
		remote := b.upstreams[i].isRemote
		b.upstreams[i] = *known
		b.upstreams[i].target = target
		b.upstreams[i].isRemote = remote
	}
}

// SkipWarmUp treats every target as warm. It serves the first configuration of
// an entry, whose upstreams have been running before.
func (b *Balancer) SkipWarmUp() {
	for i := range b.upstreams {
		b.upstreams[i].addedAt = time.Time{}
	}
}

// SetEntryCount sets the number of entries that share the service in the region.
func (b *Balancer) SetEntryCount(share int) {
	b.entryCount = max(1, share)
}

// Pick implements magnolialedge.Picker.
func (b *Balancer) Pick(now time.Time, req magnolialedge.PickRequest) (magnolialedge.Pick, bool) {
	best := -1
	bestCost := 0.0
	ties := 0
	for i := range b.upstreams {
		if !b.isEligible(now, i, req) {
			continue
		}
		cost := b.estimateNs(now, &b.upstreams[i], req.BodyBytes)
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
	b.upstreams[best].inFlight++
	return magnolialedge.Pick{Address: b.upstreams[best].target.Address}, true
}

func (b *Balancer) isEligible(now time.Time, i int, req magnolialedge.PickRequest) bool {
	u := &b.upstreams[i]
	if u.isDraining(now) || slices.Contains(req.Exclude, u.target.Address) {
		return false
	}
	switch u.health.StateAt(now) {
	case Ejected:
		return false
	case Probation:
		return req.AllowProbation && u.inFlight == 0
	}
	if req.IdleOnly && u.inFlight >= u.target.Slots {
		return false
	}
	return u.inFlight < u.concurrencyLimit(now, inFlightPerSlot)
}

// estimateNs returns the estimated completion time in nanoseconds.
func (b *Balancer) estimateNs(now time.Time, u *upstream, bodyBytes int64) float64 {
	latency := u.latencyAt(now, b.meanLatencyNs)
	load := float64(u.inFlight) + u.estimateOtherInFlight(now, b.entryCount)
	slots := float64(max(1, u.target.Slots))
	wait := latency * max(0, load+1-slots) / slots
	cost := float64(u.roundTrip) + latency*(1+loadPenaltyWeight*load/slots) + wait
	if u.isRemote {
		cost += b.crossRegionNsPerByte * float64(max(bodyBytes, assumedBodyBytes))
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
		b.recordCancelled(now, u, a.Duration)
	case a.Shed:
		u.recordLatency(now, u.roundTrip+time.Duration(2*b.meanLatencyNs), b.meanLatencyNs)
	case a.Failed:
		u.recordLatency(now, max(a.Duration, time.Duration(failureLatencyFactor*b.meanLatencyNs)), b.meanLatencyNs)
		u.health.RecordFailure(now, b.canEject(now))
	default:
		u.recordLatency(now, a.Duration, b.meanLatencyNs)
		b.meanLatencyNs += (u.latencyNs - b.meanLatencyNs) * latencyGain / float64(len(b.upstreams))
		if u.health.RecordSuccess() {
			u.addedAt = now
		}
	}
}

// recordCancelled learns from an attempt that was ended early: the upstream needs at
// least that long.
func (b *Balancer) recordCancelled(now time.Time, u *upstream, took time.Duration) {
	if float64(took-u.roundTrip) > u.latencyAt(now, b.meanLatencyNs) {
		u.recordLatency(now, took, b.meanLatencyNs)
	}
}

// canEject caps ejections at half of the targets that aren't draining.
func (b *Balancer) canEject(now time.Time) bool {
	out, all := 0, 0
	for i := range b.upstreams {
		if b.upstreams[i].isDraining(now) {
			continue
		}
		all++
		if b.upstreams[i].health.StateAt(now) != Healthy {
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
	u.reportedAt = now
	u.reportedLoad = load.InFlight + load.Queued
	if load.Draining {
		u.drainingUntil = now.Add(DrainTTL)
	}
}

// RecordRoundTrip takes the round trip that a new connection to a target showed.
func (b *Balancer) RecordRoundTrip(address string, trip time.Duration) {
	if u := b.find(address); u != nil {
		u.roundTrip = trip
	}
}

// find returns the target at address, or nil when the document has it no more.
func (b *Balancer) find(address string) *upstream {
	for i := range b.upstreams {
		if b.upstreams[i].target.Address == address {
			return &b.upstreams[i]
		}
	}
	return nil
}

// Capacity returns the slots of the targets that may take req now or when they
// have room.
func (b *Balancer) Capacity(now time.Time, req magnolialedge.PickRequest) int {
	n := 0
	for i := range b.upstreams {
		u := &b.upstreams[i]
		fit := !u.isDraining(now) && u.health.StateAt(now) == Healthy
		if fit && !slices.Contains(req.Exclude, u.target.Address) {
			n += u.target.Slots
		}
	}
	return n
}

// MeanLatency returns the mean time of service over the targets.
func (b *Balancer) MeanLatency() time.Duration {
	return time.Duration(b.meanLatencyNs)
}

// UpstreamState is one target as a dump shows it.
type UpstreamState struct {
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	InFlight    int     `json:"inFlight"`
	LatencyMs   float64 `json:"latencyMs"`
	RoundTripMs float64 `json:"tripMs"`
	State       string  `json:"state"`
}

// State returns every target as a dump shows it.
func (b *Balancer) State(now time.Time) []UpstreamState {
	out := make([]UpstreamState, 0, len(b.upstreams))
	for i := range b.upstreams {
		u := &b.upstreams[i]
		out = append(out, UpstreamState{
			Address:     u.target.Address,
			Zone:        u.target.Zone,
			InFlight:    u.inFlight,
			LatencyMs:   u.latencyAt(now, b.meanLatencyNs) / float64(time.Millisecond),
			RoundTripMs: float64(u.roundTrip) / float64(time.Millisecond),
			State:       u.stateName(now),
		})
	}
	return out
}

func (u *upstream) stateName(now time.Time) string {
	if u.isDraining(now) {
		return "draining"
	}
	switch u.health.StateAt(now) {
	case Ejected:
		return "ejected"
	case Probation:
		return "probation"
	}
	return "active"
}
