// Package reach decides whether an entry has lost its own links to the upstreams, and
// which other entry serves requests in its place meanwhile.
package reach
