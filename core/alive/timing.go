package alive

import "time"

// Timing holds the times with which entries hear each other.
type Timing struct {
	// Interval is the time between two rounds of requests.
	Interval time.Duration
	// Timeout limits one request.
	Timeout time.Duration
	// NearBound is how long an entry of the own place may be silent before callers are
	// steered to others, and FarBound is the same for an entry of another place, whose
	// evidence takes two more spreads to arrive.
	NearBound time.Duration
	FarBound  time.Duration
}

// Fractions of the bound on the time for which a silent entry is named. NearBound and an
// interval, after which the next judgement is made at the latest, stay below the bound.
const (
	intervalShare  = 0.1
	timeoutShare   = 0.2
	nearBoundShare = 0.8
	farBoundShare  = 2.0
	// minBound is the lowest bound that TimingFor applies.
	minBound = 500 * time.Millisecond
)

// TimingFor returns the timing with which a silent entry is named for no longer than bound to
// the callers of its place.
func TimingFor(bound time.Duration) Timing {
	bound = max(bound, minBound)
	return Timing{
		Interval:  share(bound, intervalShare),
		Timeout:   share(bound, timeoutShare),
		NearBound: share(bound, nearBoundShare),
		FarBound:  share(bound, farBoundShare),
	}
}

func share(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}
