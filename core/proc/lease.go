package proc

import "time"

// LeaseTiming holds the times with which an entry keeps its listing in the store.
type LeaseTiming struct {
	// TTL is how long the store lists an entry after its last renewal.
	TTL time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// minRetryDelay is the time after the first of several failed calls.
	minRetryDelay time.Duration
}

const (
	// leaseBounds is the lease's duration as a multiple of the bound on the spread
	// of changes. Entries that do not respond are left out of resolve responses before
	// their lease ends, so that a long lease costs fewer calls and no request.
	leaseBounds = 3
	// renewShare is the fraction of the lease after which it is renewed. A renewal
	// that fails can be repeated twice.
	renewShare = 0.4
	// renewRetryDelay is the time after the first failed call. It doubles with
	// each further one up to maxRetryShare of the lease, so that a store that
	// recovers is not held down by a large fleet.
	renewRetryDelay = time.Second
	maxRetryShare   = 0.3
	// maxRetryDoublings keeps the delay of many failures from overflowing.
	maxRetryDoublings = 16
)

// LeaseTimingFor returns the lease times for the given bound on the spread of
// changes and the shortest TTL that the store grants.
func LeaseTimingFor(bound, minTTL time.Duration) LeaseTiming {
	ttl := max(leaseBounds*bound, minTTL)
	return LeaseTiming{
		TTL:           ttl,
		RenewInterval: time.Duration(renewShare * float64(ttl)),
		minRetryDelay: min(renewRetryDelay, ttl/6),
	}
}

// RetryDelay returns the time until the next call after the given number of failed
// calls in a row.
func (t LeaseTiming) RetryDelay(failures int) time.Duration {
	delay := t.minRetryDelay
	for range min(failures, maxRetryDoublings) - 1 {
		delay *= 2
	}
	return min(delay, time.Duration(maxRetryShare*float64(t.TTL)))
}
