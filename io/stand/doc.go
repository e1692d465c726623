// Package stand holds small stand-ins for what surrounds an entry: the platform,
// upstreams, links between regions and callers. They serve tests and
// measurements.
package stand
