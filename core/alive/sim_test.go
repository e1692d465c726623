package alive

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"magnolialedge"
)

// simTick is the interval at which a simulation compares what the entries hold with the truth.
const simTick = 50 * time.Millisecond

// simEntry is an entry of a simulation.
type simEntry struct {
	magnolialedge.Instance
	table *Table
	// offUntil and pausedUntil are when the entry runs again; it neither responds nor asks before.
	offUntil, pausedUntil time.Duration
	// silentFrom is when it became silent.
	silentFrom time.Duration
	// returnedAt is when it responded again, or when it started.
	returnedAt time.Duration
}

// sim is a fleet on a simulated clock.
type sim struct {
	timing  Timing
	start   time.Time
	now     time.Duration
	rand    *rand.Rand
	entries []*simEntry
	byName  map[string]*simEntry
	events  simEvents
	// loss is the fraction of requests that get no response, and cut tells whether the
	// request of one entry to another gets none.
	loss float64
	cut  func(from, to *simEntry) bool
	// bytes counts the bytes of digests between zones and regions, and requests all requests.
	requests, bytes, zoneBytes, regionBytes int
}

type simEvent struct {
	at time.Duration
	f  func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newSim returns a fleet of n entries in three regions of three zones each (two with few
// entries), which all start together.
func newSim(n int, seed uint64) *sim {
	s := &sim{timing: TimingFor(2500 * time.Millisecond), start: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, seed)), cut: func(_, _ *simEntry) bool { return false }, byName: map[string]*simEntry{}}
	zones := 3
	if n < 30 {
		zones = 2
	}
	for i := range n {
		e := &simEntry{Instance: magnolialedge.Instance{Name: fmt.Sprintf("e%03d", i), Region: fmt.Sprint(i % 3), Zone: fmt.Sprint(i%3, "-", i/3%zones), StartedAt: 1}}
		s.entries, s.byName[e.Name] = append(s.entries, e), e
		s.startRun(e)
	}
	return s
}

func (s *sim) clock() time.Time { return s.start.Add(s.now) }

func (s *sim) at(delay time.Duration, f func()) {
	heap.Push(&s.events, simEvent{s.now + delay, f})
}

// startRun starts a run of an entry, which knows nothing.
func (s *sim) startRun(e *simEntry) {
	table := NewTable(Config{Self: e.Instance, Timing: s.timing, Random: s.rand.IntN})
	e.table, e.returnedAt = table, s.now
	s.at(time.Duration(s.rand.Int64N(int64(s.timing.Interval))), func() { s.round(e, table) })
}

func (e *simEntry) isRunning(now time.Duration) bool {
	return now >= e.offUntil && now >= e.pausedUntil
}

// silence makes an entry silent for a time; without power it starts anew afterwards.
func (s *sim) silence(e *simEntry, d time.Duration, off bool) {
	e.silentFrom = s.now
	if !off {
		e.pausedUntil = s.now + d
		s.at(d, func() { e.returnedAt = s.now })
		return
	}
	e.offUntil = s.now + d
	s.at(d, func() {
		e.StartedAt++
		s.startRun(e)
	})
}

func (s *sim) listed() []magnolialedge.Instance {
	var out []magnolialedge.Instance
	for _, e := range s.entries {
		out = append(out, e.Instance)
	}
	return out
}

// round is one round of an entry. A paused entry makes it when it runs again.
func (s *sim) round(e *simEntry, table *Table) {
	if e.table != table || s.now < e.offUntil {
		return
	}
	if s.now < e.pausedUntil {
		s.at(e.pausedUntil-s.now, func() { s.round(e, table) })
		return
	}
	table.SetEntries(s.clock(), s.listed())
	table.Judge(s.clock())
	for _, request := range table.Next(s.clock()) {
		s.ask(e, table, request)
	}
	jitter := time.Duration(s.rand.Int64N(int64(s.timing.Interval / 5)))
	s.at(s.timing.Interval*9/10+jitter, func() { s.round(e, table) })
}

func (s *sim) entry(name string) *simEntry { return s.byName[name] }

// ask simulates one request and its response.
func (s *sim) ask(from *simEntry, table *Table, request Request) {
	to := s.entry(request.To.Name)
	s.send(from, table, request, func(respond func()) {
		if to.table.IsSilent(from.Name) {
			s.ask(to, to.table, Request{To: from.Instance})
		}
		if request.About == "" {
			respond()
			return
		}
		about := s.entry(request.About)
		s.send(to, to.table, Request{To: about.Instance}, func(f func()) { f() })
		s.at(2*latency(to, about)+time.Millisecond, respond)
	})
}

func latency(a, b *simEntry) time.Duration {
	if a.Region != b.Region {
		return 20 * time.Millisecond
	}
	return time.Millisecond
}

// send simulates a request that serve handles at its receiver.
func (s *sim) send(from *simEntry, table *Table, request Request, serve func(respond func())) {
	to, sent := s.entry(request.To.Name), s.clock()
	s.requests++
	done := func(f func(now time.Time)) {
		s.at(max(0, from.pausedUntil-s.now), func() {
			if from.table == table && s.now >= from.offUntil {
				f(s.clock())
			}
		})
	}
	s.at(latency(from, to), func() {
		if !to.isRunning(s.now) || s.rand.Float64() < s.loss || s.cut(from, to) {
			s.at(s.timing.Timeout, func() { done(func(now time.Time) { table.Failed(now, sent, to.Name) }) })
			return
		}
		serve(func() {
			digest := to.table.Digest(s.clock(), from.Name, request)
			s.count(from, to, len(digest))
			s.at(latency(from, to), func() { done(func(now time.Time) { table.Merge(now, sent, to.Name, digest) }) })
		})
	})
}

// overheadBytes is the size of the headers of a request and its response.
const overheadBytes = 200

func (s *sim) count(from, to *simEntry, digest int) {
	n := digest + overheadBytes
	s.bytes += n
	switch {
	case from.Region != to.Region:
		s.regionBytes += n
	case from.Zone != to.Zone:
		s.zoneBytes += n
	}
}

// run runs the simulation for a time and calls check at each tick.
func (s *sim) run(d time.Duration, check func()) {
	end := s.now + d
	for tick := s.now; tick < end; tick += simTick {
		for len(s.events) > 0 && s.events[0].at <= tick {
			e := heap.Pop(&s.events).(simEvent)
			s.now = e.at
			e.f()
		}
		s.now = tick
		check()
	}
}
