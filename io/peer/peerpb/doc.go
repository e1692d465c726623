// Package peerpb is generated from peer.proto: the messages between entries.
package peerpb
