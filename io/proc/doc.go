// Package proc wraps types of core/proc for concurrent use and passes them the
// current time. It also holds the services of the version in force and the list of
// instances.
package proc
