package admit

import (
	"cmp"
	"slices"
	"time"
)

// Rank orders the requests of a service. Lower values are more urgent, and the account
// decides before the route.
type Rank struct {
	Account int `json:"accountPriority"`
	Route   int `json:"priority"`
}

// Compare returns a negative number if r is more urgent than o.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Account, o.Account), cmp.Compare(r.Route, o.Route))
}

const (
	// rankMemory is the time since its last request for which a rank is in use.
	rankMemory = 10 * time.Second
	// maxRanks limits the ranks that are tracked. Requests of further ranks count as
	// requests of no rank.
	maxRanks = 64
)

// Ranks tracks the ranks of the requests that arrive for one service. The zero value is
// ready for use.
type Ranks struct {
	// arrivals is ordered by rank, so that sums do not depend on the order of a map.
	arrivals []rankRate
}

// rankRate is the rate of the requests of a rank.
type rankRate struct {
	Rank
	rate
}

func (a rankRate) compareRank(rank Rank) int {
	return a.Compare(rank)
}

// Record counts a request.
func (r *Ranks) Record(now time.Time, rank Rank) {
	i, ok := slices.BinarySearchFunc(r.arrivals, rank, rankRate.compareRank)
	if !ok {
		r.arrivals = slices.DeleteFunc(r.arrivals, func(a rankRate) bool { return !a.isRecent(now) })
		if len(r.arrivals) >= maxRanks {
			return
		}
		i, _ = slices.BinarySearchFunc(r.arrivals, rank, rankRate.compareRank)
		r.arrivals = slices.Insert(r.arrivals, i, rankRate{Rank: rank})
	}
	r.arrivals[i].rate = r.arrivals[i].with(now)
}

// HasSeveral reports whether more than one rank is in use.
func (r *Ranks) HasSeveral(now time.Time) bool {
	n := 0
	for _, a := range r.arrivals {
		if a.isRecent(now) {
			n++
		}
	}
	return n > 1
}

// IsMostUrgent reports whether no rank in use is more urgent.
func (r *Ranks) IsMostUrgent(now time.Time, rank Rank) bool {
	return !slices.ContainsFunc(r.arrivals, func(a rankRate) bool { return a.Compare(rank) < 0 && a.isRecent(now) })
}

// MoreUrgentRate returns the requests a second that are more urgent than rank.
func (r *Ranks) MoreUrgentRate(now time.Time, rank Rank) float64 {
	sum := 0.0
	for _, a := range r.arrivals {
		if a.Compare(rank) < 0 {
			sum += a.at(now)
		}
	}
	return sum
}

func (r rate) isRecent(now time.Time) bool {
	return now.Sub(r.updatedAt) < rankMemory
}
