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
	a := NewAsyncWriter(w)
	start := time.Now()
	for range 5000 {
		_, err := a.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), time.Second)
	require.GreaterOrEqual(t, a.TotalDropped(), int64(5000-maxQueuedLines-maxLineBurst))
	require.Equal(t, a.TotalDropped(), a.TakeDropped())
	require.Zero(t, a.TakeDropped())
	close(w.released)
	a.Close()
	require.NotEmpty(t, w.written.String())
}

func TestAsyncWriterPreservesLineOrder(t *testing.T) {
	w := &blockingWriter{released: make(chan struct{})}
	close(w.released)
	a := NewAsyncWriter(w)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = a.Write([]byte(line))
	}
	a.Close()
	require.Equal(t, "a\nb\nc\n", w.written.String())
}
