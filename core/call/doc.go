// Package call makes the decisions that concern a single request: its
// idempotency class, its idempotency key, and when it is retried, hedged or
// failed.
package call
