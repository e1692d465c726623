package acct

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var compare = flag.Bool("compare", false, "print the comparison of the ways to keep a limit")

const (
	compareTime = 40 * time.Second
	// gossipInterval is the time between two messages of an entry to each other one.
	gossipInterval = 500 * time.Millisecond
)

// withBuckets replaces the credits by a bucket for each entry, which decides alone.
func (s *sim) withBuckets(rate, burst float64) map[*simEntry]*bucketOfAll {
	buckets := map[*simEntry]*bucketOfAll{}
	for _, e := range s.entries {
		buckets[e] = &bucketOfAll{limit: Limit{Rate: rate, Burst: burst}, at: s.now}
	}
	s.decide = func(e *simEntry) bool { return buckets[e].take(s.now) }
	return buckets
}

// useEqualShares divides the limit by the number of entries.
func useEqualShares(s *sim) {
	n := float64(len(s.entries))
	s.withBuckets(s.limit.Rate/n, max(1, s.limit.Burst/n))
}

// useGossip gives each entry a bucket with the whole limit, from which it deducts what the
// others report.
func useGossip(s *sim) {
	buckets := s.withBuckets(s.limit.Rate, s.limit.Burst)
	counts := map[*simEntry]float64{}
	take := s.decide
	s.decide = func(e *simEntry) bool {
		ok := take(e)
		if ok {
			counts[e]++
		}
		return ok
	}
	var report func(e *simEntry)
	report = func(e *simEntry) {
		n := counts[e]
		counts[e] = 0
		s.messages += len(s.entries) - 1
		for _, other := range s.entries {
			if n > 0 && other != e {
				s.after(s.delay(e, other), func() { buckets[other].tokens -= n })
			}
		}
		s.after(gossipInterval, func() { report(e) })
	}
	for _, e := range s.entries {
		s.after(time.Duration(s.rng.Int64N(int64(gossipInterval))), func() { report(e) })
	}
}

// TestCompare prints a table of the ways to keep a limit, for docs/design/quotas.md:
// go test ./core/acct -run TestCompare -v -args -compare
func TestCompare(t *testing.T) {
	if !*compare {
		t.Skip("run with -compare")
	}
	ways := []struct {
		name string
		use  func(*sim)
	}{{"equal shares", useEqualShares}, {"gossip", useGossip}, {"credits", func(*sim) {}}}
	fmt.Println("| entries | limit | load | way | of central | worst window / bound | messages/s | waited |\n|---|---|---|---|---|---|---|---|")
	for _, n := range fleetSizes {
		for _, rate := range []float64{5, 20, 170} {
			for _, factor := range []float64{0.66, 1, 7} {
				for _, way := range ways {
					s := newSim(11, n, rate)
					way.use(s)
					s.load(rate*factor, settleTime+compareTime, s.uneven())
					s.runFor(settleTime)
					s.resetCounts()
					s.runFor(compareTime)
					fmt.Printf("| %d | %g | %g | %s | %.2f | %d / %.0f | %.0f | %.3f |\n", n, rate, factor, way.name,
						float64(s.admittedCount())/float64(s.central), s.worstWindow(), s.bound.Max(s.limit),
						float64(s.messages)/compareTime.Seconds(), float64(s.waited)/float64(s.sent))
				}
			}
		}
	}
}
