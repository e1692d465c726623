// Package magnolialedge defines the interfaces and shared types of the load
// balancer. The packages in core make the decisions and are free of I/O; the
// packages in io do the input and output.
package magnolialedge
