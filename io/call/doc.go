// Package call serves callers: it reads their requests, sends them to upstreams
// and writes the answers.
package call
