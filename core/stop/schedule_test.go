package stop

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestScheduleAtItsEdges guards against work that begins although it may outlast the entry,
// and against work that is refused although it would have ended in time.
func TestScheduleAtItsEdges(t *testing.T) {
	const ms = time.Millisecond
	signal := time.Unix(1000, 0)
	s := NewSchedule(Config{Open: 2300 * ms, Work: 5500 * ms}, signal)
	for _, c := range []struct {
		name                    string
		now, deadline, expected time.Duration
		permitted               bool
	}{
		{"ends with the entry", 2300 * ms, 5500 * ms, 0, true},
		{"may end later, after the open period", 2300 * ms, 5501 * ms, 0, false},
		{"may end later, in the open period", 2299 * ms, 5501 * ms, 3201 * ms, true},
		{"is expected to end later", 2299 * ms, 9 * time.Second, 3202 * ms, false},
		{"is expected to end later, but may not", 2299 * ms, 5500 * ms, 4000 * ms, true},
		{"begins at the signal", 0, time.Minute, 5500 * ms, true},
		{"short work at the end", 5400 * ms, 5500 * ms, 5 * ms, true},
		{"long work at the end", 5400 * ms, 5600 * ms, 5 * ms, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := Work{Deadline: signal.Add(c.deadline), Expected: c.expected}
			require.Equal(t, c.permitted, s.Permits(signal.Add(c.now), w))
			require.True(t, Schedule{}.Permits(signal.Add(c.now), w), "without a stop signal")
		})
	}
}

func TestOpenPeriodLeavesHalfOfTheTimeForWork(t *testing.T) {
	signal := time.Unix(1000, 0)
	s := NewSchedule(Config{Open: 6 * time.Second, Work: 2 * time.Second}, signal)
	require.Equal(t, signal.Add(time.Second), s.OpenUntil())
}
