// Package peerpb contains the messages, clients and servers of the RPCs between
// entries. It is generated from peer.proto, except for this file.
package peerpb
