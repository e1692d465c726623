// Package call serves callers over HTTP: it parses their requests, forwards them
// to upstreams and relays the responses.
package call
