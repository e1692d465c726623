package pick_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// constant returns a rate that does not change.
func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// hotAccountConfig describes 79 accounts that together use 0.8 of the capacity; from
// 5 s on, one of them sends eight times its rate. 20 accounts send one request a second.
func hotAccountConfig() simConfig {
	cfg := simConfig{seed: 1, entries: 6, upstreamCount: 24, slots: 2, length: 20 * time.Second}
	for i := range 78 {
		rate := 11.0
		if i < 20 {
			rate = 1
		}
		cfg.sources = append(cfg.sources, simSource{account: fmt.Sprint("t", i), rate: constant(rate)})
	}
	cfg.sources = append(cfg.sources, simSource{account: "hot", rate: func(d time.Duration) float64 {
		if d < 5*time.Second {
			return 80
		}
		return 640
	}})
	return cfg
}

// accountShares returns the shares of requests in time by account, without the named
// one, in ascending order.
func accountShares(s *sim, without string) []float64 {
	var out []float64
	for name, c := range s.byAccount {
		if name != without {
			out = append(out, c.share())
		}
	}
	slices.Sort(out)
	return out
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// At loads of 0.92, 0.79 and 0.69 of the capacity, one of 79 accounts sends eight times
// its rate. Today the excess is taken from all accounts.
func TestHotAccountCostsOthersNothing(t *testing.T) {
	for _, upstreams := range []int{24, 28, 32} {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			cfg := hotAccountConfig()
			cfg.upstreamCount = upstreams
			hot := mean(accountShares(runSim(cfg), "hot"))
			cfg.sources[len(cfg.sources)-1].rate = constant(80)
			calm := mean(accountShares(runSim(cfg), "hot"))
			t.Logf("others: %.3f, without the excess %.3f", hot, calm)
			require.GreaterOrEqual(t, hot, 0.995*calm)
		})
	}
}

// The same load as in TestHotAccountCostsOthersNothing. In an overload, accounts with one
// request a second must not be the ones that are lost.
func TestLeastServedAccountsAreServedLikeAll(t *testing.T) {
	s := runSim(hotAccountConfig())
	shares := accountShares(s, "")
	small := simCount{}
	for i := range 20 {
		c := s.byAccount[fmt.Sprint("t", i)]
		small.all += c.all
		small.inTime += c.inTime
	}
	t.Logf("all %.3f, mean of accounts %.3f, least tenth %.3f, one request a second %.3f, hot %.3f", s.total.share(), mean(shares), mean(shares[:8]), small.share(), s.byAccount["hot"].share())
	require.GreaterOrEqual(t, mean(shares[:8]), 0.9*s.total.share())
	require.GreaterOrEqual(t, small.share(), s.total.share())
}

// rankedConfig describes requests of three priorities at a multiple of 0.65 of the capacity.
func rankedConfig(factor func(time.Duration) float64) simConfig {
	cfg := simConfig{seed: 1, entries: 6, upstreamCount: 24, slots: 2, length: 20 * time.Second}
	for priority := range 3 {
		cfg.sources = append(cfg.sources, simSource{priority: priority, rate: func(d time.Duration) float64 { return 173 * factor(d) }})
	}
	return cfg
}

// rejectingConfig describes upstreams that reject over half of what arrives for 8 s,
// although their load readings say that slots are free.
func rejectingConfig() simConfig {
	cfg := rankedConfig(constant(1))
	cfg.rejects = func(d time.Duration) float64 {
		if d > 4*time.Second && d < 12*time.Second {
			return 0.55
		}
		return 0
	}
	return cfg
}

// First come, first served, retries would serve the most urgent requests no better than
// the others.
func TestRejectingUpstreamsServeMostUrgentFirst(t *testing.T) {
	for _, isToday := range []bool{true, false} {
		cfg := rejectingConfig()
		cfg.isToday = isToday
		s := runSim(cfg)
		t.Logf("today %v: all %.3f, by priority %.3f %.3f %.3f, %d retries of %d", isToday, s.total.share(), s.byRank[0].share(), s.byRank[1].share(), s.byRank[2].share(), s.retries, s.total.all)
		if !isToday {
			require.GreaterOrEqual(t, s.byRank[0].share(), s.byRank[1].share())
			require.GreaterOrEqual(t, s.byRank[0].share(), s.byRank[2].share())
		}
	}
}

// wave has a period of 17 s and a swing of 0.55, and burst lasts for 5 s.
func wave(d time.Duration) float64 { return 1.2 * (1 + 0.55*math.Sin(2*math.Pi*d.Seconds()/17)) }

func burst(d time.Duration) float64 {
	if d > 5*time.Second && d < 10*time.Second {
		return 1.7
	}
	return 1
}

// While capacity is short, requests must be refused without a long wait, and no more of
// them than without admission control.
func TestShortCapacityServesMostUrgentFirst(t *testing.T) {
	for name, factor := range map[string]func(time.Duration) float64{"wave": wave, "burst": burst} {
		t.Run(name, func(t *testing.T) {
			cfg := rankedConfig(factor)
			s := runSim(cfg)
			cfg.isToday = true
			today := runSim(cfg)
			t.Logf("by priority %.3f %.3f %.3f, all %.3f (today %.3f), %d refused after %v (today %d after %v)", s.byRank[0].share(), s.byRank[1].share(), s.byRank[2].share(), s.total.share(), today.total.share(), s.total.refused, s.total.meanWaste(), today.total.refused, today.total.meanWaste())
			require.GreaterOrEqual(t, s.byRank[0].share(), s.byRank[1].share())
			require.GreaterOrEqual(t, s.byRank[0].share(), s.byRank[2].share())
			require.GreaterOrEqual(t, s.total.share(), today.total.share()-noise)
			require.Less(t, s.total.meanWaste(), today.total.meanWaste())
			if name == "burst" {
				require.Less(t, s.gateRefusedAt, 11*time.Second, "a level must not outlast the burst by 1 s")
			}
		})
	}
}

// noise is by how much the shares of runs with different requests differ (burst: 0.954
// and 0.959).
const noise = 0.005

// Prints the shares of requests in time beside those of an all-knowing picker and of
// earlier releases. No kind of load may be served worse than by them.
func TestScarceCapacityIsServedNoWorse(t *testing.T) {
	for _, load := range []struct {
		name string
		simConfig
	}{
		{"wave of 1.55", rankedConfig(wave)},
		{"burst of 1.7", rankedConfig(burst)},
		{"hot account", hotAccountConfig()},
		{"upstreams reject 0.55", rejectingConfig()},
	} {
		cfg := load.simConfig
		now := runSim(cfg)
		cfg.isToday = true
		today := runSim(cfg)
		cfg.hasOracle = true
		known := runSim(cfg)
		for _, run := range []struct {
			picker string
			*sim
		}{{"all-knowing", known}, {"earlier", today}, {"now", now}} {
			t.Logf("%-20s %-11s all %.3f, most urgent %.3f, least tenth of accounts %.3f", load.name, run.picker, run.total.share(), run.byRank[0].share(), leastTenth(run.sim))
		}
		require.GreaterOrEqual(t, now.total.share(), today.total.share()-noise, load.name)
		require.GreaterOrEqual(t, now.byRank[0].share(), today.byRank[0].share()-noise, load.name)
	}
}

// leastTenth returns the mean share of the least-served tenth of the accounts.
func leastTenth(s *sim) float64 {
	shares := accountShares(s, "none")
	return mean(shares[:(len(shares)+9)/10])
}
