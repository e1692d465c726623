package proc

import (
	"math/rand/v2"
	"slices"
	"time"

	"magnolialedge"
)

const (
	// inFlightPerSlot is the number of requests per slot that one entry may
	// have in flight at an upstream.
	inFlightPerSlot = 1
	// failureServiceTimeFactor is the multiple of the mean service time
	// that a failed attempt is recorded with, so that an upstream that
	// fails fast does not attract requests.
	failureServiceTimeFactor = 10
	// loadPenaltyWeight is the weight of the load relative to the slots in
	// the cost, so that a less loaded upstream is preferred even among
	// those with free slots.
	loadPenaltyWeight = 0.1
	// bytesPerMB converts the unit of Document.CrossRegionMsPerMB to bytes.
	bytesPerMB = 1 << 20
	// assumedBodyBytes is the minimum body size in the cost of a
	// cross-region request. It is also used when the size is unknown.
	assumedBodyBytes = 4 << 10
)

// BalancerConfig configures a Balancer.
type BalancerConfig struct {
	Document magnolialedge.Document
	Service  magnolialedge.Service
	Region   string
	// EntryCount is the number of entries that share the service's traffic
	// in the region.
	EntryCount int
	Seed       uint64
	Now        time.Time
}

// Balancer picks the upstream with the lowest cost, its estimated completion
// time. It is not safe for concurrent use.
type Balancer struct {
	upstreams            []upstream
	entryCount           int
	crossRegionNsPerByte float64
	meanServiceTimeNs    float64
	rand                 *rand.Rand
}

// NewBalancer returns a Balancer over the targets of cfg.Service.
func NewBalancer(cfg BalancerConfig) *Balancer {
	b := &Balancer{
		entryCount:           max(1, cfg.EntryCount),
		crossRegionNsPerByte: cfg.Document.CrossRegionMsPerMB * float64(time.Millisecond) / bytesPerMB,
		meanServiceTimeNs:    float64(initialServiceTime),
		rand:                 rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
	}
	for _, t := range cfg.Service.Targets {
		b.upstreams = append(b.upstreams, newUpstream(cfg, t))
	}
	return b
}

// newUpstream returns the state of a target that has not been used. Its warm-up
// starts at cfg.Now.
func newUpstream(cfg BalancerConfig, t magnolialedge.Target) upstream {
	u := upstream{target: t, addedAt: cfg.Now}
	u.isRemote = cfg.Document.RegionOf(t.Zone) != cfg.Region
	if u.isRemote {
		u.roundTrip = initialCrossRegionRoundTrip
	}
	return u
}

// CopyStateFrom copies the state of the targets that b and old have in common,
// so that a change of the configuration does not reset it or restart their
// warm-up.
func (b *Balancer) CopyStateFrom(old *Balancer) {
	b.meanServiceTimeNs = old.meanServiceTimeNs
	for i := range b.upstreams {
		previous := old.find(b.upstreams[i].target.Address)
		if previous == nil {
			continue
		}
		target := b.upstreams[i].target
		isRemote := b.upstreams[i].isRemote
		b.upstreams[i] = *previous
		b.upstreams[i].target = target
		b.upstreams[i].isRemote = isRemote
	}
}

// SkipWarmUp ends the warm-up of every target. It is used for the first
// configuration of an entry, because the upstreams were running before it
// started.
func (b *Balancer) SkipWarmUp() {
	for i := range b.upstreams {
		b.upstreams[i].addedAt = time.Time{}
	}
}

// SetEntryCount sets the number of entries that share the service in the
// region.
func (b *Balancer) SetEntryCount(n int) {
	b.entryCount = max(1, n)
}

// Pick implements magnolialedge.Picker. It chooses among equal costs at random.
func (b *Balancer) Pick(now time.Time, req magnolialedge.PickRequest) (magnolialedge.Pick, bool) {
	best := -1
	bestCost := 0.0
	ties := 0
	for i := range b.upstreams {
		if !b.isEligible(now, i, req) {
			continue
		}
		cost := b.estimateCostNs(now, &b.upstreams[i], req.BodyBytes)
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

// isEligible reports whether target i may receive req.
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

// estimateCostNs returns the estimated completion time in nanoseconds,
// including the cost of cross-region traffic.
func (b *Balancer) estimateCostNs(now time.Time, u *upstream, bodyBytes int64) float64 {
	serviceTime := u.serviceTimeAt(now, b.meanServiceTimeNs)
	load := float64(u.inFlight) + u.estimateOtherInFlight(now, b.entryCount)
	slots := float64(max(1, u.target.Slots))
	wait := serviceTime * max(0, load+1-slots) / slots
	cost := float64(u.roundTrip) + serviceTime*(1+loadPenaltyWeight*load/slots) + wait
	if u.isRemote {
		cost += b.crossRegionNsPerByte * float64(max(bodyBytes, assumedBodyBytes))
	}
	return cost
}

// Done implements magnolialedge.Picker. An attempt that the upstream shed is
// recorded with twice the mean service time.
func (b *Balancer) Done(now time.Time, a magnolialedge.AttemptResult) {
	u := b.find(a.Address)
	if u == nil {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	switch {
	case a.Canceled:
		b.recordCanceled(now, u, a.Duration)
	case a.Shed:
		u.recordDuration(now, u.roundTrip+time.Duration(2*b.meanServiceTimeNs), b.meanServiceTimeNs)
	case a.Failed:
		u.recordDuration(now, max(a.Duration, time.Duration(failureServiceTimeFactor*b.meanServiceTimeNs)), b.meanServiceTimeNs)
		u.health.RecordFailure(now, b.canEject(now))
	default:
		u.recordDuration(now, a.Duration, b.meanServiceTimeNs)
		b.meanServiceTimeNs += (u.serviceTimeNs - b.meanServiceTimeNs) * serviceTimeGain / float64(len(b.upstreams))
		if u.health.RecordSuccess() {
			u.addedAt = now
		}
	}
}

// recordCanceled records a canceled attempt if it took longer than the
// estimate: the service time is at least its duration.
func (b *Balancer) recordCanceled(now time.Time, u *upstream, duration time.Duration) {
	if float64(duration-u.roundTrip) > u.serviceTimeAt(now, b.meanServiceTimeNs) {
		u.recordDuration(now, duration, b.meanServiceTimeNs)
	}
}

// canEject reports whether one more upstream may be ejected. At most half of
// the targets that are not draining may be ejected or on probation.
func (b *Balancer) canEject(now time.Time) bool {
	unhealthy, active := 0, 0
	for i := range b.upstreams {
		if b.upstreams[i].isDraining(now) {
			continue
		}
		active++
		if b.upstreams[i].health.StateAt(now) != Healthy {
			unhealthy++
		}
	}
	return 2*(unhealthy+1) <= active
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

// RecordRoundTrip records the round-trip time measured on a new connection to a
// target.
func (b *Balancer) RecordRoundTrip(address string, roundTrip time.Duration) {
	if u := b.find(address); u != nil {
		u.roundTrip = roundTrip
	}
}

// find returns the target at address, or nil if the document no longer has it.
func (b *Balancer) find(address string) *upstream {
	for i := range b.upstreams {
		if b.upstreams[i].target.Address == address {
			return &b.upstreams[i]
		}
	}
	return nil
}

// Capacity returns the total slots of the targets that can receive req, whether
// or not the slots are free.
func (b *Balancer) Capacity(now time.Time, req magnolialedge.PickRequest) int {
	n := 0
	for i := range b.upstreams {
		u := &b.upstreams[i]
		canReceive := !u.isDraining(now) && u.health.StateAt(now) == Healthy
		if canReceive && !slices.Contains(req.Exclude, u.target.Address) {
			n += u.target.Slots
		}
	}
	return n
}

// MeanServiceTime returns the mean service time of all targets.
func (b *Balancer) MeanServiceTime() time.Duration {
	return time.Duration(b.meanServiceTimeNs)
}

// UpstreamState is the state of one target as shown in a dump.
type UpstreamState struct {
	Address       string  `json:"address"`
	Zone          string  `json:"zone"`
	InFlight      int     `json:"inFlight"`
	ServiceTimeMs float64 `json:"latencyMs"`
	RoundTripMs   float64 `json:"tripMs"`
	State         string  `json:"state"`
}

// State returns the state of every target.
func (b *Balancer) State(now time.Time) []UpstreamState {
	out := make([]UpstreamState, 0, len(b.upstreams))
	for i := range b.upstreams {
		u := &b.upstreams[i]
		out = append(out, UpstreamState{
			Address:       u.target.Address,
			Zone:          u.target.Zone,
			InFlight:      u.inFlight,
			ServiceTimeMs: u.serviceTimeAt(now, b.meanServiceTimeNs) / float64(time.Millisecond),
			RoundTripMs:   float64(u.roundTrip) / float64(time.Millisecond),
			State:         u.stateName(now),
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
