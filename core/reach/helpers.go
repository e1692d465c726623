package reach

import (
	"maps"
	"slices"
	"time"
)

const (
	// preferredHelpers is the number of leading helpers among which the requests are
	// spread. The others are used only while these do not help.
	preferredHelpers = 2
	// declineTime is how long an entry that declined a request of a service, or could not
	// be reached, gets no further ones. An entry that lost its own links declines all.
	declineTime = 500 * time.Millisecond
)

// Helpers spreads requests over the entries that may serve them in place of this one. It
// is not safe for concurrent use.
type Helpers struct {
	inFlight map[string]int
	// avoidUntil holds until when a helper gets no requests of a service.
	avoidUntil map[helperService]time.Time
}

type helperService struct {
	helper, service string
}

// NewHelpers returns Helpers without any requests.
func NewHelpers() *Helpers {
	return &Helpers{inFlight: map[string]int{}, avoidUntil: map[helperService]time.Time{}}
}

// Pick returns the helper for a request of a service, and counts the request as in flight
// there until End. ranked holds the names of all helpers, best first, and tried those
// that the request was handed to before. Pick returns false if none is left.
func (h *Helpers) Pick(now time.Time, service string, ranked, tried []string) (string, bool) {
	var available []string
	for _, name := range ranked {
		if slices.Contains(tried, name) || now.Before(h.avoidUntil[helperService{name, service}]) {
			continue
		}
		available = append(available, name)
		if len(available) == preferredHelpers {
			break
		}
	}
	if len(available) == 0 {
		return "", false
	}
	best := slices.MinFunc(available, func(a, b string) int { return h.inFlight[a] - h.inFlight[b] })
	h.inFlight[best]++
	return best, true
}

// End records that a request that Pick counted has ended.
func (h *Helpers) End(name string) {
	h.inFlight[name]--
	if h.inFlight[name] <= 0 {
		delete(h.inFlight, name)
	}
}

// Avoid records that a helper declined a request of a service or could not be reached.
func (h *Helpers) Avoid(now time.Time, name, service string) {
	maps.DeleteFunc(h.avoidUntil, func(_ helperService, until time.Time) bool { return !now.Before(until) })
	h.avoidUntil[helperService{name, service}] = now.Add(declineTime)
}
