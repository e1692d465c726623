package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"magnolialedge/core/proc"
)

const (
	// backlogLines is the number of lines that may wait to be written.
	backlogLines = 1024
	// linesPerSecond bounds the lines that are written, over linesBurst.
	linesPerSecond = 600
	linesBurst     = 1200
	// flushTimeout bounds the writing of what waits at the end.
	flushTimeout = 200 * time.Millisecond
)

// Backlog passes lines on to a writer without making their authors wait. Lines
// beyond its bounds are left out and counted.
type Backlog struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	closed bool
	bucket *proc.Bucket
}

// NewBacklog returns a Backlog in front of w.
func NewBacklog(w io.Writer) *Backlog {
	b := &Backlog{
		w:      w,
		lines:  make(chan []byte, backlogLines),
		done:   make(chan struct{}),
		bucket: proc.NewBucket(linesPerSecond, linesBurst, time.Now()),
	}
	go b.run()
	return b
}

// Write takes one line. It never waits and never fails.
func (b *Backlog) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.bucket.Take(time.Now(), 1) {
		b.drop()
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.drop()
	}
	return len(line), nil
}

func (b *Backlog) drop() {
	b.dropped.Add(1)
	b.total.Add(1)
}

// TakeDropped returns the number of lines left out since the last call.
func (b *Backlog) TakeDropped() int64 {
	return b.dropped.Swap(0)
}

// Dropped returns the number of lines left out since the start.
func (b *Backlog) Dropped() int64 {
	return b.total.Load()
}

func (b *Backlog) run() {
	defer close(b.done)
	for line := range b.lines {
		// A writer that fails has nobody left to tell.
		_, _ = b.w.Write(line)
	}
}

// Close writes what waits and ends the Backlog. Later lines are left out.
func (b *Backlog) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(flushTimeout):
	}
}
