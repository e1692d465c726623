package node

import (
	"math/rand/v2"
	"time"
)

const (
	// listShare is the part of the store's reading calls that entries which list
	// it at the same time may take.
	listReadRatio = 0.3
	// itemsPerCall is the number of items that one reading call brings.
	itemsPerCall = 400
	// itemsPerEntry is the number of items that is assumed for each entry until
	// the items are known.
	assumedItemsPerEntry = 10
)

// patience draws how long this entry waits for its sources, so that all entries
// that wait list the store at a rate that it bears.
func (n *Node) sourceTimeout() time.Duration {
	rate := n.settings.MaxStoreReadsPerSec * listReadRatio
	if rate <= 0 {
		return 0
	}
	entries := len(n.members.listWithHints())
	calls := 1 + max(n.follower.Size(), assumedItemsPerEntry*entries)/itemsPerCall
	all := time.Duration(float64(entries*calls) / rate * float64(time.Second))
	return rand.N(max(1, all))
}
