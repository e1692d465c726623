package pick

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Turn is the place of a request in the turns of the client accounts. The zero value
// is that of a request that has not been given a turn.
type Turn struct {
	isTaken bool
	start   float64
}

// turnClass identifies the waiters among whose accounts the turns go round.
type turnClass struct {
	accountPriority, priority int
}

func classOf(req Request) turnClass {
	return turnClass{accountPriority: req.AccountPriority, priority: req.Priority}
}

// turns lets the accounts of one class take turns by start-time fair queueing with
// equal weights. The cost of a request is its expected service time. A request without
// an account belongs to the account with the empty name.
type turns struct {
	// virtualTime is the highest start tag of a served request.
	virtualTime float64
	// finish holds the finish tag of the last served request, by account.
	finish map[string]float64
}

// maxFinishTags is the number of finish tags above which those that no longer count
// are discarded.
const maxFinishTags = 1024

// nextStart returns the start tag of the next request of an account.
func (t *turns) nextStart(account string) float64 {
	return max(t.virtualTime, t.finish[account])
}

// take charges a request to its account and returns its start tag.
func (t *turns) take(account string, cost float64) float64 {
	start := t.nextStart(account)
	t.virtualTime = start
	if len(t.finish) >= maxFinishTags {
		maps.DeleteFunc(t.finish, func(_ string, tag float64) bool { return tag <= start })
	}
	t.finish[account] = start + cost
	return start
}

// turnsOf returns the turns of the class of a request.
func (q *Queue) turnsOf(req Request) *turns {
	class := classOf(req)
	t, ok := q.turns[class]
	if !ok {
		if q.turns == nil {
			q.turns = map[turnClass]*turns{}
		}
		t = &turns{finish: map[string]float64{}}
		q.turns[class] = t
	}
	return t
}

// IsTaken reports whether the request was given a turn.
func (t Turn) IsTaken() bool {
	return t.isTaken
}

// HasTurns reports whether accounts take turns. They do from the first request with an
// account on. A new request then does not pass the waiters, some of which may be before
// it.
func (q *Queue) HasTurns() bool {
	return len(q.turns) > 0
}

// TakeTurn charges a request that is about to be sent to its account, unless turn shows
// that it is charged already. It does nothing until a request has an account.
func (q *Queue) TakeTurn(f *Fleet, req Request, turn *Turn) {
	if turn.isTaken || (req.Account == "" && !q.HasTurns()) {
		return
	}
	*turn = Turn{isTaken: true, start: q.turnsOf(req).take(req.Account, f.ServiceTimeNanos(req))}
}

// position is the place of a waiter in the order in which waiters are woken.
type position struct {
	waiter        *Waiter
	canMeetTarget bool
	start         float64
	arrivedAt     time.Time
}

// compare returns a negative number if the waiter of a is woken before that of b.
// Waiters that can still meet their soft deadline come first, then those of higher
// account priority and of higher priority. Accounts then take turns, and the latest
// arrival of an account is first. In first-in first-out order, an overload would let
// each request reach an upstream just after its soft deadline; the latest arrivals have
// the most time left.
func (a position) compare(b position) int {
	if a.canMeetTarget != b.canMeetTarget {
		if a.canMeetTarget {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.waiter.Request.AccountPriority, b.waiter.Request.AccountPriority),
		cmp.Compare(a.waiter.Request.Priority, b.waiter.Request.Priority),
		cmp.Compare(a.start, b.start),
		b.arrivedAt.Compare(a.arrivedAt),
	)
}

// order returns the positions of waiters in the order in which they are woken. Waiters of
// equal position keep their order.
func (q *Queue) order(now time.Time, waiters []*Waiter, f *Fleet) []position {
	positions := make([]position, len(waiters))
	hasAccounts := false
	for i, w := range waiters {
		positions[i] = position{waiter: w, canMeetTarget: f.CanMeetTarget(now, w.Request), arrivedAt: w.Request.arrivedAt()}
		hasAccounts = hasAccounts || w.Request.Account != ""
	}
	slices.SortStableFunc(positions, position.compare)
	if hasAccounts {
		q.assignStarts(positions, f)
		slices.SortStableFunc(positions, position.compare)
	}
	return positions
}

// assignStarts sets the start tags of positions, which are in the order that applies within
// an account, as if they were served in this order.
func (q *Queue) assignStarts(positions []position, f *Fleet) {
	type flow struct {
		turnClass
		account string
	}
	next := map[flow]float64{}
	for i := range positions {
		w := positions[i].waiter
		if w.Turn.isTaken {
			positions[i].start = w.Turn.start
			continue
		}
		key := flow{turnClass: classOf(w.Request), account: w.Request.Account}
		start, ok := next[key]
		if !ok {
			start = q.turnsOf(w.Request).nextStart(w.Request.Account)
		}
		positions[i].start = start
		next[key] = start + f.ServiceTimeNanos(w.Request)
	}
}
