// Package soak is a fault-injection test: it runs entries as separate processes on
// loopback addresses, injects random faults, and checks invariants on the requests
// that callers send and upstreams receive.
package soak
