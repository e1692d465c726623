package stand

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"magnolialedge"
)

// announceLife is how long an instance is listed after its last announcement.
const announceLife = 5 * time.Second

// keptHistory is how far back a lagging list can reach.
const keptHistory = 30 * time.Second

// instanceList is the list of instances with its history, so that an old state
// can be shown.
type instanceList struct {
	mu      sync.Mutex
	byName  map[string][]sighting
	forgets time.Duration
}

type sighting struct {
	at       time.Time
	instance magnolialedge.Instance
}

func newInstanceList() instanceList {
	return instanceList{byName: map[string][]sighting{}, forgets: keptHistory}
}

func (l *instanceList) announce(now time.Time, in magnolialedge.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := slices.DeleteFunc(l.byName[in.Name], func(s sighting) bool { return now.Sub(s.at) > l.forgets })
	l.byName[in.Name] = append(seen, sighting{at: now, instance: in})
}

// list returns the instances as they were lag ago. Before there is so much
// history the list is the present one.
func (l *instanceList) list(now time.Time, lag time.Duration) []magnolialedge.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	then := now.Add(-lag)
	out := []magnolialedge.Instance{}
	for _, seen := range l.byName {
		if s, ok := lastBefore(seen, then); ok && then.Sub(s.at) <= announceLife {
			out = append(out, s.instance)
		}
	}
	slices.SortFunc(out, func(a, b magnolialedge.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func lastBefore(seen []sighting, then time.Time) (sighting, bool) {
	for _, s := range slices.Backward(seen) {
		if !s.at.After(then) {
			return s, true
		}
	}
	return sighting{}, false
}
