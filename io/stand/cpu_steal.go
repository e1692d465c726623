package stand

import (
	"os"
	"strconv"
	"strings"
)

// cpuTimes holds the CPU time of the machine since boot, in clock ticks.
type cpuTimes struct {
	total, steal int64
}

// readCPUTimes reads the CPU time from /proc/stat. It returns zero if the file
// cannot be read.
func readCPUTimes() cpuTimes {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return cpuTimes{}
	}
	line, _, _ := strings.Cut(string(data), "\n")
	const stealField = 8
	var out cpuTimes
	for i, field := range strings.Fields(line) {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			continue
		}
		out.total += n
		if i == stealField {
			out.steal = n
		}
	}
	return out
}

// stealPercentSince returns the percentage of CPU time since before that the
// hypervisor gave to other guests.
func (t cpuTimes) stealPercentSince(before cpuTimes) float64 {
	if t.total == before.total {
		return 0
	}
	return 100 * float64(t.steal-before.steal) / float64(t.total-before.total)
}
