// Package mirror replicates the platform's store into the memory of an entry. A
// few entries of each region watch the store; the others subscribe to the
// changes that these entries stream to them.
package mirror
