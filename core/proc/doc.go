// Package proc makes the decisions whose state is kept for the lifetime of the
// process: load balancing, queueing, retry and hedge budgets, outlier ejection,
// steering, the division of upstreams' limits among entries, quarantine and the
// table of idempotency keys. The package reads no clock, starts no goroutine and
// does no I/O.
package proc
