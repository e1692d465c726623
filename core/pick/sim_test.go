package pick_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"magnolialedge"
	"magnolialedge/core/admit"
	"magnolialedge/core/pick"
	"magnolialedge/core/proc"
)

const (
	simTarget   = 250 * time.Millisecond
	simDeadline = time.Second
	simService  = 60 * time.Millisecond
	simPoll     = 15 * time.Millisecond
)

var simStart = time.Unix(1_800_000_000, 0)

// simSource is a stream of requests of one account and priority, at a rate per second
// that depends on the time since the start.
type simSource struct {
	account  string
	priority int
	rate     func(time.Duration) float64
}

// simConfig describes a run of the experiment.
type simConfig struct {
	seed                   uint64
	entries, upstreamCount int
	slots                  int
	length                 time.Duration
	sources                []simSource
	// rejects is the fraction of the requests that each upstream rejects although it has
	// free slots.
	rejects func(time.Duration) float64
	// isToday leaves out what this part adds: accounts and priorities of retries.
	isToday bool
	// hasOracle lets an all-knowing picker serve the requests.
	hasOracle bool
}

// simCount counts the requests of a kind, and those with a response in time and at all.
type simCount struct {
	all, inTime, served, refused int
	// wastedWait is the time that refused requests waited.
	wastedWait time.Duration
}

func (c simCount) share() float64 { return float64(c.inTime) / float64(max(1, c.all)) }

// meanWaste returns the mean time that refused requests waited.
func (c simCount) meanWaste() time.Duration { return c.wastedWait / time.Duration(max(1, c.refused)) }

// sim runs the decisions of the core at several entries on a virtual clock.
type sim struct {
	simConfig
	now    time.Time
	events simEvents
	seq    int
	// rand draws the requests and rejections the rejections, so that runs of one seed
	// have the same requests.
	rand       *rand.Rand
	rejections *rand.Rand
	entries    []*simEntry
	upstreams  map[string]*simUpstream
	oracle     *oracle
	byAccount  map[string]*simCount
	byRank     map[int]*simCount
	total      simCount
	retries    int
	// gateRefusedAt is the time of the last request that a gate refused.
	gateRefusedAt time.Duration
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), seq: s.seq, run: run})
}

type simEntry struct {
	*sim
	fleet    *pick.Fleet
	queue    pick.Queue
	retries  *proc.RatioBudget
	gate     admit.Gate
	isPolled bool
}

// simUpstream runs as many requests as it has slots, and lets as many wait.
type simUpstream struct {
	running int
	waiting []func()
}

type simRequest struct {
	pick.Request
	entry     *simEntry
	turn      pick.Turn
	service   time.Duration
	sent      int
	arrivedAt time.Time
	counts    []*simCount
}

// runSim returns the counts of a run.
func runSim(cfg simConfig) *sim {
	s := &sim{simConfig: cfg, now: simStart, rand: rand.New(rand.NewPCG(cfg.seed, 7)), rejections: rand.New(rand.NewPCG(cfg.seed, 8)), upstreams: map[string]*simUpstream{}, byAccount: map[string]*simCount{}, byRank: map[int]*simCount{}}
	for i := range cfg.upstreamCount {
		s.upstreams[fmt.Sprint("u", i)] = &simUpstream{}
	}
	s.oracle = &oracle{sim: s, free: cfg.upstreamCount * cfg.slots}
	limits := proc.RetryLimits{Ratio: 0.2, Extra: 50}
	for i := range cfg.entries {
		e := &simEntry{sim: s, fleet: pick.NewFleet(pick.Config{Zone: "a", Seed: cfg.seed + uint64(i)}), retries: limits.NewRetryBudget(cfg.entries)}
		for j := range cfg.upstreamCount {
			e.fleet.Register(s.now, magnolialedge.Registration{ID: fmt.Sprint("u", j), Service: "s", Zone: "a", Slots: cfg.slots})
		}
		s.entries = append(s.entries, e)
	}
	for _, source := range cfg.sources {
		s.next(source)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

// next schedules the next request of a source, by thinning at a constant rate.
func (s *sim) next(source simSource) {
	const peak = 4
	mean := source.rate(0) * peak
	s.after(time.Duration(s.rand.ExpFloat64()/mean*float64(time.Second)), func() {
		elapsed := s.now.Sub(simStart)
		if elapsed > s.length {
			return
		}
		s.next(source)
		if s.rand.Float64()*mean < source.rate(elapsed) {
			s.arrive(source)
		}
	})
}

func count[K comparable](m map[K]*simCount, key K) *simCount {
	if m[key] == nil {
		m[key] = &simCount{}
	}
	return m[key]
}

func (s *sim) arrive(source simSource) {
	r := &simRequest{
		Request: pick.Request{
			Service: "s", Route: "r", Idempotent: true, Account: source.account, Priority: source.priority,
			SoftDeadline: s.now.Add(simTarget), LatencyTarget: simTarget, Deadline: s.now.Add(simDeadline),
		},
		entry:     s.entries[s.rand.IntN(len(s.entries))],
		service:   time.Duration((0.5 + s.rand.Float64()) * float64(simService)),
		arrivedAt: s.now,
		counts:    []*simCount{&s.total, count(s.byAccount, source.account), count(s.byRank, source.priority)},
	}
	if s.isToday {
		r.Account = ""
	}
	for _, c := range r.counts {
		c.all++
	}
	if s.hasOracle {
		s.oracle.arrive(r)
		return
	}
	r.entry.retries.Deposit()
	r.entry.gate.Record(s.now, admit.Rank{Route: r.Priority})
	r.entry.try(r)
}

// try sends a request, or queues it.
func (e *simEntry) try(r *simRequest) {
	if !e.now.Before(r.Deadline) {
		return
	}
	found := e.freshCandidates(r)
	if len(found) == 0 || (e.queue.HasTurns() && e.queue.Len() > 0 && !r.turn.IsTaken()) {
		e.wait(r, len(found) > 0)
		return
	}
	e.fleet.BeginAttempt(e.now, found[0].ID)
	e.gate.RecordStart(e.now)
	e.queue.TakeTurn(e.fleet, r.Request, &r.turn)
	r.turn = pick.Turn{}
	r.sent++
	e.after(500*time.Microsecond, func() { e.reach(r, found[0]) })
}

// freshCandidates reads the load of candidates with old readings, as io/serve does.
func (e *simEntry) freshCandidates(r *simRequest) []pick.Candidate {
	found, _ := e.fleet.Candidates(e.now, r.Request, 3)
	for round := 0; round < 3 && len(found) > 0 && !found[0].IsFresh(e.now); round++ {
		for _, c := range found {
			e.readLoad(c.ID)
		}
		found, _ = e.fleet.Candidates(e.now, r.Request, 3)
	}
	return found
}

func (e *simEntry) wait(r *simRequest, hasCandidate bool) {
	w := &pick.Waiter{Request: r.Request, EnqueuedAt: e.now, Turn: r.turn}
	w.Wake = func(reason pick.WakeReason) {
		r.turn = w.Turn
		if reason == pick.WakeTimedOut {
			r.refuse()
			return
		}
		e.after(0, func() { e.try(r) })
	}
	if !e.isToday && !hasCandidate && !e.gate.Admits(e.now, e.queue.AdmissionRequest(e.now, w, e.fleet)) {
		e.gateRefusedAt = e.now.Sub(simStart)
		r.refuse()
		return
	}
	if !e.queue.Push(e.now, w, e.fleet) {
		r.refuse()
		return
	}
	if e.queue.HasTurns() {
		e.queue.Dispatch(e.now, e.fleet)
	}
	e.gate.RecordWaiting(e.now, e.queue.Len())
	e.poll()
}

// poll reads loads and dispatches while requests wait.
func (e *simEntry) poll() {
	if e.isPolled || e.queue.Len() == 0 {
		return
	}
	e.isPolled = true
	e.after(simPoll, func() {
		e.isPolled = false
		for _, u := range e.fleet.StaleUpstreams(e.now, "s", 3) {
			e.readLoad(u.ID)
		}
		e.dispatch()
		e.poll()
	})
}

func (e *simEntry) dispatch() {
	e.queue.Dispatch(e.now, e.fleet)
	e.gate.RecordWaiting(e.now, e.queue.Len())
}

func (r *simRequest) recordServed() {
	for _, c := range r.counts {
		c.served++
		if !r.entry.now.After(r.SoftDeadline) {
			c.inTime++
		}
	}
}

// refuse records the time that the request waited in vain.
func (r *simRequest) refuse() {
	for _, c := range r.counts {
		c.refused++
		c.wastedWait += r.entry.now.Sub(r.arrivedAt)
	}
}

func (e *simEntry) readLoad(id string) {
	u := e.upstreams[id]
	e.fleet.RecordLoad(e.now, id, magnolialedge.LoadReading{Running: u.running, Waiting: len(u.waiting), Slots: e.slots, Slowdown: 1})
}

// reach begins a request at an upstream, which rejects it if it is full.
func (e *simEntry) reach(r *simRequest, c pick.Candidate) {
	u := e.upstreams[c.ID]
	isRejected := e.rejects != nil && e.rejections.Float64() < e.rejects(e.now.Sub(simStart))
	switch {
	case isRejected || len(u.waiting) >= e.slots:
		e.after(500*time.Microsecond, func() { e.end(r, c, time.Millisecond, pick.AttemptRefused) })
	case u.running >= e.slots:
		u.waiting = append(u.waiting, func() { e.execute(r, c) })
	default:
		e.execute(r, c)
	}
}

// execute runs a request at an upstream, and then the next one that waits there.
func (e *simEntry) execute(r *simRequest, c pick.Candidate) {
	u, begun := e.upstreams[c.ID], e.now
	u.running++
	e.after(r.service, func() {
		u.running--
		e.after(500*time.Microsecond, func() { e.end(r, c, e.now.Sub(begun)+time.Millisecond, pick.AttemptSucceeded) })
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			next()
		}
	})
}

// end records the end of an attempt, and sends the request again if it was rejected.
func (e *simEntry) end(r *simRequest, c pick.Candidate, took time.Duration, status pick.AttemptStatus) {
	e.fleet.EndAttempt(e.now, pick.AttemptResult{UpstreamID: c.ID, Request: r.Request, Duration: took, Slowdown: c.Slowdown, TookLastSlot: c.TakesLastSlot, Status: status})
	e.readLoad(c.ID)
	e.dispatch()
	if status == pick.AttemptSucceeded {
		r.recordServed()
		return
	}
	if r.sent < 3 && e.takeRetry(r) {
		e.sim.retries++
		r.Tried = append(r.Tried, c.ID)
		e.try(r)
		return
	}
	r.refuse()
}

func (e *simEntry) takeRetry(r *simRequest) bool {
	isUrgent := e.gate.IsMostUrgent(e.now, admit.Rank{Route: r.Priority}) && e.fleet.CanMeetTarget(e.now, r.Request)
	if e.isToday || isUrgent || !e.gate.HasSeveral(e.now) {
		return e.retries.Withdraw()
	}
	return e.retries.WithdrawUnreserved()
}
