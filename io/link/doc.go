// Package link keeps the connections to registered upstreams and carries
// requests, answers and readings over them.
package link
