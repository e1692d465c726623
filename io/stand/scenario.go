package stand

import "strings"

// FaultScenarios returns the scenarios with a fault or an overload. Faults of an
// upstream affect the first upstream of the first service.
func FaultScenarios() []Scenario {
	const load = 50
	return []Scenario{
		{Name: "straggler 20x", LoadPercent: load, InjectFault: onFirstUpstream(func(b *UpstreamBehaviour) { b.SlowdownFactor = 20 })},
		{Name: "fails in 1 ms", LoadPercent: load, InjectFault: onFirstUpstream(func(b *UpstreamBehaviour) { b.FailFast = true })},
		{Name: "reports too little", LoadPercent: load, InjectFault: onFirstUpstream(func(b *UpstreamBehaviour) { b.LoadReportOffset = -100 })},
		{Name: "reports too much", LoadPercent: load, InjectFault: onFirstUpstream(func(b *UpstreamBehaviour) { b.LoadReportOffset = 100 })},
		{Name: "drains", LoadPercent: load, InjectFault: onFirstUpstream(func(b *UpstreamBehaviour) { b.Draining = true })},
		{Name: "starts cold", LoadPercent: load, InjectFault: restartWithWarmUp},
		{Name: "a third silent", LoadPercent: load, InjectFault: blackholeThird},
		{Name: "crashing request", LoadPercent: load, SendCrashingRequest: true},
		{Name: "overload", LoadPercent: 130, ServiceCount: 1},
	}
}

// onFirstUpstream returns a fault that changes the behaviour of the first upstream.
func onFirstUpstream(change func(b *UpstreamBehaviour)) func(c *Cluster) {
	return func(c *Cluster) {
		b := c.cfg.Upstream
		change(&b)
		_ = c.Upstreams[0].InjectFault(b)
	}
}

// restartWarmUpMs is the warm-up time of the restarted upstream.
const restartWarmUpMs = 3000

// restartWithWarmUp kills the first upstream and starts it again with a warm-up.
func restartWithWarmUp(c *Cluster) {
	c.KillUpstream(c.Upstreams[0])
	c.cfg.Upstream.WarmUpMs = restartWarmUpMs
	_ = c.Upstreams[0].Wait(startTimeout)
	_ = c.RestartUpstream(c.Upstreams[0])
}

// blackholeThird drops the traffic of a third of the connections that are open
// between regions.
func blackholeThird(c *Cluster) {
	for _, l := range c.Links {
		_ = setBehaviour(l.Address, LinkBehaviour{DelayMs: int(c.cfg.CrossRegionDelay.Milliseconds()), Blackhole: true, BlackholePercent: 33})
	}
}

// FilterScenarios returns the scenarios whose name contains one of the substrings,
// or all scenarios if there are no substrings.
func FilterScenarios(scenarios []Scenario, substrings []string) []Scenario {
	if len(substrings) == 0 {
		return scenarios
	}
	var out []Scenario
	for _, s := range scenarios {
		for _, p := range substrings {
			if strings.Contains(s.Name, p) {
				out = append(out, s)
				break
			}
		}
	}
	return out
}
