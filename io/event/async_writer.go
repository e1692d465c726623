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

// AsyncWriter passes lines on to a writer without making their authors wait. Lines
// beyond its bounds are left out and counted.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	closed bool
	bucket *proc.Bucket
}

// NewAsyncWriter returns an AsyncWriter in front of w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	b := &AsyncWriter{
		w:      w,
		lines:  make(chan []byte, backlogLines),
		done:   make(chan struct{}),
		bucket: proc.NewBucket(linesPerSecond, linesBurst, time.Now()),
	}
	go b.run()
	return b
}

// Write takes one line. It never waits and never fails.
func (b *AsyncWriter) Write(line []byte) (int, error) {
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

func (b *AsyncWriter) drop() {
	b.dropped.Add(1)
	b.total.Add(1)
}

// TakeDropped returns the number of lines left out since the last call.
func (b *AsyncWriter) TakeDropped() int64 {
	return b.dropped.Swap(0)
}

// TotalDropped returns the number of lines left out since the start.
func (b *AsyncWriter) TotalDropped() int64 {
	return b.total.Load()
}

func (b *AsyncWriter) run() {
	defer close(b.done)
	for line := range b.lines {
		// A writer that fails has nobody left to tell.
		_, _ = b.w.Write(line)
	}
}

// Close writes what waits and ends the AsyncWriter. Later lines are left out.
func (b *AsyncWriter) Close() {
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
