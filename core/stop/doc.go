// Package stop decides which work an entry may still begin after it was told to stop.
package stop
