// Package serve carries the requests on routes from callers to registered
// upstreams and the answers back.
package serve
