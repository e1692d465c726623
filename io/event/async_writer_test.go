package event

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingWriter is a writer that blocks until released is closed.
type blockingWriter struct {
	mu       sync.Mutex
	released chan struct{}
	written  strings.Builder
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.released
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

func TestAsyncWriterDoesNotBlockOnItsWriter(t *testing.T) {
	w := &blockingWriter{released: make(chan struct{})}
	b := NewAsyncWriter(w)
	start := time.Now()
	for range 5000 {
		_, err := b.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), time.Second)
	require.GreaterOrEqual(t, b.TotalDropped(), int64(5000-maxQueuedLines-maxLineBurst))
	require.Equal(t, b.TotalDropped(), b.TakeDropped())
	require.Zero(t, b.TakeDropped())
	close(w.released)
	b.Close()
	require.NotEmpty(t, w.written.String())
}

func TestAsyncWriterPreservesLineOrder(t *testing.T) {
	w := &blockingWriter{released: make(chan struct{})}
	close(w.released)
	b := NewAsyncWriter(w)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = b.Write([]byte(line))
	}
	b.Close()
	require.Equal(t, "a\nb\nc\n", w.written.String())
}
