// Package serve proxies requests on routes from callers to registered upstreams
// and returns the responses.
package serve
