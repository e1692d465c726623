package pick

import (
	"cmp"
	"slices"
	"time"

	"magnolialedge"
)

// UnreadUpstreams returns at most limit usable upstreams of the services of which the
// entry knows nothing but the registration, in the order in which requests would use them:
// the services take turns, and of each the entry's own zone is first. Other regions come
// in only for a service without upstreams in the entry's own.
func (f *Fleet) UnreadUpstreams(now time.Time, services []string, limit int) []magnolialedge.Registration {
	var byService [][]magnolialedge.Registration
	for _, name := range services {
		byService = append(byService, f.unreadOf(now, name))
	}
	var out []magnolialedge.Registration
	for i := 0; ; i++ {
		isEnd := true
		for _, unread := range byService {
			if len(out) == limit {
				return out
			}
			if i < len(unread) {
				out = append(out, unread[i])
				isEnd = false
			}
		}
		if isEnd {
			return out
		}
	}
}

// unreadOf returns the unread upstreams of one service.
func (f *Fleet) unreadOf(now time.Time, service string) []magnolialedge.Registration {
	hasLocal := f.hasLocalUpstream(now, Request{Service: service})
	p := filter{now: now}
	var unread []*upstream
	for _, u := range f.byService[service] {
		if u.isUnread() && p.isUsable(u) && p.mayProbe(u) && (u.distance != otherRegion || !hasLocal) {
			unread = append(unread, u)
		}
	}
	f.rand.Shuffle(len(unread), func(i, j int) { unread[i], unread[j] = unread[j], unread[i] })
	slices.SortStableFunc(unread, func(a, b *upstream) int { return cmp.Compare(a.distance, b.distance) })
	out := make([]magnolialedge.Registration, 0, len(unread))
	for _, u := range unread {
		out = append(out, u.Registration)
	}
	return out
}

// isUnread reports whether nothing is known of the upstream but its registration.
func (u *upstream) isUnread() bool {
	return u.loadReadAt.IsZero() && u.lastSeenAt.IsZero() && u.probeSentAt.IsZero() && u.backoff == 0
}
