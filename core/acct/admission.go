package acct

import "time"

// Admission is the decision on a request of an account with a limit.
type Admission struct {
	Verdict Verdict
	// RetryAfter is the time after which there may be credits for a refused request.
	RetryAfter time.Duration
	Limit      Limit
	// Owner is the entry that last granted credits to this one, or empty.
	Owner string
	// Standing describes the credits of this entry at the decision.
	Standing Standing
}
