// Package conn dials and pools the connections to upstreams, peers and the
// platform.
package conn
