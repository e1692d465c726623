// Package proc wraps the types of core/proc for concurrent use and passes them the
// current time.
package proc
