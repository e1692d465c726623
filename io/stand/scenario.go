package stand

import "strings"

// Scenarios returns the measurements with faults. Each applies its fault to the
// first service once the warm-up has passed.
func Scenarios() []Scenario {
	const load = 50
	return []Scenario{
		{Name: "straggler 20x", Percent: load, Fault: onFirst(func(b *UpstreamBehaviour) { b.Factor = 20 })},
		{Name: "fails in 1 ms", Percent: load, Fault: onFirst(func(b *UpstreamBehaviour) { b.FailFast = true })},
		{Name: "reports too little", Percent: load, Fault: onFirst(func(b *UpstreamBehaviour) { b.Lie = -100 })},
		{Name: "reports too much", Percent: load, Fault: onFirst(func(b *UpstreamBehaviour) { b.Lie = 100 })},
		{Name: "drains", Percent: load, Fault: onFirst(func(b *UpstreamBehaviour) { b.Draining = true })},
		{Name: "starts cold", Percent: load, Fault: restartCold},
		{Name: "a third silent", Percent: load, Fault: silenceThird},
		{Name: "crashing request", Percent: load, Crash: true},
		{Name: "overload", Percent: 130, Services: 1},
	}
}

// onFirst returns a fault of the first upstream.
func onFirst(change func(b *UpstreamBehaviour)) func(w *World) {
	return func(w *World) {
		b := w.cfg.Upstream
		change(&b)
		_ = w.Upstreams[0].Behave(b)
	}
}

// coldMs is the time over which a cold upstream gets to full speed.
const coldMs = 3000

// restartCold replaces the first upstream by one that starts cold.
func restartCold(w *World) {
	w.KillUpstream(w.Upstreams[0])
	w.cfg.Upstream.ColdMs = coldMs
	_ = w.Upstreams[0].Wait(startTimeout)
	_ = w.RestartUpstream(w.Upstreams[0])
}

// silenceThird silences a third of the connections that are open between
// regions.
func silenceThird(w *World) {
	for _, l := range w.Links {
		_ = control(l.Address, LinkBehaviour{DelayMs: int(w.cfg.Delay.Milliseconds()), Silent: true, SilentPercent: 33})
	}
}

// Named returns the scenarios whose names contain one of the parts; no parts
// stand for all.
func Named(all []Scenario, parts []string) []Scenario {
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
