// Package magnolialedge holds the interfaces and the shared value types of the
// load balancer. Decisions live below core, input and output below io.
package magnolialedge
