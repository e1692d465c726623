package front

import "sync/atomic"

// byteBudget limits the number of bytes that are held at the same time. It is
// safe for concurrent use.
type byteBudget struct {
	// maxBytes is the limit; 0 means no limit.
	maxBytes  int64
	heldBytes atomic.Int64
}

// reserve reserves n bytes and reports whether they fit within the limit.
func (b *byteBudget) reserve(n int64) bool {
	if b.heldBytes.Add(n) <= b.maxBytes || b.maxBytes == 0 {
		return true
	}
	b.heldBytes.Add(-n)
	return false
}

// release returns n reserved bytes.
func (b *byteBudget) release(n int64) {
	b.heldBytes.Add(-n)
}
