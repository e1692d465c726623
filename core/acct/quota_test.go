package acct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// settleTime is the time after which a new set of entries grants credits at its full rate.
const settleTime = 3 * time.Second

// fleetSizes are the numbers of entries that the deployments have.
var fleetSizes = []int{14, 116, 312}

// requireBound fails if more requests were admitted in any window than the hard bound
// allows, or in shorter ones than the arithmetic in quotas.md does.
func requireBound(t require.TestingT, s *sim) {
	require.LessOrEqual(t, float64(s.worstWindow()), s.bound.Max(s.limit))
	require.LessOrEqual(t, float64(s.mostOutstanding), max(1, s.bound.spare(s.limit)+s.limit.Burst*outstandingShare))
	for _, window := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		most := s.limit.Burst + s.bound.spare(s.limit) + s.limit.Rate*window.Seconds()
		require.LessOrEqual(t, float64(s.mostWithin(window)), most, window)
	}
}

// runLoad offers a multiple of the limit, uneven and moving, for d after settleTime.
func runLoad(seed uint64, n int, rate, factor float64, d time.Duration) *sim {
	s := newSim(seed, n, rate)
	s.load(rate*factor, settleTime+d, s.uneven())
	s.runFor(settleTime)
	s.resetCounts()
	s.runFor(d)
	return s
}

// Guards against a limit that is not used, because credits are unspent or lost at entries
// that do not need them.
func TestAccountGetsItsLimit(t *testing.T) {
	for _, n := range fleetSizes {
		for _, rate := range []float64{1, 5, 20, 170} {
			for factor, share := range map[float64]float64{1: 0.97, 7: 0.95} {
				t.Run(fmt.Sprintf("%d entries, %g/s, %gx", n, rate, factor), func(t *testing.T) {
					s := runLoad(1, n, rate, factor, 40*time.Second)
					require.GreaterOrEqual(t, float64(s.admittedCount()), share*float64(s.central))
					requireBound(t, s)
				})
			}
		}
	}
}

// Guards against refusals of an account that is below its limit, because its credits are
// at other entries.
func TestAccountBelowTwoThirdsIsNotRefused(t *testing.T) {
	for _, n := range fleetSizes {
		for _, rate := range []float64{5, 20, 170} {
			t.Run(fmt.Sprintf("%d entries, %g/s", n, rate), func(t *testing.T) {
				s := runLoad(2, n, rate, 0.66, 40*time.Second)
				refusedByCentral := s.sent - s.central
				require.LessOrEqual(t, s.refused+s.unavailable, refusedByCentral)
			})
		}
	}
}

// Guards against requests that wait longer than a round trip to another region.
func TestNoRequestWaitsLongerThanARoundTrip(t *testing.T) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprintf("%d entries", n), func(t *testing.T) {
			s := runLoad(2, n, 170, 0.66, 40*time.Second)
			require.Less(t, s.maxWait, 45*time.Millisecond)
		})
	}
}

// Guards against requests that wait for messages. Where the hard bound allows fewer
// unspent credits than there are entries, this cannot be reached; see quotas.md.
func TestFewRequestsBelowTwoThirdsWait(t *testing.T) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprintf("%d entries", n), func(t *testing.T) {
			s := runLoad(3, n, 170, 0.66, 40*time.Second)
			require.LessOrEqual(t, float64(s.waited), 0.02*float64(s.sent))
		})
	}
}

// Guards against an owner that serves the entries with most requests and none of the
// others.
func TestNoHolderStarvesAtSevenTimesTheLimit(t *testing.T) {
	s := newSim(4, 14, 170)
	weights := func() *simEntry {
		if s.rng.Float64() < 0.8 {
			return s.entries[0]
		}
		return s.entries[s.rng.IntN(len(s.entries))]
	}
	s.load(7*170, settleTime+20*time.Second, weights)
	s.runFor(settleTime)
	s.resetCounts()
	s.runFor(20 * time.Second)
	overall := float64(s.admittedCount()) / float64(s.sent)
	for name, served := range s.byEntry {
		require.GreaterOrEqual(t, float64(served[1]), 0.5*overall*float64(served[0]), name)
	}
}

// fault is a disturbance of the entries of a simulation that has two more seconds of load
// before it and fifteen after it.
type fault struct {
	name  string
	apply func(s *sim)
}

func (s *sim) ownerEntry() *simEntry {
	return s.find(s.candidates(testAccount)[0])
}

// kill ends a run of an entry, and starts another after d.
func (s *sim) kill(e *simEntry, d time.Duration) {
	e.dead = true
	s.unavailable += len(e.waiters)
	s.after(d, func() { s.start(e) })
}

var faults = []fault{
	{"owner killed", func(s *sim) { s.kill(s.ownerEntry(), time.Minute) }},
	{"owner restarted", func(s *sim) { s.kill(s.ownerEntry(), 200*time.Millisecond) }},
	{"owner paused", func(s *sim) { s.ownerEntry().pausedUntil = s.now.Add(5 * time.Second) }},
	{"owner cut off", func(s *sim) {
		owner := s.ownerEntry()
		s.isCut = func(a, b *simEntry) bool { return a != b && (a == owner || b == owner) }
	}},
	{"two owners reached by halves", func(s *sim) {
		names := s.candidates(testAccount)
		owner, third := s.find(names[0]), s.find(names[2])
		isLost := func(e *simEntry) bool { return e.Name == names[1] || (e != third && e.index%2 == 0) }
		s.isCut = func(a, b *simEntry) bool { return (a == owner && isLost(b)) || (b == owner && isLost(a)) }
	}},
	{"halves cut from each other", func(s *sim) {
		s.isCut = func(a, b *simEntry) bool { return (a.index < len(s.entries)/2) != (b.index < len(s.entries)/2) }
	}},
	{"all killed", func(s *sim) {
		for _, e := range s.entries {
			s.kill(e, time.Duration(100+s.rng.IntN(400))*time.Millisecond)
		}
	}},
	{"herd of starts", func(s *sim) {
		for i := range 5 {
			s.after(time.Duration(i)*900*time.Millisecond, func() {
				for _, e := range s.entries {
					if s.rng.IntN(3) == 0 && !e.dead {
						s.kill(e, time.Duration(50+s.rng.IntN(500))*time.Millisecond)
					}
				}
			})
		}
	}},
	{"messages late, lost and repeated", func(s *sim) { s.lossRatio = 0.1 }},
}

// Guards against more requests than the hard bound when owners change or messages are
// lost, at seven times the limit, when each credit is used.
func TestFaultsNeverExceedTheBound(t *testing.T) {
	for _, f := range faults {
		for _, rate := range []float64{1, 20, 170} {
			t.Run(fmt.Sprintf("%s, %g/s", f.name, rate), func(t *testing.T) {
				for seed := range uint64(3) {
					s := newSim(seed, 40, rate)
					s.load(7*rate, settleTime+17*time.Second, s.uneven())
					s.runFor(settleTime + 2*time.Second)
					f.apply(s)
					s.runFor(15 * time.Second)
					requireBound(t, s)
				}
			})
		}
	}
}

// Guards against a bucket that grants burst and bound again after a load that pauses, when
// unspent credits are everywhere.
func TestBurstAfterIdleTimeKeepsTheBound(t *testing.T) {
	for _, n := range fleetSizes {
		s := newSim(5, n, 170)
		for range 3 {
			s.load(100, 6*time.Second, s.uneven())
			s.runFor(8 * time.Second)
			s.load(170*20, 4*time.Second, s.uneven())
			s.runFor(4 * time.Second)
		}
		requireBound(t, s)
	}
}

// Guards against credits of an earlier owner, or of lost replies, that are spent together
// with those of a new one: load below the limit leaves as many unspent as possible, and then
// all are spent while owners change.
func TestBurstDuringFaultsKeepsTheBound(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(4) {
				s := newSim(seed, 40, 20)
				s.load(10, 13*time.Second, s.uneven())
				s.runFor(12 * time.Second)
				f.apply(s)
				s.runFor(time.Duration(seed) * 400 * time.Millisecond)
				s.load(20*30, 8*time.Second, func() *simEntry { return s.entries[s.rng.IntN(len(s.entries))] })
				s.runFor(8 * time.Second)
				requireBound(t, s)
			}
		})
	}
}

// Guards against an account that stays refused after its owner has ended.
func TestServiceResumesAfterTheOwnerEnds(t *testing.T) {
	for _, f := range faults[:4] {
		t.Run(f.name, func(t *testing.T) {
			s := newSim(6, 40, 170)
			s.load(100, 20*time.Second, s.uneven())
			s.runFor(settleTime)
			f.apply(s)
			s.runFor(2 * time.Second)
			before := len(s.admitted)
			s.resetCounts()
			s.runFor(3 * time.Second)
			require.GreaterOrEqual(t, float64(len(s.admitted)-before), 0.9*float64(s.sent))
		})
	}
}

// Guards against a planned stop of the owner that interrupts the requests of its accounts.
func TestPlannedStopOfTheOwnerInterruptsNothing(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(seed, 40, 170)
		s.load(100, 20*time.Second, s.uneven())
		s.runFor(settleTime + 5*time.Second)
		s.resetCounts()
		owner := s.ownerEntry()
		owner.granter.Resign()
		owner.Leaving, s.names = true, nil
		for _, e := range s.entries {
			s.after(time.Duration(s.rng.IntN(50))*time.Millisecond, func() {
				e.granter.Forget(Run{Name: owner.Name, StartedAt: owner.StartedAt})
			})
		}
		s.runFor(3 * time.Second)
		require.Zero(t, s.unavailable)
		requireBound(t, s)
	}
}

// Guards against a lowered limit that old credits exceed for more than a second.
func TestLoweredLimitAppliesWithinASecond(t *testing.T) {
	s := newSim(7, 40, 170)
	s.load(170*3, 20*time.Second, s.uneven())
	s.runFor(settleTime + 5*time.Second)
	s.limit = Limit{Version: 2, Rate: 10, Burst: 10}
	s.runFor(time.Second)
	s.admitted = nil
	s.runFor(10 * time.Second)
	requireBound(t, s)
}

// Guards against messages for accounts that nobody uses.
func TestIdleAccountCausesNoMessages(t *testing.T) {
	s := newSim(8, 40, 20)
	s.load(20, 5*time.Second, s.uneven())
	s.runFor(5*time.Second + 2*idleTime)
	s.resetCounts()
	s.runFor(10 * time.Second)
	require.Zero(t, s.messages)
}

// Guards against two owners, or none, while the entries learn of a new first candidate at
// different times.
func TestNewFirstCandidateTakesOver(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(seed, 20, 170)
		first := s.ownerEntry()
		first.dead = true
		knownAt := map[*simEntry]time.Time{}
		s.isKnown = func(viewer, e *simEntry) bool {
			at, ok := knownAt[viewer]
			return e != first || (ok && !s.now.Before(at))
		}
		s.load(7*170, 20*time.Second, func() *simEntry { return s.entries[s.rng.IntN(len(s.entries))] })
		s.runFor(settleTime + 5*time.Second)
		s.start(first)
		for _, e := range s.entries {
			knownAt[e] = s.now.Add(time.Duration(s.rng.Int64N(int64(2 * time.Second))))
		}
		s.resetCounts()
		s.runFor(5 * time.Second)
		requireBound(t, s)
		require.GreaterOrEqual(t, float64(s.admittedCount()), 0.9*float64(s.central))
		s.runFor(time.Second)
		require.True(t, first.granter.quorum.IsOwner(s.now, testAccount, s.viewOf(first)(testAccount)))
	}
}
