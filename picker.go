package magnolialedge

import "time"

// Pick is the upstream that was selected for an attempt.
type Pick struct {
	// Address is the address of the target.
	Address string
}

// PickRequest restricts the selection of an upstream. The zero value permits
// any target.
type PickRequest struct {
	// Exclude holds the addresses that the request was already sent to.
	Exclude []string
	// AllowProbation permits an upstream on probation, which receives only a
	// few idempotent requests.
	AllowProbation bool
	// IdleOnly requires a target with a free slot; hedges set it.
	IdleOnly bool
	// BodyBytes is the size of the request body, or 0 if it is unknown.
	BodyBytes int64
}

// AttemptResult reports to a Picker how an attempt ended.
type AttemptResult struct {
	Address  string
	Duration time.Duration
	Outcome  Outcome
	// Failed is true if the upstream returned no valid response.
	Failed bool
	// Canceled is true if the entry canceled the attempt.
	Canceled bool
	// Shed is true if the upstream rejected the request because it was
	// overloaded.
	Shed bool
}

// Picker selects among the upstreams of one service. It is not safe for
// concurrent use.
type Picker interface {
	// Pick selects an upstream and counts the attempt as in flight there. It
	// returns false if no upstream is available.
	Pick(now time.Time, req PickRequest) (Pick, bool)
	// Done records the end of an attempt that Pick started.
	Done(now time.Time, result AttemptResult)
	// Report records the load that an upstream has reported.
	Report(now time.Time, address string, load LoadReport)
}

// IdleConns reports the unused connections to upstreams.
type IdleConns interface {
	// HasIdle reports whether there is an unused connection to an upstream that
	// can carry a request.
	HasIdle(now time.Time, upstreamID string) bool
}

// QuotaShare is the part of an upstream's limit that one entry may use.
type QuotaShare struct {
	// Fraction of the limit; 0 for an entry without a share.
	Fraction float64
	// ExploreInterval is how long an entry without a share hears nothing of the limit
	// before it may send a request to learn whether the limit still applies.
	ExploreInterval time.Duration
}

// QuotaSharer divides the limits that upstreams announce among the entries.
type QuotaSharer interface {
	// QuotaShare returns this entry's share in the limit of an upstream.
	QuotaShare(now time.Time, r Registration) QuotaShare
}

// LoadReport is the load that an upstream reports. It is outdated on arrival
// and may be wrong.
type LoadReport struct {
	InFlight int
	Queued   int
	Draining bool
}
