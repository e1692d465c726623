package magnolialedge

import "time"

// Pick is the choice of an upstream for one attempt.
type Pick struct {
	// Address is the target's address.
	Address string
}

// PickRequest states what an attempt needs. The zero value asks for any target.
type PickRequest struct {
	// Exclude holds addresses already tried by this request.
	Exclude []string
	// Probe allows an upstream that is on probation, which takes a few
	// idempotent requests only.
	AllowProbation bool
	// IdleOnly asks for a target with a free slot, as a hedge does.
	IdleOnly bool
	// BodyBytes is the size of the request body, or 0 when it is not known.
	BodyBytes int64
}

// AttemptResult tells a picker how an attempt ended.
type AttemptResult struct {
	Address  string
	Duration time.Duration
	Outcome  Outcome
	// Failed tells that the upstream gave no useful answer.
	Failed bool
	// Cancelled tells that this side ended the attempt.
	Cancelled bool
	// Shed tells that the upstream refused the request for lack of room.
	Shed bool
}

// Picker chooses among the upstreams of one service. It is not safe for
// concurrent use.
type Picker interface {
	// Pick chooses an upstream and counts the attempt as in flight there.
	Pick(now time.Time, req PickRequest) (Pick, bool)
	// Done ends an attempt that Pick began.
	Done(now time.Time, a AttemptResult)
	// Report takes an upstream's own report of its load.
	Report(now time.Time, address string, load LoadReport)
}

// LoadReport is what an upstream says of itself. It is stale on arrival and may
// be wrong.
type LoadReport struct {
	InFlight int
	Queued   int
	Draining bool
}
