package stand

import (
	"os"
	"strconv"
	"strings"
)

// processor is the machine's processor time so far, in clock ticks.
type processor struct {
	all, stolen int64
}

// readProcessor reads the machine's processor time; a machine that doesn't tell
// has none.
func readProcessor() processor {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return processor{}
	}
	line, _, _ := strings.Cut(string(data), "\n")
	const stealField = 8
	var out processor
	for i, f := range strings.Fields(line) {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			continue
		}
		out.all += n
		if i == stealField {
			out.stolen = n
		}
	}
	return out
}

// stolenSince returns the share of processor time in percent that the machine's
// host gave to others since before.
func (p processor) stolenSince(before processor) float64 {
	if p.all == before.all {
		return 0
	}
	return 100 * float64(p.stolen-before.stolen) / float64(p.all-before.all)
}
