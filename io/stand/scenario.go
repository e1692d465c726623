package stand

import "strings"

// FaultScenarios returns the measurements with faults. Each applies its fault to the
// first service once the warm-up has passed.
func FaultScenarios() []Scenario {
	const load = 50
	return []Scenario{
		{Name: "straggler 20x", LoadPercent: load, InjectFault: onFirst(func(b *UpstreamBehaviour) { b.SlowdownFactor = 20 })},
		{Name: "fails in 1 ms", LoadPercent: load, InjectFault: onFirst(func(b *UpstreamBehaviour) { b.FailFast = true })},
		{Name: "reports too little", LoadPercent: load, InjectFault: onFirst(func(b *UpstreamBehaviour) { b.LoadReportOffset = -100 })},
		{Name: "reports too much", LoadPercent: load, InjectFault: onFirst(func(b *UpstreamBehaviour) { b.LoadReportOffset = 100 })},
		{Name: "drains", LoadPercent: load, InjectFault: onFirst(func(b *UpstreamBehaviour) { b.Draining = true })},
		{Name: "starts cold", LoadPercent: load, InjectFault: restartCold},
		{Name: "a third silent", LoadPercent: load, InjectFault: silenceThird},
		{Name: "crashing request", LoadPercent: load, SendCrashingRequest: true},
		{Name: "overload", LoadPercent: 130, ServiceCount: 1},
	}
}

// onFirst returns a fault of the first upstream.
func onFirst(change func(b *UpstreamBehaviour)) func(w *Cluster) {
	return func(w *Cluster) {
		b := w.cfg.Upstream
		change(&b)
		_ = w.Upstreams[0].InjectFault(b)
	}
}

// coldMs is the time over which a cold upstream gets to full speed.
const coldMs = 3000

// restartCold replaces the first upstream by one that starts cold.
func restartCold(w *Cluster) {
	w.KillUpstream(w.Upstreams[0])
	w.cfg.Upstream.WarmUpMs = coldMs
	_ = w.Upstreams[0].Wait(startTimeout)
	_ = w.RestartUpstream(w.Upstreams[0])
}

// silenceThird silences a third of the connections that are open between
// regions.
func silenceThird(w *Cluster) {
	for _, l := range w.Links {
		_ = control(l.Address, LinkBehaviour{DelayMs: int(w.cfg.CrossRegionDelay.Milliseconds()), Blackhole: true, BlackholePercent: 33})
	}
}

// FilterScenarios returns the scenarios whose names contain one of the parts; no parts
// stand for all.
func FilterScenarios(all []Scenario, parts []string) []Scenario {
	if len(parts) == 0 {
		return all
	}
	var out []Scenario
	for _, s := range all {
		for _, p := range parts {
			if strings.Contains(s.Name, p) {
				out = append(out, s)
				break
			}
		}
	}
	return out
}
