package admit

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// returnSlot is the unit in which returns are planned, and maxReturn the longest time
	// after which a request is told to come back.
	returnSlot = 50 * time.Millisecond
	maxReturn  = 2 * time.Second
	// minLeftShare is the fraction of the capacity that is assumed for returning requests
	// at least. Else, in a shortage that lasts, all would be told the longest time.
	minLeftShare = 0.1
)

// ReturnSchedule plans when refused requests of one service are told to come back, so that they
// do not come at once. It is not safe for concurrent use.
type ReturnSchedule struct {
	rand *rand.Rand
	// planned holds the number of requests by slot of their return. The slots before first
	// are over.
	planned map[int64]map[Rank]int
	first   int64
}

// NewReturnSchedule returns a ReturnSchedule whose jitter is drawn from seed.
func NewReturnSchedule(seed uint64) *ReturnSchedule {
	return &ReturnSchedule{rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b9)), planned: map[int64]map[Rank]int{}}
}

// Plan returns the time after which a request is told to come back: at least earliest, and
// after the requests that are as urgent or more urgent and were told so before, if
// perSecond requests a second can then be served. A time above the longest one is kept.
func (r *ReturnSchedule) Plan(now time.Time, rank Rank, earliest time.Duration, perSecond float64) time.Duration {
	if perSecond <= 0 || earliest >= maxReturn {
		return earliest
	}
	r.forgetBefore(slotOf(now))
	begin := slotOf(now.Add(earliest))
	end := max(begin+1, slotOf(now.Add(maxReturn)))
	slot := r.freeSlot(rank, begin, end, perSecond*returnSlot.Seconds())
	if r.planned[slot] == nil {
		r.planned[slot] = map[Rank]int{}
	}
	r.planned[slot][rank]++
	return r.within(now, slot, earliest)
}

// freeSlot returns the first slot up to which the requests of the rank and more urgent
// ones can be served, at perSlot in each. Without such a slot it is a random one.
func (r *ReturnSchedule) freeSlot(rank Rank, begin, end int64, perSlot float64) int64 {
	waiting, room := 1, 0.0
	for slot := begin; slot < end; slot++ {
		room += perSlot
		for other, n := range r.planned[slot] {
			if other.Compare(rank) <= 0 {
				waiting += n
			}
		}
		if float64(waiting) <= max(1, room) {
			return slot
		}
	}
	return begin + r.rand.Int64N(end-begin)
}

// within returns a random time in a slot, as time from now, between earliest and the
// longest time.
func (r *ReturnSchedule) within(now time.Time, slot int64, earliest time.Duration) time.Duration {
	begin := time.Unix(0, slot*int64(returnSlot)).Sub(now)
	jitter := time.Duration(r.rand.Int64N(int64(returnSlot)))
	return min(max(begin+jitter, earliest), maxReturn)
}

// forgetBefore discards the slots that are over.
func (r *ReturnSchedule) forgetBefore(slot int64) {
	if slot <= r.first {
		return
	}
	r.first = slot
	maps.DeleteFunc(r.planned, func(s int64, _ map[Rank]int) bool { return s < slot })
}

func slotOf(t time.Time) int64 {
	return t.UnixNano() / int64(returnSlot)
}
