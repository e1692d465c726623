package soak

import (
	"sync"
	"time"
)

// timeSpan is a period of time. Its end is zero while it lasts.
type timeSpan struct {
	from, to time.Time
}

// overlaps reports whether the span overlaps the period between two times.
func (s timeSpan) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// allEntries is the key of disturbances that affect all entries.
const allEntries = ""

// disturbances records when an injected fault affected which entry. Time limits
// are not checked during a disturbance and for settleTime after it.
type disturbances struct {
	mu sync.Mutex
	// spans holds the disturbances of each entry by its name.
	spans map[string][]*timeSpan
}

func newDisturbances() *disturbances {
	return &disturbances{spans: map[string][]*timeSpan{}}
}

// begin records the start of a disturbance of an entry, or of allEntries, and
// returns the function that records its end.
func (d *disturbances) begin(entry string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &timeSpan{from: time.Now()}
	d.spans[entry] = append(d.spans[entry], s)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		s.to = time.Now()
	}
}

// isUndisturbed reports whether no disturbance affected the entry between two
// times.
func (d *disturbances) isUndisturbed(entry string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range []string{entry, allEntries} {
		for _, s := range d.spans[name] {
			if s.overlaps(from, to) {
				return false
			}
		}
	}
	return true
}
