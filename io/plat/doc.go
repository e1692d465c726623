// Package plat is a client for the platform's HTTP API: its key-value service and its
// list of instances.
package plat
