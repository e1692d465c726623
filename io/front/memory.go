package front

import "sync/atomic"

// memory bounds the bytes that are held at a time.
type memory struct {
	// most is the bound; 0 stands for none.
	most int64
	held atomic.Int64
}

// take reserves n bytes if they are to be had.
func (m *memory) take(n int64) bool {
	if m.held.Add(n) <= m.most || m.most == 0 {
		return true
	}
	m.held.Add(-n)
	return false
}

func (m *memory) give(n int64) {
	m.held.Add(-n)
}
