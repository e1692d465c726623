// Package alive decides which entries have been silent for too long to be named to callers.
package alive
