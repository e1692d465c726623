// Package stand implements test doubles for the environment of an entry: the
// platform, upstreams, links between regions and callers. It also holds the load
// generator, the measurements and the fault injection that run on them.
package stand
