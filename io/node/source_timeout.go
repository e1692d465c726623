package node

import (
	"math/rand/v2"
	"time"
)

const (
	// listReadRatio is the fraction of the store's read rate that entries listing
	// the store at the same time may use.
	listReadRatio = 0.3
	// itemsPerCall is the number of items that one read call returns.
	itemsPerCall = 400
	// assumedItemsPerEntry is the number of store items assumed per entry until
	// the actual number is known.
	assumedItemsPerEntry = 10
)

// sourceTimeout returns a random time for which this entry waits for its sources
// before it lists the store itself. The times are spread so that all waiting
// entries together list the store at a rate that it can sustain. Without a limit
// on store reads the timeout is 0.
func (n *Node) sourceTimeout() time.Duration {
	readsPerSec := n.settings.MaxStoreReadsPerSec * listReadRatio
	if readsPerSec <= 0 {
		return 0
	}
	entryCount := len(n.members.listWithHints())
	callsPerEntry := 1 + max(n.follower.Size(), assumedItemsPerEntry*entryCount)/itemsPerCall
	maxTimeout := time.Duration(float64(entryCount*callsPerEntry) / readsPerSec * float64(time.Second))
	return rand.N(max(1, maxTimeout))
}
