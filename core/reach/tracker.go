package reach

import (
	"maps"
	"slices"
	"time"
)

const (
	// failuresToLose is the number of upstreams of a service that must fail without any
	// response in between until the links to the service count as lost. A service with
	// fewer upstreams needs all of them.
	failuresToLose = 3
	// failuresToIsolate is the same for all services together.
	failuresToIsolate = 4
	// minUpstreamsToIsolate is the number of upstreams of all services below which an
	// entry cannot tell its own fault from that of an upstream.
	minUpstreamsToIsolate = 2
	// zonesToLose is the number of availability zones of these upstreams, unless all are
	// in one: the loss of a zone is not the loss of the entry's links.
	zonesToLose = 2
	// failureMemory is how long a failure counts.
	failureMemory = 5 * time.Second
	// responsesToReturn is the number of upstreams of a service that must respond until
	// requests return to it. A service with fewer upstreams needs all of them.
	responsesToReturn = 2
	// minLossTime is the shortest time for which links count as lost. It doubles with each
	// loss that follows within stableTime, up to maxLossTime, so that a link that comes
	// and goes does not move requests each time.
	minLossTime = 400 * time.Millisecond
	maxLossTime = 6 * time.Second
	stableTime  = 10 * time.Second
	// unprovenReturnTime is the time after which requests return to a service of which no
	// upstream may be probed.
	unprovenReturnTime = 2 * time.Second
	// returnTime is the time over which requests return by degrees, and firstReturnShare
	// the share that returns at once.
	returnTime       = time.Second
	firstReturnShare = 0.1
)

// State is what an entry believes about its links to the upstreams of a service.
type State int

const (
	// Reached means that the upstreams can be reached.
	Reached State = iota
	// Lost means that they cannot be reached from this entry.
	Lost
	// Returning means that they can be reached again, and a growing share of the requests
	// is sent to them.
	Returning
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"reached", "lost", "returning"}[s]
}

// Upstream identifies an upstream and its place.
type Upstream struct {
	ID      string
	Service string
	Zone    string
}

// Census is the number of upstreams, and of the availability zones that have any.
type Census struct {
	Upstreams int
	Zones     int
}

// Change is a change of the state of a service.
type Change struct {
	Service string
	State   State
	// Failed is the number of upstreams that failed, and ResponseAge the time since any
	// upstream of the service responded, or -1 if none has.
	Failed      int
	ResponseAge time.Duration
}

// Tracker tracks the links of an entry to the upstreams of each service, by the responses
// and failures of its own requests and probes. It is not safe for concurrent use.
type Tracker struct {
	services map[string]*service
	// failures holds the failures at any service since the last response of any.
	failures failures
	// isIsolated is set from the time at which the entry reaches no upstream until a
	// service is reached again.
	isIsolated bool
}

// service is the state of the links to the upstreams of one service.
type service struct {
	state    State
	failures failures
	// responded holds the upstreams that have responded since the links were lost.
	responded map[string]bool
	// respondedAt is the time of the last response, or zero.
	respondedAt time.Time
	// changedAt is the time of the last change of the state.
	changedAt time.Time
	lossTime  time.Duration
	// credit is the part of a request that may still be sent while requests return.
	credit float64
}

// failures holds the upstreams that failed since the last response, with the times.
type failures map[string]failure

type failure struct {
	zone string
	at   time.Time
}

// NewTracker returns a Tracker for which all services are reached.
func NewTracker() *Tracker {
	return &Tracker{services: map[string]*service{}, failures: failures{}}
}

func (t *Tracker) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{failures: failures{}, responded: map[string]bool{}, lossTime: minLossTime}
		t.services[name] = s
	}
	return s
}

// StateAt returns the state of the links to a service.
func (t *Tracker) StateAt(now time.Time, name string) State {
	s, ok := t.services[name]
	if !ok {
		return Reached
	}
	if s.state == Returning && now.Sub(s.changedAt) >= returnTime {
		return Reached
	}
	return s.state
}

// IsIsolated reports whether the entry reaches no upstream of any service.
func (t *Tracker) IsIsolated() bool {
	return t.isIsolated
}

// AllowsDirect reports whether the next request for a service is sent to its upstreams
// by this entry. While requests return, it allows a growing share of them.
func (t *Tracker) AllowsDirect(now time.Time, name string) bool {
	state := t.StateAt(now, name)
	if state != Returning {
		return state == Reached
	}
	s := t.services[name]
	progress := float64(now.Sub(s.changedAt)) / float64(returnTime)
	s.credit += max(firstReturnShare, progress)
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// RecordFailure records that an upstream did not respond or that no connection to it
// could be opened. service and all are the numbers of upstreams of its service and of all
// services. It returns the services whose state changed.
func (t *Tracker) RecordFailure(now time.Time, u Upstream, service, all Census) []Change {
	s := t.service(u.Service)
	s.failures.add(now, u)
	t.failures.add(now, u)
	var changes []Change
	if s.failures.exceed(failuresToLose, service) {
		changes = t.lose(now, u.Service, changes)
	}
	if !t.isIsolated && all.Upstreams >= minUpstreamsToIsolate && t.failures.exceed(failuresToIsolate, all) {
		t.isIsolated = true
		for _, name := range slices.Sorted(maps.Keys(t.services)) {
			changes = t.lose(now, name, changes)
		}
	}
	return changes
}

// lose changes the state of a service to Lost, and appends the change unless it was.
func (t *Tracker) lose(now time.Time, name string, changes []Change) []Change {
	s := t.services[name]
	state := t.StateAt(now, name)
	s.responded = map[string]bool{}
	if state == Lost {
		return changes
	}
	switch {
	case s.changedAt.IsZero() || now.Sub(s.changedAt) > stableTime:
		s.lossTime = minLossTime
	default:
		s.lossTime = min(2*s.lossTime, maxLossTime)
	}
	s.state, s.changedAt = Lost, now
	return append(changes, s.change(now, name))
}

// RecordResponse records that an upstream responded on a connection that was opened at
// openedAt. census, the number of upstreams of its service, matters only while the service
// is lost. It returns the change of the service's state, and false if there is none.
func (t *Tracker) RecordResponse(now, openedAt time.Time, u Upstream, census Census) (Change, bool) {
	s := t.service(u.Service)
	s.respondedAt = now
	switch t.StateAt(now, u.Service) {
	case Reached:
		clear(s.failures)
		clear(t.failures)
		t.isIsolated = false
		return Change{}, false
	case Returning:
		clear(s.failures)
		clear(t.failures)
		return Change{}, false
	}
	// Connections from before the loss may live on while no new ones can be opened.
	if openedAt.Before(s.changedAt) {
		return Change{}, false
	}
	s.responded[u.ID] = true
	clear(s.failures)
	if len(s.responded) < min(responsesToReturn, max(1, census.Upstreams)) || now.Sub(s.changedAt) < s.lossTime {
		return Change{}, false
	}
	return t.beginReturn(now, u.Service), true
}

// ReturnUnproven lets requests return, some time after the loss, to a service that cannot
// be probed.
func (t *Tracker) ReturnUnproven(now time.Time, name string) (Change, bool) {
	switch t.StateAt(now, name) {
	case Lost:
		if now.Sub(t.services[name].changedAt) >= unprovenReturnTime {
			return t.beginReturn(now, name), true
		}
	case Reached:
		t.isIsolated = false
	}
	return Change{}, false
}

func (t *Tracker) beginReturn(now time.Time, name string) Change {
	s := t.service(name)
	s.state, s.changedAt, s.credit = Returning, now, 0
	clear(s.failures)
	clear(t.failures)
	return s.change(now, name)
}

func (s *service) change(now time.Time, name string) Change {
	c := Change{Service: name, State: s.state, Failed: len(s.failures), ResponseAge: -1}
	if !s.respondedAt.IsZero() {
		c.ResponseAge = now.Sub(s.respondedAt)
	}
	return c
}

func (f failures) add(now time.Time, u Upstream) {
	maps.DeleteFunc(f, func(_ string, x failure) bool { return now.Sub(x.at) > failureMemory })
	f[u.ID] = failure{zone: u.Zone, at: now}
}

// exceed reports whether as many upstreams failed as are required, in as many zones.
func (f failures) exceed(required int, census Census) bool {
	zones := map[string]bool{}
	for _, x := range f {
		zones[x.zone] = true
	}
	return len(f) >= min(required, max(1, census.Upstreams)) && len(zones) >= min(zonesToLose, max(1, census.Zones))
}
