// Package peer carries the calls between entries.
package peer
