// Package call holds the decisions whose state lives as long as one request:
// its class, its idempotency key, its deadline and the order of its attempts.
package call
