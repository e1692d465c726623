// Package peer contains the clients and message conversions for the RPCs between
// entries.
package peer
