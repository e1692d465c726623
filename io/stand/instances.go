package stand

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"magnolialedge"
)

// announcementTTL is how long an instance stays listed after its last
// announcement.
const announcementTTL = 5 * time.Second

// historyRetention is how long announcements are kept, and so the maximum lag of the list.
const historyRetention = 30 * time.Second

// instanceList holds the announcements of each instance, by name and in order of
// time, so that the list can be returned as it was at an earlier time.
type instanceList struct {
	mu        sync.Mutex
	history   map[string][]announcement
	retention time.Duration
}

type announcement struct {
	at       time.Time
	instance magnolialedge.Instance
}

func newInstanceList() instanceList {
	return instanceList{history: map[string][]announcement{}, retention: historyRetention}
}

func (l *instanceList) announce(now time.Time, in magnolialedge.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	announcements := slices.DeleteFunc(l.history[in.Name], func(a announcement) bool { return now.Sub(a.at) > l.retention })
	l.history[in.Name] = append(announcements, announcement{at: now, instance: in})
}

// list returns the instances, sorted by name, that were listed at now minus lag.
func (l *instanceList) list(now time.Time, lag time.Duration) []magnolialedge.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := now.Add(-lag)
	out := []magnolialedge.Instance{}
	for _, announcements := range l.history {
		if a, ok := lastAnnouncement(announcements, asOf); ok && asOf.Sub(a.at) <= announcementTTL {
			out = append(out, a.instance)
		}
	}
	slices.SortFunc(out, func(a, b magnolialedge.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func lastAnnouncement(announcements []announcement, asOf time.Time) (announcement, bool) {
	for _, a := range slices.Backward(announcements) {
		if !a.at.After(asOf) {
			return a, true
		}
	}
	return announcement{}, false
}
