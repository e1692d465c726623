package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"magnolialedge/core/proc"
)

const (
	// maxQueuedLines limits the lines that wait to be written.
	maxQueuedLines = 1024
	// maxLinesPerSecond and maxLineBurst are the rate and the burst of the token bucket
	// that limits the lines written.
	maxLinesPerSecond = 600
	maxLineBurst      = 1200
	// flushTimeout limits how long Close waits for the queued lines to be written.
	flushTimeout = 200 * time.Millisecond
)

// AsyncWriter passes lines to a writer from a goroutine of its own, so that logging does
// not wait for the writer. Lines that exceed the queue or the rate are dropped and counted.
type AsyncWriter struct {
	w            io.Writer
	lines        chan []byte
	dropped      atomic.Int64
	totalDropped atomic.Int64
	done         chan struct{}

	mu     sync.Mutex
	closed bool
	bucket *proc.Bucket
}

// NewAsyncWriter returns an AsyncWriter that writes to w, and starts its goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		w:      w,
		lines:  make(chan []byte, maxQueuedLines),
		done:   make(chan struct{}),
		bucket: proc.NewBucket(maxLinesPerSecond, maxLineBurst, time.Now()),
	}
	go a.run()
	return a
}

// Write queues one line, or drops it and counts it. It does not wait for the underlying
// writer and always reports success.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || !a.bucket.Take(time.Now(), 1) {
		a.drop()
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.drop()
	}
	return len(line), nil
}

func (a *AsyncWriter) drop() {
	a.dropped.Add(1)
	a.totalDropped.Add(1)
}

// TakeDropped returns the number of lines dropped since the last call.
func (a *AsyncWriter) TakeDropped() int64 {
	return a.dropped.Swap(0)
}

// TotalDropped returns the number of lines dropped since the AsyncWriter was created.
func (a *AsyncWriter) TotalDropped() int64 {
	return a.totalDropped.Load()
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for line := range a.lines {
		// Errors are ignored, because the log is the only place to report them.
		_, _ = a.w.Write(line)
	}
}

// Close writes the queued lines, for at most flushTimeout, and stops the AsyncWriter.
// Later lines are dropped.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
}
