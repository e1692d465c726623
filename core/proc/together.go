package proc

import (
	"time"

	"magnolialedge"
)

const (
	// togetherTime is the time within which entries count as started together. The clocks
	// of the entries differ, and an outage does not end for all at the same moment.
	togetherTime = 5 * time.Second
	// minTogether is the minimum number of entries for which a common start is assumed.
	minTogether = 3
)

// StartedTogether reports whether most of the listed entries started together with self,
// as after an outage of all. Their callers then return at once.
func StartedTogether(self magnolialedge.Instance, all []magnolialedge.Instance) bool {
	together, live := 0, 0
	for _, in := range all {
		if in.Leaving {
			continue
		}
		live++
		if age := time.Duration(in.StartedAt-self.StartedAt) * time.Millisecond; age.Abs() <= togetherTime {
			together++
		}
	}
	return live >= minTogether && 2*together > live
}
