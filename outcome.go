package magnolialedge

// Outcome tells whether a request was run by an upstream.
type Outcome string

const (
	// OutcomeNotRun means that no upstream ran the request and none will.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeRan means that an upstream ran the request and answered.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown means that the request may or may not have been run.
	OutcomeUnknown Outcome = "unknown"
)
