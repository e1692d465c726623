package acct

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"magnolialedge"
)

// simEvent is something that happens at a time of the virtual clock.
type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simEntry is one entry of a simulation.
type simEntry struct {
	magnolialedge.Instance
	index     int
	holder    *Holder
	scheduler *DrawScheduler
	granter   *Granter
	// waiters holds the times at which waiting requests arrived.
	waiters     []time.Time
	dead        bool
	pausedUntil time.Time
}

// sim runs entries with one account on one virtual clock.
type sim struct {
	rng     *rand.Rand
	now     time.Time
	seq     int
	queue   simQueue
	entries []*simEntry
	// names caches the candidates.
	names []string
	limit Limit
	bound Bound
	// isCut reports whether two entries do not reach each other, and lossRatio is the part
	// of the messages that are lost, and as many repeated and delayed.
	isCut     func(a, b *simEntry) bool
	lossRatio float64
	// isKnown reports whether an entry lists another one. If it is nil, all list all.
	isKnown func(viewer, e *simEntry) bool
	// decide decides on a request instead of the credits, unless it is nil.
	decide func(e *simEntry) bool

	admitted []time.Time
	// mostOutstanding is the largest number of credits that the holders had at a time.
	mostOutstanding int
	countFrom       int
	central         int
	centralBucket   *bucketOfAll
	sent            int
	refused         int
	unavailable     int
	waited          int
	messages        int
	maxWait         time.Duration
	byEntry         map[string]*[2]int
}

// bucketOfAll is a token bucket that sees all requests at once.
type bucketOfAll struct {
	limit  Limit
	tokens float64
	at     time.Time
}

func (b *bucketOfAll) take(now time.Time) bool {
	b.tokens = min(b.limit.Burst, b.tokens+now.Sub(b.at).Seconds()*b.limit.Rate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

var simStart = time.Unix(1_800_000_000, 0)

var testBound = Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

const testAccount = "account"

func newSim(seed uint64, n int, rate float64) *sim {
	limit := Limit{Version: 1, Rate: rate, Burst: max(1, rate)}
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: simStart, limit: limit, bound: testBound,
		isCut:         func(a, b *simEntry) bool { return false },
		centralBucket: &bucketOfAll{limit: limit, tokens: limit.Burst, at: simStart},
		byEntry:       map[string]*[2]int{},
	}
	for i := range n {
		s.entries = append(s.entries, &simEntry{index: i, Instance: magnolialedge.Instance{
			Name: fmt.Sprintf("e%03d", i), Region: fmt.Sprint("r", i%3), Zone: fmt.Sprint("z", i%6), Protocol: 1}})
		s.start(s.entries[i])
	}
	return s
}

// start begins a new run of an entry.
func (s *sim) start(e *simEntry) {
	e.StartedAt = s.now.UnixMilli()
	run := Run{Name: e.Name, StartedAt: e.StartedAt}
	e.dead, e.waiters = false, nil
	e.holder = NewHolder(run)
	e.scheduler = NewDrawScheduler(e.holder)
	e.granter = NewGranter(s.now, run, s.bound)
	s.tick(e, run)
}

// tick renews credits and votes while the run lasts.
func (s *sim) tick(e *simEntry, run Run) {
	s.after(50*time.Millisecond, func() {
		if e.dead || run.StartedAt != e.StartedAt {
			return
		}
		s.whenRunning(e, func() {
			s.sendBallots(e, e.granter.Renew(s.now, s.viewOf(e)))
			s.ask(e)
		})
		s.tick(e, run)
	})
}

// whenRunning runs f now, or at the end of a pause of e.
func (s *sim) whenRunning(e *simEntry, f func()) {
	run := e.StartedAt
	s.after(max(0, e.pausedUntil.Sub(s.now)), func() {
		if !e.dead && e.StartedAt == run {
			f()
		}
	})
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), seq: s.seq, run: f})
}

// runFor runs the events of the next d.
func (s *sim) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// viewOf returns the function that returns the candidates of an account as an entry lists
// them.
func (s *sim) viewOf(viewer *simEntry) func(account string) []string {
	if s.isKnown == nil {
		return s.candidates
	}
	return func(account string) []string {
		var all []magnolialedge.Instance
		for _, e := range s.entries {
			if e == viewer || s.isKnown(viewer, e) {
				all = append(all, e.Instance)
			}
		}
		var names []string
		for _, in := range Candidates(all, account) {
			names = append(names, in.Name)
		}
		return names
	}
}

// candidates returns the candidates among all entries that are listed. Dead entries stay
// listed.
func (s *sim) candidates(account string) []string {
	if s.names == nil {
		var all []magnolialedge.Instance
		for _, e := range s.entries {
			all = append(all, e.Instance)
		}
		for _, in := range Candidates(all, account) {
			s.names = append(s.names, in.Name)
		}
	}
	return s.names
}

func (s *sim) find(name string) *simEntry {
	index, _ := strconv.Atoi(strings.TrimPrefix(name, "e"))
	return s.entries[index]
}

func (s *sim) delay(a, b *simEntry) time.Duration {
	switch {
	case a == b:
		return 0
	case a.Region != b.Region:
		return 20 * time.Millisecond
	}
	return 1400 * time.Microsecond
}

// deliver runs f at another entry after the delay of a message, unless it is lost.
func (s *sim) deliver(from, to *simEntry, f func()) {
	s.messages++
	if s.isCut(from, to) || (from != to && s.rng.Float64() < s.lossRatio) {
		return
	}
	d := s.delay(from, to)
	if from != to && s.rng.Float64() < s.lossRatio {
		s.after(d+time.Duration(s.rng.Int64N(int64(3*time.Second))), func() { s.whenRunning(to, f) })
	}
	if from != to && s.rng.Float64() < s.lossRatio {
		d += time.Duration(s.rng.Int64N(int64(2 * time.Second)))
	}
	s.after(d, func() { s.whenRunning(to, f) })
}

// arrive handles a request of a caller.
func (s *sim) arrive(e *simEntry) {
	s.sent++
	if s.centralBucket.take(s.now) {
		s.central++
	}
	s.servedBy(e)[0]++
	if e.dead || e.pausedUntil.After(s.now) {
		s.unavailable++
		return
	}
	if s.decide != nil {
		if s.decide(e) {
			s.admit(e)
		}
		return
	}
	switch v, _ := e.holder.Take(s.now, testAccount); v {
	case Admitted:
		s.admit(e)
	case Refused:
		s.refused++
	case Waiting:
		s.waited++
		e.waiters = append(e.waiters, s.now)
		arrived := s.now
		s.after(AskTimeout, func() { s.giveUp(e, arrived) })
	}
	s.ask(e)
}

// servedBy returns the numbers of requests sent to an entry and admitted there.
func (s *sim) servedBy(e *simEntry) *[2]int {
	if s.byEntry[e.Name] == nil {
		s.byEntry[e.Name] = &[2]int{}
	}
	return s.byEntry[e.Name]
}

func (s *sim) admit(e *simEntry) {
	s.admitted = append(s.admitted, s.now)
	s.servedBy(e)[1]++
}

func (s *sim) giveUp(e *simEntry, arrived time.Time) {
	for i, at := range e.waiters {
		if at.Equal(arrived) {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			e.holder.Abandon(testAccount)
			s.unavailable++
			return
		}
	}
}

// wake decides again on the waiting requests.
func (s *sim) wake(e *simEntry) {
	waiters := e.waiters
	e.waiters = nil
	for _, at := range waiters {
		switch v, _ := e.holder.Resume(s.now, testAccount); v {
		case Admitted:
			s.maxWait = max(s.maxWait, s.now.Sub(at))
			s.admit(e)
		case Refused:
			s.refused++
		case Waiting:
			e.waiters = append(e.waiters, at)
		}
	}
}

// load sends requests at a rate to entries that choose picks, as a Poisson process.
func (s *sim) load(rate float64, d time.Duration, choose func() *simEntry) {
	end := s.now.Add(d)
	var next func()
	next = func() {
		if s.now.After(end) {
			return
		}
		s.arrive(choose())
		s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.after(0, next)
}

// uneven returns a choice of entries whose weights differ by a factor of ten and move to
// other entries every few seconds.
func (s *sim) uneven() func() *simEntry {
	const move = 4 * time.Second
	return func() *simEntry {
		u := s.rng.Float64()
		shift := int(s.now.Sub(simStart)/move) * len(s.entries) / 5
		return s.entries[(int(u*u*float64(len(s.entries)))+shift)%len(s.entries)]
	}
}

// resetCounts makes the comparison with the central bucket begin now. Both have what the
// load has left in their buckets.
func (s *sim) resetCounts() {
	s.sent, s.central, s.refused, s.unavailable, s.waited, s.messages, s.maxWait = 0, 0, 0, 0, 0, 0, 0
	s.countFrom = len(s.admitted)
	clear(s.byEntry)
}

// admittedCount returns the number of requests that were admitted since resetCounts.
func (s *sim) admittedCount() int {
	return len(s.admitted) - s.countFrom
}

// worstWindow returns the largest number of admitted requests in any window of the bound.
func (s *sim) worstWindow() int {
	return s.mostWithin(s.bound.Window)
}

// mostWithin returns the largest number of admitted requests in any window.
func (s *sim) mostWithin(window time.Duration) int {
	most, first := 0, 0
	for i, at := range s.admitted {
		for at.Sub(s.admitted[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
