// Package conn opens and keeps the connections to upstreams, peers and the
// platform.
package conn
