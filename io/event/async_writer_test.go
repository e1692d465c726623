package event

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stuck is a writer that blocks until it is released.
type stuck struct {
	mu   sync.Mutex
	gate chan struct{}
	text strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestBacklogNeverWaitsForItsWriter(t *testing.T) {
	w := &stuck{gate: make(chan struct{})}
	b := NewAsyncWriter(w)
	begun := time.Now()
	for range 5000 {
		_, err := b.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(begun), time.Second)
	require.GreaterOrEqual(t, b.TotalDropped(), int64(5000-backlogLines-linesBurst))
	require.Equal(t, b.TotalDropped(), b.TakeDropped())
	require.Zero(t, b.TakeDropped())
	close(w.gate)
	b.Close()
	require.NotEmpty(t, w.text.String())
}

func TestBacklogKeepsTheOrderOfLines(t *testing.T) {
	w := &stuck{gate: make(chan struct{})}
	close(w.gate)
	b := NewAsyncWriter(w)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = b.Write([]byte(line))
	}
	b.Close()
	require.Equal(t, "a\nb\nc\n", w.text.String())
}
