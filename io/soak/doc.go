// Package soak runs entries as separate processes on loopback, injects faults
// from outside them and checks from the callers' and the upstreams' side what
// must always hold.
package soak
