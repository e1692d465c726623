// Package serve proxies requests on routes from callers to registered upstreams
// and returns the responses. It identifies the client account of a request, and
// refuses requests that exceed an account's limit or that scarce capacity does not
// suffice for.
package serve
