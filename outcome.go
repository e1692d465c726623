package magnolialedge

// Outcome states whether an upstream has executed a request.
type Outcome string

const (
	// OutcomeNotRun means that no upstream has executed the request and none
	// will.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeRan means that an upstream has executed the request and responded.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown means that the request may or may not have been executed.
	OutcomeUnknown Outcome = "unknown"
)
