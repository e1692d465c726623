package mirror

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Bounds of the steps outside this package, for an entry in another region.
const (
	// roundTrip is the time of a call between regions.
	roundTrip = 50 * time.Millisecond
	// callTime is the shortest timeout of a call to the store, and waitMargin the part of
	// the timeout of a call that is added to its wait.
	callTime   = 1500 * time.Millisecond
	waitMargin = 700 * time.Millisecond
	// retryTime is the longest delay before the next call to a store that failed.
	retryTime = 300 * time.Millisecond
)

// Guards against ways to a change whose steps have bounds that nobody has added up: for each
// way, and each failure that gives no sign, the steps from the acknowledgement until the
// change is in force must fit into the bound.
func TestStepsOfEachWayFitIntoTheBound(t *testing.T) {
	for _, bound := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 4 * time.Second} {
		timing := TimingFor(bound)
		learned := timing.WatchInterval + roundTrip
		rounds := time.Duration(maxBackups-initialBackups) * timing.BackupInterval
		for way, steps := range map[string][]time.Duration{
			"own watch":                           {learned},
			"source":                              {learned, roundTrip},
			"source that ends, and its successor": {timing.IdleTimeout, listTime, timing.WatchInterval},
			"store that serves only this entry, which leaves it to its sources": {timing.BackupDelay(), timing.ProbeSpread, 2 * roundTrip},
			"connection to the store that is silent":                            {max(callTime, timing.WatchWait+waitMargin), retryTime, roundTrip, roundTrip},
			"store that hangs for this entry or its source":                     {timing.BackupDelay(), 2 * roundTrip},
			"as before, and backup peers that are silent":                       {timing.BackupDelay(), rounds, 2 * roundTrip},
			"store that replies a second late":                                  {time.Second, time.Second, roundTrip},
		} {
			var sum time.Duration
			for _, step := range steps {
				sum += step
			}
			require.LessOrEqual(t, sum, bound, "%s with the bound %v", way, bound)
		}
	}
}

// A confirmation that arrives on time must not cost backup streams: without changes, the
// store confirms each WatchWait.
func TestCalmEntriesOpenNoBackupStreams(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2500 * time.Millisecond, 4 * time.Second} {
		timing := TimingFor(bound)
		b := NewBackups(timing)
		now := time.Unix(100, 0)
		open, closed := b.Next(now, now.Add(-timing.WatchWait-bound/20), func() []string { return []string{"a", "b"} })
		require.Empty(t, open)
		require.Empty(t, closed)
	}
}

// spread simulates entries of which some have lost the store without a sign, and one learns
// of a change from the store.
type spread struct {
	timing  Timing
	entries []*spreadEntry
	random  *rand.Rand
}

type spreadEntry struct {
	backups *Backups
	// confirmedAt is when the primary way last confirmed.
	confirmedAt time.Time
	// hasStore entries reach the store, and paused ones do nothing.
	hasStore, paused bool
	// learnsAt is when the change arrives, or zero if it is not on its way.
	learnsAt time.Time
	// reachedAt is when the store was last reached, by this entry or a peer.
	reachedAt time.Time
	streams   map[int]time.Time
}

// newSpread returns n entries, of which the first reached and the last paused ones are as
// these names say. All others heard last from the store or their source just before start.
func newSpread(start time.Time, seed uint64, n, reached, paused int) *spread {
	s := &spread{timing: TimingFor(DefaultPropagation), random: rand.New(rand.NewPCG(seed, seed))}
	for i := range n {
		e := &spreadEntry{backups: NewBackups(s.timing), hasStore: i < reached, paused: i >= n-paused, streams: map[int]time.Time{}}
		e.confirmedAt = start.Add(-time.Duration(s.random.Int64N(int64(roundTrip))))
		e.reachedAt = e.confirmedAt
		s.entries = append(s.entries, e)
	}
	return s
}

// step advances all entries to now.
func (s *spread) step(start, now time.Time) {
	for i, e := range s.entries {
		if e.paused {
			continue
		}
		if e.hasStore {
			e.confirmedAt, e.reachedAt = now, now
			e.learn(start.Add(s.timing.WatchInterval + roundTrip))
		}
		open, closed := e.backups.Next(now, e.confirmedAt, func() []string { return s.candidates(i) })
		for _, address := range closed {
			delete(e.streams, number(address))
		}
		for _, address := range open {
			e.streams[number(address)] = now.Add(2 * roundTrip)
		}
		for peer, readyAt := range e.streams {
			s.deliver(e, peer, readyAt, now)
		}
	}
}

// deliver passes what a peer knows to an entry over a stream.
func (s *spread) deliver(e *spreadEntry, peer int, readyAt, now time.Time) {
	p := s.entries[peer]
	if p.paused || now.Before(readyAt) {
		return
	}
	if p.knows(now) {
		e.learn(now.Add(roundTrip))
	}
	e.backups.Confirm(fmt.Sprint(peer), p.reachedAt)
	if p.reachedAt.After(e.reachedAt) {
		e.reachedAt = p.reachedAt
	}
}

func (e *spreadEntry) learn(at time.Time) {
	if e.learnsAt.IsZero() || at.Before(e.learnsAt) {
		e.learnsAt = at
	}
}

func (e *spreadEntry) knows(now time.Time) bool {
	return !e.learnsAt.IsZero() && !now.Before(e.learnsAt)
}

func (s *spread) candidates(self int) []string {
	var out []string
	for _, i := range s.random.Perm(len(s.entries)) {
		if i != self {
			out = append(out, fmt.Sprint(i))
		}
	}
	return out
}

func number(address string) int {
	var n int
	_, _ = fmt.Sscan(address, &n)
	return n
}

// Guards against a change that is late at entries whose ways to it have failed without a
// sign, while few entries know it and others are paused.
func TestChangeReachesEntriesWhoseStoreHangs(t *testing.T) {
	const tick = 10 * time.Millisecond
	for _, c := range []struct{ entries, reached, paused int }{
		{6, 4, 1}, {6, 1, 0}, {9, 1, 2}, {14, 9, 0}, {14, 1, 2}, {312, 203, 31}, {312, 30, 31}, {312, 1, 0},
	} {
		for seed := range uint64(20) {
			start := time.Unix(100, 0)
			s := newSpread(start, seed, c.entries, c.reached, c.paused)
			now := start
			for ; now.Sub(start) < s.timing.Bound; now = now.Add(tick) {
				s.step(start, now)
			}
			for i, e := range s.entries {
				require.True(t, e.paused || e.knows(now), "entry %d of %+v with seed %d", i, c, seed)
			}
		}
	}
}

// Guards against an entry that alone reaches the store and stops asking it, because other
// entries repeat what it has told them.
func TestEntryThatAloneReachesTheStoreKeepsAsking(t *testing.T) {
	timing := TimingFor(DefaultPropagation)
	b := NewBackups(timing)
	confirmedAt := time.Unix(100, 0)
	now := confirmedAt.Add(timing.BackupDelay())
	b.Next(now, confirmedAt, func() []string { return []string{"a", "b", "c"} })
	require.True(t, b.IsProbeDue(now, confirmedAt, 0))
	require.False(t, b.IsProbeDue(now, confirmedAt, timing.ProbeSpread))
	b.Probed(now, true)
	b.Confirm("a", now.Add(4*roundTrip/2))
	require.False(t, b.IsProbeDue(now.Add(timing.WatchWait/2), confirmedAt, timing.ProbeSpread))
	later := now.Add(timing.WatchWait)
	require.True(t, b.IsProbeDue(later, confirmedAt, timing.ProbeSpread))
	b.Confirm("a", later)
	require.False(t, b.IsProbeDue(later, confirmedAt, timing.ProbeSpread), "another entry reaches the store")
	b.Probed(later, false)
	require.False(t, b.IsProbeDue(later.Add(timing.Bound/2), confirmedAt, 0))
}

// Guards against streams that pile up, or stay open after the primary way confirms again.
func TestBackupStreamsStayWithinTheirLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBackups(TimingFor(DefaultPropagation))
		now := time.Unix(100, 0)
		confirmedAt := now
		candidates := func() []string { return []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} }
		opened := map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"confirm": func(*rapid.T) { confirmedAt = now },
			"hear": func(t *rapid.T) {
				age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ageMs")) * time.Millisecond
				b.Confirm(rapid.SampledFrom(candidates()).Draw(t, "peer"), now.Add(-age))
			},
			"end": func(t *rapid.T) {
				address := rapid.SampledFrom(candidates()).Draw(t, "peer")
				b.Ended(address)
				delete(opened, address)
			},
			"": func(t *rapid.T) {
				open, closed := b.Next(now, confirmedAt, candidates)
				for _, address := range closed {
					require.True(t, opened[address])
					delete(opened, address)
				}
				for _, address := range open {
					require.False(t, opened[address])
					opened[address] = true
				}
				require.LessOrEqual(t, len(opened), maxBackups)
				require.Len(t, opened, b.Len())
				require.True(t, b.IsSilent(now, confirmedAt) || len(opened) == 0)
			},
		})
	})
}
