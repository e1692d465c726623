// Package admit decides which requests of a service are worth a wait or a retry while
// its capacity is short. It knows the ranks of the requests that arrive at one entry, and
// how many of them the entry sends to upstreams.
package admit
