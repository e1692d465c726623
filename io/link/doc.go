// Package link maintains connections to registered upstreams and sends requests
// and load probes over them.
package link
