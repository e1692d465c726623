// Package mirror follows the platform's store: few entries of a region watch it,
// and the others take its changes from them.
package mirror
