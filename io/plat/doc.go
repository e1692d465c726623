// Package plat speaks with the platform: its key-value service and its list of
// instances.
package plat
