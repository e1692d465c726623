package alive

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// simBound is the time after which no entry of its place may name a silent one, and
	// simFarBound the same elsewhere.
	simBound    = 2500 * time.Millisecond
	simFarBound = 6 * time.Second
	// simReturn is the time after which a returned entry must be named again in its place, and
	// simFarReturn the same elsewhere.
	simReturn    = time.Second
	simFarReturn = 3 * time.Second
)

// observe checks what all entries hold: who is silent and still named, who is live and left out.
type observe struct {
	*sim
	late, leftOut []string
	latest        time.Duration
	oldest        time.Duration
}

func (o *observe) check() {
	for _, e := range o.entries {
		if !e.isRunning(o.now) {
			continue
		}
		for name, r := range e.table.records {
			other := o.entry(name)
			isLive := other.isRunning(o.now)
			bound, back := simFarBound, simFarReturn
			if r.isNear {
				bound, back = simBound, simReturn
			}
			switch {
			case !isLive && !r.isSilent:
				named := o.now - other.silentFrom
				o.latest = max(o.latest, named)
				// An entry that has just started, or was paused, needs the rounds until it judges and a request's timeout.
				if named > bound && o.now-e.returnedAt > settleIntervals*o.timing.Interval+o.timing.Timeout {
					o.late = append(o.late, fmt.Sprintf("%v: %s names %s after %v (near %v)", o.now, e.Name, name, named, r.isNear))
				}
			case isLive && r.isSilent && o.now-other.returnedAt > back && o.now-e.returnedAt > back:
				o.leftOut = append(o.leftOut, fmt.Sprintf("%v: %s leaves out %s (near %v, age %v)", o.now, e.Name, name, r.isNear, o.clock().Sub(r.at)))
			case isLive:
				if !r.isAssumed && o.now-e.returnedAt > 3*time.Second {
					o.oldest = max(o.oldest, o.clock().Sub(r.at))
				}
			}
		}
	}
}

// Guards against entries that are named long after they became silent, and against live ones that are
// left out, whoever else stops, starts, hangs or is cut off meanwhile.
func TestSilentEntriesAreLeftOutAndOthersAreNot(t *testing.T) {
	first := func(s *sim) *simEntry { return s.entries[0] }
	some := func(s *sim, share float64, f func(*simEntry)) {
		for _, i := range s.rand.Perm(len(s.entries) - 1)[:int(share*float64(len(s.entries)-1))] {
			f(s.entries[i+1])
		}
	}
	for _, c := range []struct {
		name  string
		fault func(s *sim)
		// further holds further sizes.
		further []int
	}{
		{"calm", func(s *sim) {}, []int{312}},
		{"lossy", func(s *sim) { s.loss = 0.1 }, nil},
		{"one off", func(s *sim) { s.silence(first(s), 20*time.Second, true) }, nil},
		{"one paused, which returns", func(s *sim) { s.silence(first(s), 5*time.Second, false) }, nil},
		{"one off, others start anew one after the other", func(s *sim) {
			s.silence(first(s), 20*time.Second, true)
			for i, e := range s.entries[1:] {
				s.at(time.Duration(i)*6*time.Second/time.Duration(len(s.entries)), func() { s.silence(e, 300*time.Millisecond, true) })
			}
		}, []int{312}},
		{"one off, all others start anew", func(s *sim) {
			s.silence(first(s), 20*time.Second, true)
			s.at(time.Second, func() { some(s, 1, func(e *simEntry) { s.silence(e, 300*time.Millisecond, true) }) })
		}, nil},
		{"one off, two in five paused", func(s *sim) {
			s.silence(first(s), 20*time.Second, true)
			s.at(time.Second, func() { some(s, 0.4, func(e *simEntry) { s.silence(e, 3*time.Second, false) }) })
		}, nil},
		{"half off", func(s *sim) { some(s, 0.5, func(e *simEntry) { s.silence(e, 20*time.Second, true) }) }, nil},
		{"seven in ten off", func(s *sim) { some(s, 0.7, func(e *simEntry) { s.silence(e, 20*time.Second, true) }) }, []int{312}},
		{"a region off", func(s *sim) {
			for _, e := range s.entries {
				if e.Region == "1" {
					s.silence(e, 20*time.Second, true)
				}
			}
		}, nil},
		{"one cut off from its region only", func(s *sim) {
			s.cut = func(from, to *simEntry) bool {
				return from.Region == first(s).Region && to.Region == from.Region && (from == first(s)) != (to == first(s))
			}
		}, nil},
		{"one hears nothing for a time", func(s *sim) {
			until := s.now + 4*time.Second
			s.cut = func(from, _ *simEntry) bool { return from == first(s) && s.now < until }
		}, nil},
	} {
		for _, n := range append([]int{6, 14, 116}, c.further...) {
			t.Run(fmt.Sprintf("%s/%d", c.name, n), func(t *testing.T) {
				s := newSim(n, uint64(n))
				s.run(5*time.Second, func() {})
				o := &observe{sim: s}
				c.fault(s)
				s.requests, s.bytes, s.zoneBytes, s.regionBytes = 0, 0, 0, 0
				s.run(12*time.Second, o.check)
				each := func(v int) float64 { return float64(v) / 12 }
				t.Logf("latest %v, oldest evidence of a live entry %v; per second: %.1f requests and %.0f bytes an entry, %.0f bytes between zones, %.0f between regions",
					o.latest, o.oldest, each(s.requests)/float64(n), each(s.bytes)/float64(n), each(s.zoneBytes), each(s.regionBytes))
				require.Empty(t, o.late)
				require.Empty(t, o.leftOut)
			})
		}
	}
}
