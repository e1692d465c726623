package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine started, including the time for which it was
// suspended, which the monotonic clock leaves out: what was heard before a suspension would
// look recent after it. Only differences of two results have a meaning.
func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
