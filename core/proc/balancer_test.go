package proc

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
)

var pickStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func balancerOf(n, slots int) *Balancer {
	s := magnolialedge.Service{Name: "s"}
	for i := range n {
		s.Targets = append(s.Targets, magnolialedge.Target{Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z", Slots: slots, MaxConnections: 100})
	}
	doc := magnolialedge.Document{Zones: []magnolialedge.Zone{{Name: "z", Region: "r"}}, Services: []magnolialedge.Service{s}}
	b := NewBalancer(BalancerConfig{Document: doc, Service: s, Region: "r", EntryCount: 2, Seed: 1, Now: pickStart})
	b.SkipWarmUp()
	return b
}

// TestPickersNeverPickWhatMayNotTakeWork runs the balancer and the naive picker
// beside each other. Both leave out what was tried; the balancer leaves out what
// drains too, and keeps its count of requests in flight.
func TestPickersNeverPickWhatMayNotTakeWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := balancerOf(rapid.IntRange(1, 8).Draw(t, "targets"), 2)
		naive := NewRoundRobin(targetsOf(b), 0)
		now := pickStart
		inFlight := map[string]int{}
		drained := map[string]bool{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			avoid := []string{rapid.SampledFrom(targetsOf(b)).Draw(t, "avoid").Address}
			for _, p := range []magnolialedge.Picker{b, naive} {
				pick, ok := p.Pick(now, magnolialedge.PickRequest{Exclude: avoid, AllowProbation: true})
				if ok && pick.Address == avoid[0] {
					t.Fatal("a tried target was picked again")
				}
				if !ok || p == magnolialedge.Picker(naive) {
					continue
				}
				if drained[pick.Address] {
					t.Fatal("a draining target was picked")
				}
				inFlight[pick.Address]++
				if inFlight[pick.Address] > 2*inFlightPerSlot {
					t.Fatal("more in flight than the limit")
				}
			}
			for address, n := range inFlight {
				if n > 0 && rapid.Bool().Draw(t, "ends") {
					inFlight[address]--
					b.Done(now, magnolialedge.AttemptResult{Address: address, Duration: time.Millisecond, Failed: rapid.Bool().Draw(t, "fails")})
				}
			}
			if rapid.IntRange(0, 20).Draw(t, "drain") == 0 {
				drained[avoid[0]] = true
				b.Report(now, avoid[0], magnolialedge.LoadReport{Draining: true})
			}
		}
	})
}

func targetsOf(b *Balancer) []magnolialedge.Target {
	var out []magnolialedge.Target
	for i := range b.upstreams {
		out = append(out, b.upstreams[i].target)
	}
	return out
}

func TestFastErrorsAttractNoWork(t *testing.T) {
	b := balancerOf(4, 4)
	now := pickStart
	bad := "10.0.0.2:80"
	seen := 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		pick, ok := b.Pick(now, magnolialedge.PickRequest{AllowProbation: true})
		require.True(t, ok)
		took := 20 * time.Millisecond
		if pick.Address == bad {
			seen++
			took = time.Millisecond
		}
		b.Done(now, magnolialedge.AttemptResult{Address: pick.Address, Duration: took, Failed: pick.Address == bad})
	}
	require.Less(t, seen, 10)
}

func TestEjectionsAreCappedAtHalf(t *testing.T) {
	b := balancerOf(4, 4)
	for i := range 40 {
		b.Done(pickStart, magnolialedge.AttemptResult{Address: fmt.Sprintf("10.0.0.%d:80", i%4), Duration: time.Millisecond, Failed: true})
	}
	out := 0
	for i := range b.upstreams {
		if b.upstreams[i].health.StateAt(pickStart) == Ejected {
			out++
		}
	}
	require.Equal(t, 2, out)
}

func TestQueueRefusesWhatWouldWaitInVain(t *testing.T) {
	var q Queue
	mean := 10 * time.Millisecond
	require.False(t, q.Push(pickStart, &Waiter{Deadline: pickStart.Add(5 * time.Millisecond)}, 4, mean))
	require.False(t, q.Push(pickStart, &Waiter{Deadline: pickStart.Add(time.Second)}, 0, mean))
	late := &Waiter{Deadline: pickStart.Add(2 * time.Second)}
	soon := &Waiter{Deadline: pickStart.Add(time.Second)}
	require.True(t, q.Push(pickStart, late, 2, mean))
	require.True(t, q.Push(pickStart, soon, 2, mean))
	require.Same(t, soon, q.Peek())
	require.False(t, q.Push(pickStart, &Waiter{Deadline: pickStart.Add(time.Hour)}, 2, mean))
	require.True(t, q.Remove(soon))
	require.False(t, q.Remove(soon))
	require.Same(t, late, q.Peek())
}

func TestSteerIsTheSameEverywhereAndMovesLittle(t *testing.T) {
	var list []magnolialedge.Instance
	for i := range 16 {
		list = append(list, magnolialedge.Instance{Name: fmt.Sprint("e", i), Region: fmt.Sprint("r", i%3)})
	}
	first, share := Steer(list, "r0", "s", 100)
	require.Equal(t, 2, share)
	require.Len(t, first, 6)
	list[0], list[15] = list[15], list[0]
	again, _ := Steer(list, "r0", "s", 100)
	require.Equal(t, first, again)
	for i := range list {
		if list[i].Name == first[0].Name {
			list[i].Leaving = true
		}
	}
	after, _ := Steer(list, "r0", "s", 100)
	require.Equal(t, first[1:], after)
	far, _ := Steer(list, "elsewhere", "s", 100)
	require.Len(t, far, 15)
}

// BenchmarkPickAtDesignSize picks in a service of the size to design for, among
// 410 services with 4,400 targets.
func BenchmarkPickAtDesignSize(b *testing.B) {
	services := make([]*Balancer, 410)
	for i := range services {
		services[i] = balancerOf(11, 4)
	}
	b.ReportAllocs()
	now := pickStart
	for i := 0; b.Loop(); i++ {
		s := services[i%len(services)]
		now = now.Add(time.Microsecond)
		pick, ok := s.Pick(now, magnolialedge.PickRequest{AllowProbation: true})
		if ok {
			s.Done(now, magnolialedge.AttemptResult{Address: pick.Address, Duration: time.Millisecond})
		}
	}
}

// TestDrainOutlastsAnswersFromBefore holds that the answer to a request which
// was under way when the drain began doesn't end it.
func TestDrainOutlastsAnswersFromBefore(t *testing.T) {
	b := balancerOf(1, 4)
	address := b.upstreams[0].target.Address
	b.Report(pickStart, address, magnolialedge.LoadReport{Draining: true})
	b.Report(pickStart.Add(time.Millisecond), address, magnolialedge.LoadReport{InFlight: 1})
	_, ok := b.Pick(pickStart.Add(time.Second), magnolialedge.PickRequest{AllowProbation: true})
	require.False(t, ok)
	_, ok = b.Pick(pickStart.Add(DrainTTL+time.Second), magnolialedge.PickRequest{AllowProbation: true})
	require.True(t, ok)
}
