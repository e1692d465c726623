package soak

import (
	"sync"
	"time"
)

// span is a time between two moments; a zero end stands for one that goes on.
type span struct {
	from, to time.Time
}

func (s span) meets(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// everything names disturbances that concern all entries.
const everything = ""

// calm knows when faults disturbed which entry.
type calm struct {
	mu    sync.Mutex
	spans map[string][]*span
}

func newCalm() *calm {
	return &calm{spans: map[string][]*span{}}
}

// disturb begins a disturbance of an entry.
func (c *calm) disturb(entry string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &span{from: time.Now()}
	c.spans[entry] = append(c.spans[entry], s)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.to = time.Now()
	}
}

// isCalm reports whether nothing disturbed an entry between two moments.
func (c *calm) isCalm(entry string, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range []string{entry, everything} {
		for _, s := range c.spans[name] {
			if s.meets(from, to) {
				return false
			}
		}
	}
	return true
}
