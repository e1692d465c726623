// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx is done. It returns at once if d is not positive.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
