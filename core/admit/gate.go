package admit

import "time"

const (
	// minShortage is the time for which requests must wait without interruption before
	// any is refused. Short bursts are absorbed by the queue.
	minShortage = 200 * time.Millisecond
	// levelHold is the time after the last refusal at which the level ends.
	levelHold = 500 * time.Millisecond
)

// Gate refuses requests of one service at once if more urgent ones are expected to take
// all capacity for as long as they could wait. It never refuses requests of the most
// urgent rank, nor any request while none waits. The zero value is ready for use.
//
// The capacity is what this entry sent to upstreams while requests waited. The load
// readings do not give it, since the upstreams also serve other entries.
type Gate struct {
	Ranks
	starts rate
	// shortSince is the time since which requests wait, or zero. startsWhileShort is the
	// number of requests sent since then.
	shortSince       time.Time
	startsWhileShort int
	level            Level
	refusedAt        time.Time
}

// Level describes what a Gate refuses.
type Level struct {
	// IsRefusing is set while requests are refused. Rank is the most urgent one that is.
	IsRefusing bool `json:"isRefusing"`
	Rank       Rank `json:"rank"`
	// Capacity is the number of requests that can be sent a second, and MoreUrgent that
	// of the arriving requests that are more urgent than Rank.
	Capacity   float64 `json:"capacityPerS"`
	MoreUrgent float64 `json:"moreUrgentPerS"`
}

// Request describes a request for which no upstream has a free slot.
type Request struct {
	Rank Rank
	// Ahead is the number of waiting requests that are served first.
	Ahead int
	// MaxWait is the time that the request may wait.
	MaxWait time.Duration
}

// RecordStart counts a request that is sent to an upstream.
func (g *Gate) RecordStart(now time.Time) {
	g.starts = g.starts.with(now)
	g.startsWhileShort++
}

// RecordWaiting records the number of waiting requests.
func (g *Gate) RecordWaiting(now time.Time, n int) {
	switch {
	case n == 0:
		g.shortSince = time.Time{}
	case g.shortSince.IsZero():
		g.shortSince = now
		g.startsWhileShort = 0
	}
}

// MayRefuse reports whether a request of a rank could be refused at all.
func (g *Gate) MayRefuse(now time.Time, rank Rank) bool {
	return !g.shortSince.IsZero() && now.Sub(g.shortSince) >= minShortage && !g.IsMostUrgent(now, rank)
}

// Admits reports whether a request may wait.
func (g *Gate) Admits(now time.Time, r Request) bool {
	if !g.MayRefuse(now, r.Rank) {
		return true
	}
	capacity, moreUrgent := g.capacity(now), g.MoreUrgentRate(now, r.Rank)
	left := capacity - moreUrgent
	if left > 0 && float64(r.Ahead+1)/left <= r.MaxWait.Seconds() {
		return true
	}
	g.refusedAt = now
	if !g.level.IsRefusing || r.Rank.Compare(g.level.Rank) < 0 {
		g.level = Level{IsRefusing: true, Rank: r.Rank, Capacity: capacity, MoreUrgent: moreUrgent}
	}
	return false
}

// capacity returns the requests a second that this entry can send. While requests wait,
// it is at least the rate at which requests were sent since the first of them began to wait,
// because the moving average rises with a delay.
func (g *Gate) capacity(now time.Time) float64 {
	average := g.starts.at(now)
	short := now.Sub(g.shortSince)
	if g.shortSince.IsZero() || short < minShortage {
		return average
	}
	return max(average, float64(g.startsWhileShort)/short.Seconds())
}

// Level returns what the gate refuses.
func (g *Gate) Level(now time.Time) Level {
	if g.level.IsRefusing && now.Sub(g.refusedAt) >= levelHold {
		g.level = Level{}
	}
	return g.level
}

// ReturnRate returns the requests a second of a rank for which there is expected to be
// capacity when they come back.
func (g *Gate) ReturnRate(now time.Time, rank Rank) float64 {
	capacity := g.capacity(now)
	return max(capacity-g.MoreUrgentRate(now, rank), minLeftShare*capacity)
}
